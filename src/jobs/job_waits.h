// Tracks which jobs wait for one reason, so that the beginning and the end of
// each wait are logged once. Pure.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoialb {

class JobWaits {
 public:
  struct Change {
    std::string job;
    // The job has begun to wait; otherwise its wait has ended.
    bool begins = false;
  };

  // Sets the jobs that wait now, and returns what has changed.
  std::vector<Change> Update(std::set<std::string> waiting) {
    std::vector<Change> changes;
    for (const std::string& job : waiting_) {
      if (waiting.count(job) == 0) {
        changes.push_back({job, false});
      }
    }
    for (const std::string& job : waiting) {
      if (waiting_.count(job) == 0) {
        changes.push_back({job, true});
      }
    }
    waiting_ = std::move(waiting);
    return changes;
  }

  void Clear() { waiting_.clear(); }

 private:
  std::set<std::string> waiting_;
};

}  // namespace sequoialb
