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

class ReassignedWorkRunner {
 public:
  explicit ReassignedWorkRunner(EntryContext& context);
  ~ReassignedWorkRunner();

  // Ends the taking; items that wait stay with the next owner.
  void Stop();

 private:
  // An item and the generation in which this host owns it.
  using ItemGeneration = std::pair<std::string, uint64_t>;

  void OnAssignment(const proto::Assignment& assignment);
  void RunQueuedItems();

  EntryContext& context_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<proto::ItemRecord> queue_;
  std::set<ItemGeneration> active_items_;
  bool stopping_ = false;
  std::vector<std::thread> workers_;
};

}  // namespace sequoialb
