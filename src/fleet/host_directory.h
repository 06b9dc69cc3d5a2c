// The hosts from which a control host has received heartbeats, with what each
// last reported about itself.
//
// Every host sends heartbeats several times a second, so the directory is soft
// state and is not stored on disk. A restarted host has a new incarnation, and
// heartbeats of its previous process may still arrive. Incarnations are taken
// from the wall clock, which can be set back, so an earlier incarnation is
// rejected only while heartbeats of the later one still arrive. Otherwise a
// host that restarts after its clock was set back would stay rejected.
//
// Hundreds of hosts join or change within a second, and each heartbeat asks for
// the changes since the last one, so the cost of a heartbeat must not grow with
// the number of hosts. A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

struct DirectoryEntry {
  proto::HostInfo info;
  TimePoint last_contact;
  // The number of the last change that the other hosts must learn.
  uint64_t change = 0;
};

class HostDirectory {
 public:
  // Records what a host reports about itself. Returns false when the report
  // comes from a process that a later process of the same host has replaced.
  bool Update(const proto::HostInfo& info, TimePoint now);

  // Removes hosts whose heartbeats have stopped arriving.
  void Expire(TimePoint now);

  // Returns a hash of what the other hosts have to know of all hosts.
  uint64_t Hash() const;

  // Adds to `reply` the hosts that have changed since `cursor`, a value of
  // cursor(); 0 selects all.
  void FillChanges(uint64_t cursor, proto::HelloReply& reply) const;
  uint64_t cursor() const { return change_; }

  const std::map<std::string, DirectoryEntry>& hosts() const { return hosts_; }

 private:
  std::map<std::string, DirectoryEntry> hosts_;
  uint64_t change_ = 0;
  // The last value of Hash(), unless the directory has changed since.
  mutable std::optional<uint64_t> hash_;
};

}  // namespace sequoialb
