// Takes up accepted items and batch jobs that the leader assigns to this host
// after their owner was lost.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "entry/entry_context.h"

namespace sequoialb {

class WorkIntake {
 public:
  explicit WorkIntake(EntryContext& context);
  ~WorkIntake();

  // Ends the taking; items that wait stay with the next owner.
  void Stop();

 private:
  // An item and the generation in which this host owns it.
  using Key = std::pair<std::string, uint64_t>;

  void Take(const proto::Assignment& assignment);
  void Work();

  EntryContext& context_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<proto::ItemRecord> queue_;
  std::set<Key> taken_;
  bool stopping_ = false;
  std::vector<std::thread> workers_;
};

}  // namespace sequoialb
