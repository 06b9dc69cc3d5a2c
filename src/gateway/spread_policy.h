// Decides which of several servers with free slots gets the next request.
//
// Load pattern: a burst overflows the assigned servers of many fronts at once,
// and what each front knows of the other servers is as old as the last load
// reports. All fronts see the same server as the emptiest, send to it within
// those milliseconds, and queue at it while other servers stay empty. Choosing
// a server at random, with a probability that grows with its free slots,
// spreads the requests. Pure functions.
#pragma once

#include <algorithm>
#include <random>
#include <variant>
#include <vector>

namespace sequoialb {

// The server with the most free slots: best while no other front sends.
struct MostFreeSlots {};
// A random server, weighted by the square of its free slots, so that nearly
// full servers are mostly left to the fronts that they are assigned to.
struct WeightedRandom {};

using SpreadPolicy = std::variant<MostFreeSlots, WeightedRandom>;

// Returns the index of the chosen server. `free_slots` has the free slots of
// each server and must not be empty.
inline size_t PickServer(const SpreadPolicy& policy,
                         const std::vector<double>& free_slots,
                         std::mt19937_64& random) {
  struct Choose {
    const std::vector<double>& free_slots;
    std::mt19937_64& random;

    size_t operator()(const MostFreeSlots& /*policy*/) const {
      return static_cast<size_t>(
          std::max_element(free_slots.begin(), free_slots.end()) -
          free_slots.begin());
    }
    size_t operator()(const WeightedRandom& /*policy*/) const {
      std::vector<double> weights;
      weights.reserve(free_slots.size());
      for (const double free : free_slots) {
        weights.push_back(free * free);
      }
      return std::discrete_distribution<size_t>(weights.begin(),
                                                weights.end())(random);
    }
  };
  return std::visit(Choose{free_slots, random}, policy);
}

}  // namespace sequoialb
