// A queue that is fair among client accounts.
//
// Each account has its own queue. The next request comes from the account that
// has been served least relative to its weight (start-time fair queueing): each
// request served advances the account's virtual time by 1 / weight. An account
// that was idle resumes at the current virtual time of the whole queue, so it
// gains no credit for the idle time, nor is it delayed by what other accounts
// received before.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sequoialb {

template <typename T>
class FairQueue {
 public:
  void Push(const std::string& account, double weight, T value) {
    AccountQueue& queue = queues_[account];
    if (queue.waiting.empty()) {
      queue.virtual_time = std::max(queue.virtual_time, virtual_time_);
    }
    queue.weight = std::max(weight, 1e-3);
    queue.waiting.push_back(std::move(value));
    ++size_;
  }

  // Calls `take` with the first request of each account, starting with the
  // account served least, until a call returns true, and removes that request.
  // Returns false when no call returned true.
  bool TakeFirst(const std::function<bool(const T&)>& take) {
    std::vector<std::pair<double, const std::string*>> order;
    for (const auto& [account, queue] : queues_) {
      if (!queue.waiting.empty()) {
        order.emplace_back(queue.virtual_time, &account);
      }
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
      return a.first != b.first ? a.first < b.first : *a.second < *b.second;
    });
    for (const auto& [time, account] : order) {
      AccountQueue& queue = queues_[*account];
      if (take(queue.waiting.front())) {
        virtual_time_ = std::max(virtual_time_, queue.virtual_time);
        queue.virtual_time += 1 / queue.weight;
        queue.waiting.pop_front();
        --size_;
        Prune();
        return true;
      }
    }
    return false;
  }

  // Removes all requests for which `matches` returns true and passes each to
  // `removed`.
  void RemoveIf(const std::function<bool(const T&)>& matches,
                const std::function<void(const T&)>& removed) {
    for (auto& [account, queue] : queues_) {
      std::deque<T> kept;
      for (T& value : queue.waiting) {
        if (matches(value)) {
          removed(value);
          --size_;
        } else {
          kept.push_back(std::move(value));
        }
      }
      queue.waiting = std::move(kept);
    }
    Prune();
  }

  void ForEach(const std::function<void(const T&)>& visit) const {
    for (const auto& [account, queue] : queues_) {
      for (const T& value : queue.waiting) {
        visit(value);
      }
    }
  }

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct AccountQueue {
    std::deque<T> waiting;
    double virtual_time = 0;
    double weight = 1;
  };

  // Drops idle accounts whose virtual time is not ahead of the queue's: they
  // would resume at the queue's virtual time anyway.
  void Prune() {
    for (auto entry = queues_.begin(); entry != queues_.end();) {
      const bool idle = entry->second.waiting.empty() &&
                        entry->second.virtual_time <= virtual_time_;
      entry = idle ? queues_.erase(entry) : std::next(entry);
    }
  }

  std::map<std::string, AccountQueue> queues_;
  double virtual_time_ = 0;
  size_t size_ = 0;
};

}  // namespace sequoialb
