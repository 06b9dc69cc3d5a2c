#include "quarantine/crash_recorder.h"

#include <algorithm>
#include <utility>

namespace sequoialb {
namespace {

// Bytes that a server sent before its crash may still be read for this long
// after the first of its connections has ended.
constexpr milliseconds kInFlightTime{30};
// Sound answers to the parts of a crash are collected for this long.
constexpr milliseconds kWatchTime{10'000};
// Requests kept of one crash, and parts of own crashes that are watched.
constexpr size_t kMaxRequests = 64;
constexpr size_t kMaxOwnParts = 1'024;

}  // namespace

void CrashRecorder::RecordBroken(const std::string& backend,
                                 const std::vector<std::string>& shared_parts,
                                 TimePoint begun_at, TimePoint now) {
  if (shared_parts.empty() || HasSurvived(begun_at, now)) {
    return;
  }
  const auto [entry, added] = pending_.try_emplace(backend);
  CrashRecord& record = entry->second;
  if (added) {
    record.backend = backend;
    record.at = now;
  }
  if (record.requests.size() < kMaxRequests) {
    record.requests.push_back(shared_parts);
  }
}

void CrashRecorder::RecordAlive(const std::string& backend, TimePoint now) {
  const auto found = pending_.find(backend);
  if (found != pending_.end() && now - found->second.at > kInFlightTime) {
    pending_.erase(found);
  }
}

bool CrashRecorder::IsWatched(const std::string& part, TimePoint now) const {
  const auto own = own_parts_.find(part);
  const bool crashed_here = own != own_parts_.end() && now < own->second;
  return crashed_here || watched_.count(part) > 0;
}

void CrashRecorder::RecordSound(const std::vector<std::string>& shared_parts,
                                TimePoint now) {
  if (own_parts_.empty() && watched_.empty()) {
    return;
  }
  for (const std::string& part : shared_parts) {
    if (IsWatched(part, now)) {
      sound_[part] = now;
    }
  }
}

std::vector<CrashRecord> CrashRecorder::TakeCrashes(TimePoint now) {
  std::vector<CrashRecord> crashes;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now - it->second.at < kConfirmationTime) {
      ++it;
      continue;
    }
    crashes.push_back(std::move(it->second));
    it = pending_.erase(it);
  }
  for (auto it = own_parts_.begin(); it != own_parts_.end();) {
    it = now >= it->second ? own_parts_.erase(it) : std::next(it);
  }
  for (const CrashRecord& crash : crashes) {
    for (const std::vector<std::string>& parts : crash.requests) {
      for (const std::string& part : parts) {
        if (own_parts_.size() < kMaxOwnParts || own_parts_.count(part) > 0) {
          own_parts_[part] = now + kWatchTime;
        }
      }
    }
  }
  return crashes;
}

std::map<std::string, TimePoint> CrashRecorder::TakeSound() {
  return std::exchange(sound_, {});
}

}  // namespace sequoialb
