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
  bool at_most_once = false;
  TimePoint sent_at;
  // 0 while there is no answer.
  int status = 0;
};

struct ResultSeen {
  std::string item;
  std::string output;
};

class GuaranteeChecker {
 public:
  explicit GuaranteeChecker(milliseconds withdrawal)
      : withdrawal_(withdrawal) {}

  void RecordSent(const std::string& id, Attempt attempt);
  void RecordAnswer(const std::string& id, int status);
  // A backend server ran a request, or an item of a job.
  void RecordRun(const std::string& id, const std::string& account,
                 bool has_key);

  // An operator's change is acknowledged, which leaves only these keys.
  void RecordAcknowledgedConfig(uint64_t version,
                                const std::map<std::string, bool>& keys);
  uint64_t acknowledged() const;
  // A read that was sent when `known` was acknowledged gave `version`.
  void CheckConfigRead(uint64_t known, uint64_t version);

  void RecordAcceptedJob(const std::string& job, size_t items);
  // A read of an accepted job from position `after` on.
  void CheckJobRead(const std::string& job, size_t total, size_t after,
                    const std::vector<ResultSeen>& results);
  // Accepted jobs of which not all items have been seen.
  std::vector<std::string> IncompleteJobs() const;
  std::vector<std::string> AcceptedJobs() const;

  // Judges what only the whole run shows.
  void CheckRuns();

  void ReportViolation(const std::string& description);
  size_t violations() const;
  std::string Summary() const;

 private:
  struct Job {
    size_t items = 0;
    std::map<size_t, ResultSeen> seen;
  };
  struct Run {
    std::string account;
  };
  void ReportViolationLocked(const std::string& description);

  mutable std::mutex mutex_;
  milliseconds withdrawal_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, std::vector<Run>> runs_;
  // Instants at which keys were withdrawn, as acknowledged.
  std::map<std::string, TimePoint> withdrawn_;
  uint64_t acknowledged_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<int, size_t> statuses_;
  size_t violations_ = 0;
};

}  // namespace sequoialb::soak
