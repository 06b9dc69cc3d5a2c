// When a backend server's silence means that another should go on.
//
// Load pattern: a server or its domain goes dark with requests under way, and
// no reset tells so. A healthy server sends an event every few tens of
// milliseconds, so a silence of most of the pause that the route allows is
// nearly always the end; going on then at another server still keeps the stream
// in time. Before the first event the request may just be queued, so it moves
// only when another server has a slot free. New requests avoid a server from
// which none of the streams under way has had a byte for a while, long before
// each stream is given up: an attempt spent on a dead server is one fewer left.
// Pure functions.
#pragma once

#include <algorithm>

#include "base/time.h"
#include "catalog/catalog.h"

namespace sequoialb {

// The part of the allowed pause after which a stream goes on elsewhere; the
// rest is what the other server needs for its first event.
inline constexpr double kStallFraction = 0.7;
// The part of the objective after which a request without any event moves.
inline constexpr double kFirstEventFraction = 0.5;
// A server is never judged sooner: a round trip, a prompt and a busy host.
inline constexpr milliseconds kMinStallTime{100};
// A server that streams to this front and has sent nothing for this long gets
// no new requests: several times the pause between two events, and half of the
// shortest objective of the deployments.
inline constexpr milliseconds kServerStallTime{150};
// A server whose bytes usually come further apart is given so many such pauses.
inline constexpr int kServerStallGaps = 4;
// Pause without a target of the route's.
inline constexpr milliseconds kDefaultGap{1'000};

// Returns when a stream that last had an event at `last_event` has stalled.
inline TimePoint StreamStallsAt(const Route& route, TimePoint last_event) {
  const milliseconds gap =
      route.gap_target.count() > 0 ? route.gap_target : kDefaultGap;
  return last_event +
         std::max<Duration>(kMinStallTime, std::chrono::duration_cast<Duration>(
                                               gap * kStallFraction));
}

// Returns whether a server that has begun to answer `streaming` requests is
// silent as a whole; bytes last came from it at `heard_at`, usually
// `mean_gap` after those before.
inline bool IsServerStalled(uint32_t streaming, TimePoint last_bytes_at,
                            Duration mean_gap, TimePoint now) {
  return streaming > 0 &&
         now - last_bytes_at >
             std::max<Duration>(kServerStallTime, mean_gap * kServerStallGaps);
}

// Returns when a request sent at `sent_at` without an answer so far is late
// enough to try another server.
inline TimePoint FirstEventStallsAt(const Route& route, TimePoint sent_at) {
  return sent_at +
         std::max<Duration>(kMinStallTime,
                            std::chrono::duration_cast<Duration>(
                                route.objective * kFirstEventFraction));
}

}  // namespace sequoialb
