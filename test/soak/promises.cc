#include "promises.h"

#include <algorithm>
#include <iostream>
#include <set>

namespace sequoialb::soak {
namespace {

// Statuses that promise that a request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Promises::BrokenLocked(const std::string& promise) {
  ++broken_;
  std::cout << "BROKEN: " << promise << std::endl;
}

void Promises::Broken(const std::string& promise) {
  const std::lock_guard<std::mutex> lock(mutex_);
  BrokenLocked(promise);
}

size_t Promises::broken() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return broken_;
}

void Promises::Sent(const std::string& id, Attempt attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  attempts_[id] = std::move(attempt);
}

void Promises::Answered(const std::string& id, int status) {
  const std::lock_guard<std::mutex> lock(mutex_);
  attempts_[id].status = status;
  ++statuses_[status];
}

void Promises::Ran(const std::string& id, const std::string& account,
                   bool has_key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[id].push_back({account});
  if (has_key) {
    BrokenLocked("the key of " + id + " was passed on");
  }
}

void Promises::Acknowledged(uint64_t version,
                            const std::map<std::string, bool>& keys) {
  const std::lock_guard<std::mutex> lock(mutex_);
  acknowledged_ = std::max(acknowledged_, version);
  const TimePoint now = Clock::now();
  for (const auto& [key, valid] : keys) {
    if (!valid) {
      withdrawn_.emplace(key, now);
    }
  }
}

uint64_t Promises::acknowledged() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return acknowledged_;
}

void Promises::ReadConfig(uint64_t known, uint64_t version) {
  if (version < known) {
    Broken("version " + std::to_string(version) + " was read after " +
           std::to_string(known) + " had been acknowledged");
  }
}

void Promises::JobAccepted(const std::string& job, size_t items) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job].items = items;
}

void Promises::JobRead(const std::string& job, size_t total, size_t after,
                       const std::vector<ResultSeen>& results) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Job& known = jobs_[job];
  if (total != known.items) {
    BrokenLocked("job " + job + " has " + std::to_string(total) +
                 " items instead of " + std::to_string(known.items));
  }
  for (size_t i = 0; i < results.size(); ++i) {
    const auto [before, fresh] = known.seen.emplace(after + i, results[i]);
    if (!fresh && (before->second.item != results[i].item ||
                   before->second.output != results[i].output)) {
      BrokenLocked("job " + job + " has another result at position " +
                   std::to_string(after + i));
    }
  }
  std::set<std::string> items;
  for (const auto& [position, result] : known.seen) {
    if (!items.insert(result.item).second) {
      BrokenLocked("item " + result.item + " stands twice in job " + job);
    }
  }
}

std::vector<std::string> Promises::OpenJobs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> open;
  for (const auto& [id, job] : jobs_) {
    if (job.seen.size() < job.items) {
      open.push_back(id);
    }
  }
  return open;
}

std::vector<std::string> Promises::AcceptedJobs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> all;
  for (const auto& [id, job] : jobs_) {
    all.push_back(id);
  }
  return all;
}

void Promises::JudgeRuns() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, runs] : runs_) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      BrokenLocked("a backend server ran " + id + ", which nobody sent");
      continue;
    }
    const Attempt& attempt = found->second;
    if (attempt.once && runs.size() > 1) {
      BrokenLocked(id + " ran " + std::to_string(runs.size()) + " times");
    }
    if (PromisesNotRun(attempt.status)) {
      BrokenLocked(id + " ran and was answered " +
                   std::to_string(attempt.status));
    }
    for (const Run& run : runs) {
      if (run.account != attempt.account) {
        BrokenLocked(id + " ran for account " + run.account);
      }
    }
    const auto withdrawn = withdrawn_.find(attempt.key);
    if (withdrawn != withdrawn_.end() &&
        attempt.sent_at > withdrawn->second + withdrawal_) {
      BrokenLocked(
          id + " ran with a key that was withdrawn " +
          std::to_string(RemainingMs(attempt.sent_at, withdrawn->second)) +
          " ms before");
    }
  }
}

std::string Promises::Summary() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text = std::to_string(attempts_.size()) + " attempts (";
  for (const auto& [status, count] : statuses_) {
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  return text + " ), " + std::to_string(runs_.size()) + " ran, " +
         std::to_string(jobs_.size()) + " jobs, version " +
         std::to_string(acknowledged_) + ", " + std::to_string(broken_) +
         " broken promises";
}

}  // namespace sequoialb::soak
