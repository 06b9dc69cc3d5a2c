#include "guarantee_checker.h"

#include <algorithm>
#include <iostream>
#include <set>

namespace sequoialb::soak {
namespace {

// Returns true for the statuses that guarantee that a request has not run and
// never will.
bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void GuaranteeChecker::ReportViolationLocked(const std::string& description) {
  ++violations_;
  std::cout << "VIOLATION: " << description << std::endl;
}

void GuaranteeChecker::ReportViolation(const std::string& description) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ReportViolationLocked(description);
}

size_t GuaranteeChecker::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

void GuaranteeChecker::RecordSent(const std::string& id, Attempt attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  attempts_[id] = std::move(attempt);
}

void GuaranteeChecker::RecordAnswer(const std::string& id, int status) {
  const std::lock_guard<std::mutex> lock(mutex_);
  attempts_[id].status = status;
  ++statuses_[status];
}

void GuaranteeChecker::RecordRun(const std::string& id,
                                 const std::string& account, bool has_key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[id].push_back({account});
  if (has_key) {
    ReportViolationLocked("the caller's key of request " + id +
                          " was passed on to a backend server");
  }
}

void GuaranteeChecker::RecordAcknowledgedConfig(
    uint64_t version, const std::map<std::string, bool>& keys) {
  const std::lock_guard<std::mutex> lock(mutex_);
  acknowledged_ = std::max(acknowledged_, version);
  const TimePoint now = Clock::now();
  for (const auto& [key, valid] : keys) {
    if (!valid) {
      withdrawn_.emplace(key, now);
    }
  }
}

uint64_t GuaranteeChecker::acknowledged() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return acknowledged_;
}

void GuaranteeChecker::CheckConfigRead(uint64_t known, uint64_t version) {
  if (version < known) {
    ReportViolation("version " + std::to_string(version) + " was read after " +
                    std::to_string(known) + " had been acknowledged");
  }
}

void GuaranteeChecker::RecordAcceptedJob(const std::string& job, size_t items) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job].items = items;
}

void GuaranteeChecker::CheckJobRead(const std::string& job, size_t total,
                                    size_t after,
                                    const std::vector<ResultSeen>& results) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Job& known = jobs_[job];
  if (total != known.items) {
    ReportViolationLocked("job " + job + " has " + std::to_string(total) +
                          " items instead of " + std::to_string(known.items));
  }
  for (size_t i = 0; i < results.size(); ++i) {
    const auto [before, fresh] = known.seen.emplace(after + i, results[i]);
    if (!fresh && (before->second.item != results[i].item ||
                   before->second.output != results[i].output)) {
      ReportViolationLocked("job " + job +
                            " has a different result at position " +
                            std::to_string(after + i));
    }
  }
  std::set<std::string> items;
  for (const auto& [position, result] : known.seen) {
    if (!items.insert(result.item).second) {
      ReportViolationLocked("item " + result.item + " is listed twice in job " +
                            job);
    }
  }
}

std::vector<std::string> GuaranteeChecker::IncompleteJobs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> open;
  for (const auto& [id, job] : jobs_) {
    if (job.seen.size() < job.items) {
      open.push_back(id);
    }
  }
  return open;
}

std::vector<std::string> GuaranteeChecker::AcceptedJobs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> all;
  for (const auto& [id, job] : jobs_) {
    all.push_back(id);
  }
  return all;
}

void GuaranteeChecker::CheckRuns() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, runs] : runs_) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      ReportViolationLocked("a backend server ran " + id +
                            ", which no caller sent");
      continue;
    }
    const Attempt& attempt = found->second;
    if (attempt.at_most_once && runs.size() > 1) {
      ReportViolationLocked(id + " ran " + std::to_string(runs.size()) +
                            " times");
    }
    if (GuaranteesNotRun(attempt.status)) {
      ReportViolationLocked(id + " ran and was answered " +
                            std::to_string(attempt.status));
    }
    for (const Run& run : runs) {
      if (run.account != attempt.account) {
        ReportViolationLocked(id + " ran for account " + run.account);
      }
    }
    const auto withdrawn = withdrawn_.find(attempt.key);
    if (withdrawn != withdrawn_.end() &&
        attempt.sent_at > withdrawn->second + withdrawal_) {
      ReportViolationLocked(
          id + " ran with a key that was withdrawn " +
          std::to_string(RemainingMs(attempt.sent_at, withdrawn->second)) +
          " ms before");
    }
  }
}

std::string GuaranteeChecker::Summary() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text = std::to_string(attempts_.size()) + " attempts (";
  for (const auto& [status, count] : statuses_) {
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  return text + " ), " + std::to_string(runs_.size()) + " ran, " +
         std::to_string(jobs_.size()) + " jobs, version " +
         std::to_string(acknowledged_) + ", " + std::to_string(violations_) +
         " violations";
}

}  // namespace sequoialb::soak
