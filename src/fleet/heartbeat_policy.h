// Decides to which control hosts a host sends its next heartbeat.
//
// Load pattern: hundreds of hosts send heartbeats to every control host, and
// each costs its receiver a reply. Only the leader extends leases; the others
// need heartbeats to know the hosts that are up, for the moment at which one of
// them becomes leader. Hosts therefore send every second heartbeat to the
// leader alone, and all of them to everyone while no leader confirms them. Pure
// functions.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace sequoialb {

// One in this many heartbeats goes to all control hosts.
inline constexpr uint64_t kFollowerHeartbeatStride = 2;
// Without a confirmation for this long, all heartbeats go to all control hosts:
// the leader may have changed.
inline constexpr milliseconds kLeaderSilence{600};

// Returns whether the heartbeat number `round` goes to all control hosts, and
// otherwise to the leader alone. `confirmed_at` is when the leader last
// confirmed a heartbeat, or TimePoint().
inline bool SendsToAllControlHosts(uint64_t round, TimePoint confirmed_at,
                                   TimePoint now) {
  return confirmed_at == TimePoint() || now - confirmed_at > kLeaderSilence ||
         round % kFollowerHeartbeatStride == 0;
}

}  // namespace sequoialb
