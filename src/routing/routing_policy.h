// The ways in which a request is given to one of the backend servers that have
// room for it.
#pragma once

#include <variant>

namespace sequoialb {

// Takes the server whose first token is expected soonest: its backlog of
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
