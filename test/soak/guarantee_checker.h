// Checks the guarantees of the product against what callers, operators and
// backend servers of the soak test observed.
//
// All methods may be called from any thread. A violation is printed at once and
// counted. All times are taken from the clock of the soak process.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb::soak {

// One request or job item that a caller sent; stored by its id.
struct Attempt {
  std::string account;
  std::string key;
  // True if the request must not run more than once.
  bool at_most_once = false;
  TimePoint sent_at;
  // 0 until an answer is received.
  int status = 0;
};

// The result of one job item, as read from a front.
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
  // Records that a backend server ran a request or an item of a job. `has_key`
  // is true if the caller's key was passed on to it, which is a violation.
  void RecordRun(const std::string& id, const std::string& account,
                 bool has_key);

  // Records that an operator's change was acknowledged. The change withdraws
  // the keys that map to false.
  void RecordAcknowledgedConfig(uint64_t version,
                                const std::map<std::string, bool>& keys);
  uint64_t acknowledged() const;
  // Checks that a read which was sent after version `known` was acknowledged
  // did not return an older `version`.
  void CheckConfigRead(uint64_t known, uint64_t version);

  void RecordAcceptedJob(const std::string& job, size_t items);
  // Checks the results that a read of an accepted job returned, starting at
  // position `after`: the job has as many items as were submitted, no result
  // changes between reads, and no item is listed twice.
  void CheckJobRead(const std::string& job, size_t total, size_t after,
                    const std::vector<ResultSeen>& results);
  // Returns the accepted jobs with items whose results have not been read yet.
  std::vector<std::string> IncompleteJobs() const;
  std::vector<std::string> AcceptedJobs() const;

  // Checks the guarantees that can only be checked at the end of the test:
  // which requests ran, how often, for which account and with which key.
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
  // Times at which the withdrawal of each key was acknowledged.
  std::map<std::string, TimePoint> withdrawn_;
  uint64_t acknowledged_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<int, size_t> statuses_;
  size_t violations_ = 0;
};

}  // namespace sequoialb::soak
