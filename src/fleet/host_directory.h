// The hosts from which a control host has received heartbeats, with what each
// last reported about itself.
//
// Every host sends heartbeats several times a second, so the directory is soft
// state and is not stored on disk. A restarted host has a new incarnation, and
// heartbeats of its previous process may still arrive. Incarnations are taken
// from the wall clock, which can be set back, so an earlier incarnation is
// rejected only while heartbeats of the later one still arrive. Otherwise a
// host that restarts after its clock was set back would stay rejected. The
// directory is a pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

struct DirectoryEntry {
  proto::HostInfo info;
  TimePoint last_contact;
};

class HostDirectory {
 public:
  // Records what a host reports about itself. Returns false when the report
  // comes from a process that a later process of the same host has replaced.
  bool Update(const proto::HostInfo& info, TimePoint now);

  // Removes hosts whose heartbeats have stopped arriving.
  void Expire(TimePoint now);

  // Returns a hash that changes whenever the directory has to be sent to the
  // other hosts again.
  uint64_t Hash() const;

  const std::map<std::string, DirectoryEntry>& hosts() const { return hosts_; }

 private:
  std::map<std::string, DirectoryEntry> hosts_;
};

}  // namespace sequoialb
