// What callers, operators and backend servers have seen, held against the
// promises of the product.
//
// Every thread of the soak writes here; a broken promise is printed at once and
// counted. Instants are of the soak's own clock.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb::soak {

// One attempt of a caller, by its request id.
struct Attempt {
  std::string account;
  std::string key;
  // May run at most once.
  bool once = false;
  TimePoint sent_at;
  // 0 while there is no answer.
  int status = 0;
};

struct ResultSeen {
  std::string item;
  std::string output;
};

class Promises {
 public:
  explicit Promises(milliseconds withdrawal) : withdrawal_(withdrawal) {}

  void Sent(const std::string& id, Attempt attempt);
  void Answered(const std::string& id, int status);
  // A backend server ran a request, or an item of a job.
  void Ran(const std::string& id, const std::string& account, bool has_key);

  // An operator's change is acknowledged, which leaves only these keys.
  void Acknowledged(uint64_t version, const std::map<std::string, bool>& keys);
  uint64_t acknowledged() const;
  // A read that was sent when `known` was acknowledged gave `version`.
  void ReadConfig(uint64_t known, uint64_t version);

  void JobAccepted(const std::string& job, size_t items);
  // A read of an accepted job from position `after` on.
  void JobRead(const std::string& job, size_t total, size_t after,
               const std::vector<ResultSeen>& results);
  // Accepted jobs of which not all items have been seen.
  std::vector<std::string> OpenJobs() const;
  std::vector<std::string> AcceptedJobs() const;

  // Judges what only the whole run shows.
  void JudgeRuns();

  void Broken(const std::string& promise);
  size_t broken() const;
  std::string Summary() const;

 private:
  struct Job {
    size_t items = 0;
    std::map<size_t, ResultSeen> seen;
  };
  struct Run {
    std::string account;
  };
  void BrokenLocked(const std::string& promise);

  mutable std::mutex mutex_;
  milliseconds withdrawal_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, std::vector<Run>> runs_;
  // Instants at which keys were withdrawn, as acknowledged.
  std::map<std::string, TimePoint> withdrawn_;
  uint64_t acknowledged_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<int, size_t> statuses_;
  size_t broken_ = 0;
};

}  // namespace sequoialb::soak
