// Policies for choosing a backend server among those with capacity for a
// request.
#pragma once

#include <variant>

namespace sequoialb {

// The server whose first token is expected soonest: its backlog of
// prefills plus this prompt's own, which is shorter where its prefix is cached.
struct ExpectedFirstToken {};

// Baseline: prefers the server that is likely to hold the prompt's prefix in
// its cache, as long as its load stays below `load_bound` times the mean.
struct PrefixAffinity {
  double load_bound = 1.25;
};

// Baseline: the server with the fewest requests in flight.
struct LeastInFlight {};

// Baseline: the server whose last, lagging report showed the least load.
struct LeastReported {};

// Baseline: each server in turn.
struct RoundRobin {};

// Baseline: any server.
struct RandomChoice {};

using RoutingPolicy =
    std::variant<ExpectedFirstToken, PrefixAffinity, LeastInFlight,
                 LeastReported, RoundRobin, RandomChoice>;

}  // namespace sequoialb
