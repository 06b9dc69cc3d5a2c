// Chooses one backend server among those with capacity, as a pure function.
//
// Worked example for the expected first token. A prompt takes 100 ms to
// prefill, or 30 ms where its prefix is cached. Server A holds the prefix and
// has a backlog of 50 ms of prefills, B is idle without the prefix, C has 20 ms
// of backlog without it. The first token is expected after 80, 100 and 120 ms,
// so A is chosen. With 90 ms of backlog on A, its first token would be expected
// after 120 ms and B would be chosen: a request leaves the server that holds
// its prefix when waiting there costs more than the cache saves, so a popular
// prefix spreads over as many servers as it needs.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/routing_policy.h"

namespace sequoialb {

// The properties of one server that the choice depends on.
struct RoutingCandidate {
  std::string backend;
  // Requests of this system in flight on the server.
  uint32_t in_flight = 0;
  // Requests in its last report, which lags by some hundred milliseconds.
  uint32_t reported = 0;
  // The server can run this request now.
  bool has_capacity = false;
  // The server's cache events say that it holds the prompt's prefix.
  bool holds_prefix = false;
  // Expected time until the prefills of the requests granted there are done.
  double backlog_ms = 0;
  // Load added for slow responses, in requests.
  double penalty = 0;
};

// State carried from one choice to the next.
struct RoutingState {
  // Times to first token on an idle server, with the prefix cached and without.
  double hit_ms = 0;
  double miss_ms = 0;
  uint64_t next_turn = 0;
  std::mt19937_64 random;
};

// Returns the position of the chosen candidate, or nullopt when none has
// capacity.
std::optional<size_t> ChooseBackend(
    const RoutingPolicy& policy,
    const std::vector<RoutingCandidate>& candidates, uint64_t prefix_hash,
    RoutingState& state);

}  // namespace sequoialb
