#include "gateway/waiting_queue.h"

#include <algorithm>
#include <tuple>

namespace sequoialb {
namespace {

// A returning caller gets a slot after this many new ones. It has waited for
// its answer already, while a new one can still be answered in time at its
// first attempt. A caller with a shorter deadline than others is taken for a
// returning one and must still be served a quarter as often.
constexpr int64_t kNewCallersPerReturning = 4;

}  // namespace

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

void WaitingQueue::RecordServed(uint64_t request) {
  const auto found = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const WaitingRequest& entry) { return entry.request == request; });
  if (found != waiting_.end()) {
    new_since_returning_ = found->returning ? 0 : new_since_returning_ + 1;
    waiting_.erase(found);
  }
}

std::vector<uint64_t> WaitingQueue::Order(TimePoint now) const {
  struct Ranked {
    bool late;
    int priority;
    // When the account has its turn for it.
    int64_t turn;
    size_t arrival;
    uint64_t request;
  };
  std::vector<Ranked> ranked;
  std::map<std::tuple<bool, bool, std::string>, int64_t> turns;
  bool returning_due = new_since_returning_ >= kNewCallersPerReturning;
  for (size_t i = 0; i < waiting_.size(); ++i) {
    const WaitingRequest& entry = waiting_[i];
    const bool late = now > entry.send_by;
    int64_t turn = turns[{late, entry.returning, entry.account}]++;
    if (entry.returning) {
      turn = (turn + 1) * kNewCallersPerReturning;
    }
    if (entry.returning && !late && returning_due) {
      returning_due = false;
      turn = -1;
    }
    ranked.push_back({late, entry.priority, turn, i, entry.request});
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

size_t WaitingQueue::Ahead(bool returning, TimePoint now) const {
  int64_t of_new = 0;
  int64_t of_returning = 0;
  for (const WaitingRequest& entry : waiting_) {
    if (now <= entry.send_by) {
      ++(entry.returning ? of_returning : of_new);
    }
  }
  return static_cast<size_t>(
      returning
          ? of_new + of_returning
          : of_new + std::min(of_returning, of_new / kNewCallersPerReturning));
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
