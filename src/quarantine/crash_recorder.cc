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
// Sound answers are remembered for at least this long, and to this many parts.
constexpr milliseconds kSoundMemory{5'000};
constexpr size_t kMaxSoundParts = 4'096;

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
                                bool whole, TimePoint now) {
  if (now - sound_since_ > kSoundMemory) {
    older_sound_ = now - sound_since_ > kSoundMemory * 2 ? RememberedParts()
                                                         : std::move(sound_);
    sound_.clear();
    sound_since_ = now;
  }
  for (const std::string& part : shared_parts) {
    const bool has_room =
        sound_.size() < kMaxSoundParts || sound_.count(part) > 0;
    if (has_room && (whole || IsWatched(part, now))) {
      Remembered& remembered = sound_[part];
      remembered.answers.at = now;
      remembered.answers.whole_at = whole ? now : remembered.answers.whole_at;
      remembered.reported = false;
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

void CrashRecorder::TakeSoundOf(const std::string& part, SoundParts& out) {
  for (RememberedParts* parts : {&sound_, &older_sound_}) {
    const auto found = parts->find(part);
    if (found != parts->end()) {
      if (!found->second.reported) {
        out[part] = found->second.answers;
        found->second.reported = true;
      }
      return;
    }
  }
}

SoundParts CrashRecorder::TakeSound(TimePoint now) {
  SoundParts out;
  for (const auto& [part, until] : own_parts_) {
    if (now < until) {
      TakeSoundOf(part, out);
    }
  }
  for (const std::string& part : watched_) {
    TakeSoundOf(part, out);
  }
  return out;
}

}  // namespace sequoialb
