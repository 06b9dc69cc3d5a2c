#include "quarantine/crash_recorder.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sequoialb {
namespace {

// Bytes that a server sent before its crash may still be read for this long
// after the first of its connections has ended.
constexpr milliseconds kInFlightTime{30};
// A break later than this after the first one begins another suspicion.
constexpr milliseconds kGatherTime{500};
// Sound answers to the parts of a crash are collected for this long.
constexpr milliseconds kWatchTime{10'000};
// Requests kept of one crash, and parts of own crashes that are watched.
constexpr size_t kMaxRequests = 64;
constexpr size_t kMaxOwnParts = 1'024;
// Servers whose latest crash is remembered.
constexpr size_t kMaxEnded = 4'096;
// Sound answers are remembered for at least this long, and to this many parts.
constexpr milliseconds kSoundMemory{5'000};
constexpr size_t kMaxSoundParts = 4'096;

int64_t StartOf(const std::map<std::string, int64_t>& starts,
                const std::string& key) {
  const auto found = starts.find(key);
  return found == starts.end() ? 0 : found->second;
}

}  // namespace

std::string_view NameOf(CrashProof proof) {
  constexpr std::array<std::string_view, 2> kNames = {"refused", "later start"};
  return kNames.at(static_cast<size_t>(proof));
}

void CrashRecorder::Prove(Suspicion& suspicion, CrashProof proof) {
  if (!suspicion.proven) {
    suspicion.proven = true;
    suspicion.record.proof = proof;
  }
}

bool CrashRecorder::HasLaterStart(const ServerProcess& server) const {
  return server.started_unix_ms > 0 &&
         (StartOf(starts_, server.backend) > server.started_unix_ms ||
          StartOf(starts_at_, server.address) > server.started_unix_ms);
}

void CrashRecorder::AddEvent(SuspicionChange change,
                             const Suspicion& suspicion) {
  events_.push_back({change, suspicion.server, suspicion.record.requests.size(),
                     suspicion.first_age});
}

void CrashRecorder::SetServers(const std::vector<ServerProcess>& servers) {
  starts_.clear();
  starts_at_.clear();
  for (const ServerProcess& server : servers) {
    int64_t& by_id = starts_[server.backend];
    by_id = std::max(by_id, server.started_unix_ms);
    int64_t& by_address = starts_at_[server.address];
    by_address = std::max(by_address, server.started_unix_ms);
  }
  for (auto& [backend, suspicion] : suspicions_) {
    if (HasLaterStart(suspicion.server)) {
      Prove(suspicion, CrashProof::kLaterStart);
    }
  }
}

void CrashRecorder::RecordBroken(const ServerProcess& server,
                                 const std::vector<std::string>& shared_parts,
                                 TimePoint begun_at, TimePoint now) {
  std::optional<Duration> age;
  if (begun_at != TimePoint()) {
    age = now - begun_at;
  }
  if (shared_parts.empty() || age > kFreshTime) {
    return;
  }
  auto [entry, added] = suspicions_.try_emplace(server.backend);
  if (!added && !entry->second.proven &&
      now - entry->second.record.at > kGatherTime) {
    AddEvent(SuspicionChange::kUnproven, entry->second);
    entry->second = {};
    added = true;
  }
  Suspicion& suspicion = entry->second;
  CrashRecord& record = suspicion.record;
  if (added) {
    suspicion.server = server;
    suspicion.first_age = age;
    record.backend = server.backend;
    record.at = now;
    // An answer that begins after the process has ended is that of a later one,
    // whose start is not known yet.
    const auto ended = ended_.find(server.backend);
    const bool restarted = ended != ended_.end() &&
                           begun_at > ended->second.first &&
                           server.started_unix_ms == ended->second.second;
    if (restarted) {
      suspicion.server.started_unix_ms = 0;
    }
    record.started_unix_ms = suspicion.server.started_unix_ms;
    record.youngest = record.oldest = age.value_or(Duration(0));
  }
  record.youngest = std::min(record.youngest, age.value_or(Duration(0)));
  record.oldest = std::max(record.oldest, age.value_or(Duration(0)));
  if (record.requests.size() < kMaxRequests) {
    record.requests.push_back(shared_parts);
  }
  if (added) {
    AddEvent(SuspicionChange::kBegun, suspicion);
  }
  if (HasLaterStart(suspicion.server)) {
    Prove(suspicion, CrashProof::kLaterStart);
  }
}

void CrashRecorder::RecordRefused(const std::string& address, TimePoint now) {
  for (auto& [backend, suspicion] : suspicions_) {
    if (suspicion.server.address == address && now >= suspicion.record.at) {
      Prove(suspicion, CrashProof::kRefused);
    }
  }
}

int CrashRecorder::ProbesUntil(const Suspicion& suspicion, TimePoint now) {
  const Duration since = now - suspicion.record.at;
  return (since >= kFirstProbe ? 1 : 0) + (since >= kSecondProbe ? 1 : 0);
}

void CrashRecorder::RecordAccepted(const std::string& address, TimePoint now) {
  for (auto& [backend, suspicion] : suspicions_) {
    if (suspicion.server.address == address) {
      suspicion.probes =
          std::max(suspicion.probes, ProbesUntil(suspicion, now));
    }
  }
}

std::vector<std::string> CrashRecorder::ProbesDue(TimePoint now) {
  std::set<std::string> due;
  for (auto& [backend, suspicion] : suspicions_) {
    const int probes = ProbesUntil(suspicion, now);
    if (!suspicion.proven && probes > suspicion.probes) {
      suspicion.probes = probes;
      due.insert(suspicion.server.address);
    }
  }
  return {due.begin(), due.end()};
}

void CrashRecorder::RecordAlive(const std::string& backend, TimePoint now) {
  const auto found = suspicions_.find(backend);
  if (found != suspicions_.end() && !found->second.proven &&
      now - found->second.record.at > kInFlightTime) {
    AddEvent(SuspicionChange::kRefuted, found->second);
    suspicions_.erase(found);
  }
}

std::vector<SuspicionEvent> CrashRecorder::TakeEvents() {
  return std::exchange(events_, {});
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
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    Suspicion& suspicion = it->second;
    const Duration since = now - suspicion.record.at;
    if (suspicion.proven && since >= kConfirmationTime) {
      if (ended_.size() >= kMaxEnded) {
        ended_.clear();
      }
      auto& [ended_at, started] = ended_[it->first];
      ended_at = suspicion.record.at;
      started = std::max(started, suspicion.record.started_unix_ms);
      crashes.push_back(std::move(suspicion.record));
      it = suspicions_.erase(it);
    } else if (!suspicion.proven && since >= kProofTime) {
      AddEvent(SuspicionChange::kUnproven, suspicion);
      it = suspicions_.erase(it);
    } else {
      ++it;
    }
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
