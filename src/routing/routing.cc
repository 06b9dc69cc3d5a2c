#include "routing/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"

namespace sequoialb {
namespace {

// Expected delay of a first token for each request of a slow server's penalty.
constexpr double kPenaltyMsPerRequest = 100;

using Candidates = std::vector<RoutingCandidate>;

template <typename LoadOf>
std::optional<size_t> LeastLoaded(const Candidates& candidates, LoadOf load_of,
                                  RoutingState& state) {
  std::optional<size_t> best;
  double best_load = std::numeric_limits<double>::max();
  // Starting at another candidate each time spreads ties.
  const size_t start =
      state.next_turn++ % std::max<size_t>(1, candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const size_t position = (start + i) % candidates.size();
    const RoutingCandidate& candidate = candidates[position];
    const double load = load_of(candidate) + candidate.penalty;
    if (candidate.has_capacity && load < best_load) {
      best = position;
      best_load = load;
    }
  }
  return best;
}

std::optional<size_t> LeastInFlightOf(const Candidates& candidates,
                                      RoutingState& state) {
  return LeastLoaded(
      candidates,
      [](const RoutingCandidate& c) {
        return static_cast<double>(c.in_flight);
      },
      state);
}

class Chooser {
 public:
  Chooser(const Candidates& candidates, uint64_t prefix_hash,
          RoutingState& state)
      : candidates_(candidates), prefix_hash_(prefix_hash), state_(state) {}

  std::optional<size_t> operator()(const ExpectedFirstToken& /*policy*/) const {
    return LeastLoaded(
        candidates_,
        [this](const RoutingCandidate& c) {
          const double own_ms = c.holds_prefix ? state_.hit_ms : state_.miss_ms;
          // Each request in flight counts 1 ms: requests that are decoding slow
          // the others down a little.
          return c.backlog_ms + own_ms + c.in_flight +
                 kPenaltyMsPerRequest * c.penalty;
        },
        state_);
  }

  std::optional<size_t> operator()(const PrefixAffinity& policy) const {
    if (prefix_hash_ == 0) {
      return LeastInFlightOf(candidates_, state_);
    }
    // Rounded up: a bound between two whole numbers would move requests away
    // from their server even while all servers are equally loaded.
    const double bound = std::ceil(policy.load_bound * MeanLoadWithRequest());
    std::optional<size_t> best;
    uint64_t best_score = 0;
    for (size_t i = 0; i < candidates_.size(); ++i) {
      const RoutingCandidate& candidate = candidates_[i];
      const double load = candidate.in_flight + 1 + candidate.penalty;
      if (!candidate.has_capacity || load > bound) {
        continue;
      }
      // A server that is known to hold the prefix outranks every other.
      const uint64_t score = candidate.holds_prefix
                                 ? std::numeric_limits<uint64_t>::max()
                                 : Hash64(candidate.backend, prefix_hash_);
      if (!best || score > best_score) {
        best = i;
        best_score = score;
      }
    }
    return best ? best : LeastInFlightOf(candidates_, state_);
  }

  std::optional<size_t> operator()(const LeastInFlight& /*policy*/) const {
    return LeastInFlightOf(candidates_, state_);
  }

  std::optional<size_t> operator()(const LeastReported& /*policy*/) const {
    return LeastLoaded(
        candidates_,
        [](const RoutingCandidate& c) {
          return static_cast<double>(c.reported);
        },
        state_);
  }

  std::optional<size_t> operator()(const RoundRobin& /*policy*/) const {
    for (size_t i = 0; i < candidates_.size(); ++i) {
      const size_t position = state_.next_turn++ % candidates_.size();
      if (candidates_[position].has_capacity) {
        return position;
      }
    }
    return std::nullopt;
  }

  std::optional<size_t> operator()(const RandomChoice& /*policy*/) const {
    std::vector<size_t> available;
    for (size_t i = 0; i < candidates_.size(); ++i) {
      if (candidates_[i].has_capacity) {
        available.push_back(i);
      }
    }
    if (available.empty()) {
      return std::nullopt;
    }
    return available[state_.random() % available.size()];
  }

 private:
  double MeanLoadWithRequest() const {
    double sum = 1;
    for (const RoutingCandidate& candidate : candidates_) {
      sum += candidate.in_flight;
    }
    return sum / static_cast<double>(candidates_.size());
  }

  const Candidates& candidates_;
  uint64_t prefix_hash_;
  RoutingState& state_;
};

}  // namespace

std::optional<size_t> ChooseBackend(const RoutingPolicy& policy,
                                    const Candidates& candidates,
                                    uint64_t prefix_hash, RoutingState& state) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  return std::visit(Chooser(candidates, prefix_hash, state), policy);
}

}  // namespace sequoialb
