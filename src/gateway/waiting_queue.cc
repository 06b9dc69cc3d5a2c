#include "gateway/waiting_queue.h"

#include <algorithm>
#include <tuple>

namespace sequoialb {

void WaitingQueue::Add(WaitingRequest request) {
  waiting_.push_back(std::move(request));
}

void WaitingQueue::Remove(uint64_t request) {
  const auto found = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const WaitingRequest& entry) { return entry.request == request; });
  if (found != waiting_.end()) {
    waiting_.erase(found);
  }
}

std::vector<uint64_t> WaitingQueue::Order(TimePoint now) const {
  struct Ranked {
    bool late;
    int priority;
    // How many requests of the same account and lateness precede it.
    size_t turn;
    size_t arrival;
    uint64_t request;
  };
  std::vector<Ranked> ranked;
  std::map<std::pair<bool, std::string>, size_t> turns;
  for (size_t i = 0; i < waiting_.size(); ++i) {
    const WaitingRequest& entry = waiting_[i];
    const bool late = now > entry.send_by;
    ranked.push_back({late, entry.priority, turns[{late, entry.account}]++, i,
                      entry.request});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.late, a.priority, a.turn, a.arrival) <
           std::tie(b.late, b.priority, b.turn, b.arrival);
  });
  std::vector<uint64_t> order;
  order.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    order.push_back(entry.request);
  }
  return order;
}

size_t WaitingQueue::Ahead(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const WaitingRequest& entry) { return now <= entry.send_by; }));
}

std::vector<uint64_t> WaitingQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const WaitingRequest& entry : waiting_) {
    if (now >= entry.expires_at) {
      expired.push_back(entry.request);
    }
  }
  for (const uint64_t request : expired) {
    Remove(request);
  }
  return expired;
}

}  // namespace sequoialb
