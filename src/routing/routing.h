// Choice of one backend server among those with room, as a pure function.
//
// Worked example for the expected first token. A prompt takes 100 ms to
// prefill, or 30 ms where its prefix is cached. Server A holds the prefix and
// has 50 ms of prefills before it, B is idle without the prefix, C has 20 ms of
// backlog without it. The first token is expected after 80, 100 and 120 ms, so
// A takes it. With 90 ms of backlog A would expect 120 ms and B would take it:
// affinity gives way by itself where it costs more than it saves, and a popular
// prefix spreads over as many servers as it needs.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/routing_policy.h"

namespace sequoialb {

// What the choice needs to know of one server.
struct RoutingCandidate {
  std::string backend;
  // Requests of this system in flight there.
  uint32_t in_flight = 0;
  // What its last report said, late by some hundred milliseconds.
  uint32_t reported = 0;
  // Room for this request.
  bool has_capacity = false;
  // The server's cache events say that it holds the prompt's prefix.
  bool holds_prefix = false;
  // Time until the prefills that it was given are done.
  double backlog_ms = 0;
  // Added load that stands for slow answers, in requests.
  double penalty = 0;
};

// What changes from one choice to the next.
struct RoutingState {
  // Times to first token on an idle server, with the prefix cached and without.
  double hit_ms = 0;
  double miss_ms = 0;
  uint64_t next_turn = 0;
  std::mt19937_64 random;
};

// Returns the position of the chosen candidate, or nothing when none has room.
std::optional<size_t> ChooseBackend(
    const RoutingPolicy& policy,
    const std::vector<RoutingCandidate>& candidates, uint64_t prefix_hash,
    RoutingState& state);

}  // namespace sequoialb
