// Which of several servers with room gets the next request.
//
// Load pattern: a burst overflows the home servers of many fronts at once, and
// what each knows of the other servers is as old as the last words of the other
// fronts. All see the same emptiest server, send there within those
// milliseconds, and queue at it while others stay empty. Drawing a server with
// a chance that grows with its room spreads them. Pure functions.
#pragma once

#include <algorithm>
#include <random>
#include <variant>
#include <vector>

namespace sequoialb {

// The server with most room: best while nobody else sends.
struct MostFreeSlots {};
// A draw weighted by the square of the room, so that nearly full servers are
// left to those who know them.
struct WeightedRandom {};

using SpreadPolicy = std::variant<MostFreeSlots, WeightedRandom>;

// Returns the place of the server to take; `room` holds the free slots of each
// and is not empty.
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
