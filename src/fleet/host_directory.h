// Which hosts a control host has heard, and what each last said of itself.
//
// Every host greets several times a second, so what was heard is soft state and
// needs no disk. A host that starts again greets as another incarnation, and a
// greeting of the process before may still arrive. Incarnations are drawn from
// the time of day, which steps; so an earlier one is refused only while the
// later one is still being heard. Otherwise a host that restarts after its
// clock was set back would stay unknown. A pure state machine.
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
  // Takes what a host says of itself; false when it comes from a process that
  // another has followed.
  bool Update(const proto::HostInfo& info, TimePoint now);

  // Forgets hosts that have long not been heard.
  void Expire(TimePoint now);

  // Changes whenever other hosts should hear of a change.
  uint64_t Hash() const;

  const std::map<std::string, DirectoryEntry>& hosts() const { return hosts_; }

 private:
  std::map<std::string, DirectoryEntry> hosts_;
};

}  // namespace sequoialb
