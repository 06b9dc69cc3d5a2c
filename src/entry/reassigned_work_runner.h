// Runs accepted items and batch jobs that the leader assigns to this host after
// the host that owned them was lost.
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

  // Accepts no more items and waits for the running ones to end. Items still in
  // the queue are left to their next owner.
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
  // Items that are queued or running here; a repeated assignment is ignored.
  std::set<ItemGeneration> active_items_;
  bool stopping_ = false;
  std::vector<std::thread> workers_;
};

}  // namespace sequoialb
