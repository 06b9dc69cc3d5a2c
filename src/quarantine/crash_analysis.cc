#include "quarantine/crash_analysis.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "quarantine/survivor_count.h"

namespace sequoialb {
namespace {

// Reports about one server within this time concern the same crash.
constexpr milliseconds kMergeTime{200};
// The same for reports that name the same start of the server. The breaks of
// one crash reach fronts with a longer way later.
constexpr milliseconds kMergeTimeOfStart{2'000};
// No longer than a quarantine, so that it does not begin again at its end by
// the crashes that it was found in.
constexpr milliseconds kMaxAge{60'000};
// How long a part that was quarantined and then answered takes more crashes.
constexpr milliseconds kRefutationTime{600'000};
// Watched parts come from crashes that are at most this old.
constexpr milliseconds kWatchTime{10'000};
// A front's survivors count for this long after its report.
constexpr milliseconds kSurvivorsMaxAge{2'000};
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxRequestsOfCrash = 256;
constexpr size_t kMaxWatched = 64;
constexpr size_t kMaxSoundParts = 8'192;
// A part counts as suspect as the part with the most crashes when it has at
// least this fraction of them; among these the rarest part is chosen.
constexpr double kComparableFraction = 0.75;

bool Contains(const std::vector<std::string>& parts, const std::string& part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool IsExplained(const std::vector<std::vector<std::string>>& requests,
                 const Quarantines& active) {
  return std::any_of(requests.begin(), requests.end(),
                     [&](const std::vector<std::string>& parts) {
                       return FindQuarantine(active, parts) != nullptr;
                     });
}

bool HasAll(const std::vector<std::string>& parts,
            const std::vector<std::string>& wanted) {
  return std::all_of(
      wanted.begin(), wanted.end(),
      [&](const std::string& part) { return Contains(parts, part); });
}

}  // namespace

bool CrashAnalysis::IsSameCrash(const Crash& crash, const std::string& backend,
                                TimePoint at, int64_t started_unix_ms) {
  const bool same_start =
      started_unix_ms > 0 && crash.started_unix_ms == started_unix_ms;
  const milliseconds limit = same_start ? kMergeTimeOfStart : kMergeTime;
  return crash.backend == backend && crash.at < at + limit &&
         at < crash.at + limit;
}

void CrashAnalysis::AddCrash(
    const std::string& backend, TimePoint at,
    const std::vector<std::vector<std::string>>& requests,
    int64_t started_unix_ms) {
  changed_ = true;
  Crash merged{backend, at, {}, started_unix_ms};
  const auto same =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return IsSameCrash(crash, backend, at, started_unix_ms);
      });
  if (same != crashes_.end()) {
    merged = std::move(*same);
    crashes_.erase(same);
    merged.at = std::min(merged.at, at);
    merged.started_unix_ms = std::max(merged.started_unix_ms, started_unix_ms);
  }
  for (const std::vector<std::string>& parts : requests) {
    if (merged.requests.size() < kMaxRequestsOfCrash) {
      merged.requests.push_back(parts);
    }
  }
  const auto position = std::upper_bound(
      crashes_.begin(), crashes_.end(), merged.at,
      [](TimePoint time, const Crash& crash) { return time < crash.at; });
  crashes_.insert(position, std::move(merged));
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
}

void CrashAnalysis::AddSound(const std::string& part,
                             const SoundAnswers& answers) {
  changed_ = true;
  if (sound_.size() < kMaxSoundParts || sound_.count(part) > 0) {
    SoundAnswers& last = sound_[part];
    last.at = std::max(last.at, answers.at);
    last.whole_at = std::max(last.whole_at, answers.whole_at);
  }
}

bool CrashAnalysis::IsSoundSince(const std::string& part, TimePoint at) const {
  const auto found = sound_.find(part);
  return found != sound_.end() && found->second.at >= at;
}

bool CrashAnalysis::IsCleared(const std::string& part,
                              TimePoint crash_at) const {
  const auto found = sound_.find(part);
  return found != sound_.end() &&
         (found->second.at >= crash_at ||
          (found->second.whole_at != TimePoint() &&
           found->second.whole_at >= crash_at - kClearedBefore));
}

void CrashAnalysis::Expire(TimePoint now) {
  while (!crashes_.empty() && now - crashes_.front().at > kMaxAge) {
    crashes_.pop_front();
  }
  for (auto it = sound_.begin(); it != sound_.end();) {
    it = now - it->second.at > kMaxAge ? sound_.erase(it) : std::next(it);
  }
  std::erase_if(refutations_, [now](const auto& entry) {
    return now - entry.second.at > kRefutationTime;
  });
}

void CrashAnalysis::SetSurvivors(const std::string& front, uint32_t survivors,
                                 TimePoint now) {
  survivors_[front] = {survivors, now};
}

size_t CrashAnalysis::CrashesByChance(const Suspicion& suspicion,
                                      TimePoint now) const {
  size_t survivors = 0;
  bool known = false;
  for (const auto& [front, reported] : survivors_) {
    if (now - reported.at < kSurvivorsMaxAge) {
      known = true;
      survivors += reported.count;
    }
  }
  if (!known) {
    return 0;
  }
  size_t broken = 0;
  for (const Crash& crash : crashes_) {
    const Duration age = now - crash.at;
    broken += age >= kSettleTime && age < SurvivorCount::kWindow
                  ? crash.requests.size()
                  : 0;
  }
  const auto others = static_cast<double>(
      broken - std::min(broken, suspicion.explained_requests));
  if (others < kMinOthers) {
    return 0;
  }
  const double chance = others / (others + static_cast<double>(survivors) + 1);
  const double needed = std::ceil(std::log(kMaxChance) / std::log(chance));
  return std::min(kMaxByChance, static_cast<size_t>(needed));
}

size_t CrashAnalysis::CrashesNeeded(const std::string& part,
                                    const Suspicion& suspicion,
                                    const Quarantines& active,
                                    TimePoint now) const {
  const auto refuted = refutations_.find(part);
  const size_t refutations =
      refuted == refutations_.end() ? 0 : refuted->second.count;
  return std::max(kMinCrashes, CrashesByChance(suspicion, now)) *
             (1 + refutations) +
         kCrashesPerQuarantine * static_cast<size_t>(active.size()) +
         suspicion.others / kOtherCrashesPerMinCrash;
}

bool CrashAnalysis::IsEnough(const std::string& part,
                             const Suspicion& suspicion,
                             const Quarantines& active, TimePoint now) const {
  return suspicion.crashes >= CrashesNeeded(part, suspicion, active, now) &&
         suspicion.unexplained >= kMinUnexplained &&
         suspicion.moments >= kMinMoments &&
         now - suspicion.first_unexplained_at >= kObservationTime;
}

std::map<std::string, CrashAnalysis::Suspicion> CrashAnalysis::Suspicions(
    const Quarantines& active, TimePoint now) const {
  std::map<std::string, Suspicion> suspicions;
  size_t counted_crashes = 0;
  for (const Crash& crash : crashes_) {
    if (now - crash.at < kSettleTime) {
      continue;
    }
    ++counted_crashes;
    const bool explained = IsExplained(crash.requests, active);
    std::set<std::string> counted;
    for (const std::vector<std::string>& parts : crash.requests) {
      for (const std::string& part : parts) {
        if (IsCleared(part, crash.at)) {
          continue;
        }
        Suspicion& suspicion = suspicions[part];
        ++suspicion.requests;
        if (!counted.insert(part).second) {
          continue;
        }
        suspicion.explained_requests +=
            now - crash.at < SurvivorCount::kWindow ? crash.requests.size() : 0;
        const bool new_moment = suspicion.crashes == 0 ||
                                crash.at - suspicion.moment_at >= kMomentTime;
        if (suspicion.crashes == 0) {
          suspicion.crashes_before = counted_crashes - 1;
        }
        if (!explained && suspicion.unexplained == 0) {
          suspicion.first_unexplained_at = crash.at;
        }
        if (new_moment) {
          suspicion.moment_at = crash.at;
        }
        ++suspicion.crashes;
        suspicion.moments += new_moment ? 1 : 0;
        suspicion.unexplained += explained ? 0 : 1;
      }
    }
  }
  for (auto& [part, suspicion] : suspicions) {
    suspicion.others =
        counted_crashes - suspicion.crashes_before - suspicion.crashes;
  }
  return suspicions;
}

std::vector<std::string> CrashAnalysis::Combination(
    const std::string& part) const {
  std::optional<std::vector<std::string>> common;
  TimePoint first_at;
  for (const Crash& crash : crashes_) {
    if (IsCleared(part, crash.at)) {
      continue;
    }
    for (const std::vector<std::string>& parts : crash.requests) {
      if (!Contains(parts, part)) {
        continue;
      }
      if (!common) {
        common = parts;
        first_at = crash.at;
      }
      common->erase(std::remove_if(common->begin(), common->end(),
                                   [&](const std::string& other) {
                                     return !Contains(parts, other) ||
                                            IsCleared(other, first_at);
                                   }),
                    common->end());
    }
  }
  return common.value_or(std::vector<std::string>());
}

std::vector<std::string> CrashAnalysis::BackendsOf(
    const std::vector<std::string>& parts) const {
  std::set<std::string> backends;
  for (const Crash& crash : crashes_) {
    if (std::any_of(crash.requests.begin(), crash.requests.end(),
                    [&](const std::vector<std::string>& request) {
                      return HasAll(request, parts);
                    })) {
      backends.insert(crash.backend);
    }
  }
  return {backends.begin(), backends.end()};
}

// A part of a quarantined combination that has been answered since the last
// crash with the combination is not the cause.
std::optional<QuarantineChange> CrashAnalysis::NarrowByAnswers(
    const Quarantines& active, TimePoint now) {
  for (const proto::Quarantine& quarantine : active) {
    const std::vector<std::string> parts(quarantine.parts().begin(),
                                         quarantine.parts().end());
    std::optional<TimePoint> last_crash;
    for (const Crash& crash : crashes_) {
      if (std::any_of(crash.requests.begin(), crash.requests.end(),
                      [&](const std::vector<std::string>& request) {
                        return HasAll(request, parts);
                      })) {
        last_crash = crash.at;
      }
    }
    std::vector<std::string> suspect;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(suspect),
                 [&](const std::string& part) {
                   return !IsSoundSince(part, last_crash.value_or(TimePoint()));
                 });
    if (suspect.size() < parts.size()) {
      for (const std::string& part : parts) {
        if (!Contains(suspect, part)) {
          // The same answer is found again until the change is in force.
          Refutation& refutation = refutations_[part];
          refutation.count += now - refutation.at > kObservationTime ? 1 : 0;
          refutation.at = now;
        }
      }
      QuarantineChange change;
      change.ends = parts;
      change.begins = suspect;
      change.is_answered = true;
      change.reason = "a part was answered without a crash";
      return change;
    }
  }
  return std::nullopt;
}

std::optional<QuarantineChange> CrashAnalysis::Decide(const Quarantines& active,
                                                      TimePoint now) {
  Expire(now);
  if (changed_) {
    changed_ = false;
    decide_until_ = now + kObservationTime * 2;
  }
  if (now > decide_until_) {
    return std::nullopt;
  }
  if (auto narrowed = NarrowByAnswers(active, now)) {
    return narrowed;
  }
  const std::map<std::string, Suspicion> suspicions = Suspicions(active, now);
  size_t most_crashes = 0;
  for (const auto& [part, suspicion] : suspicions) {
    if (suspicion.unexplained > 0) {
      most_crashes = std::max(most_crashes, suspicion.crashes);
    }
  }
  const std::string* chosen = nullptr;
  size_t fewest_requests = 0;
  for (const auto& [part, suspicion] : suspicions) {
    const bool enough = IsEnough(part, suspicion, active, now);
    const bool comparable =
        static_cast<double>(suspicion.crashes) >=
        kComparableFraction * static_cast<double>(most_crashes);
    if (enough && comparable &&
        (chosen == nullptr || suspicion.requests < fewest_requests)) {
      chosen = &part;
      fewest_requests = suspicion.requests;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  QuarantineChange change;
  change.begins = Combination(*chosen);
  change.crashes = suspicions.at(*chosen).crashes;
  change.backends = BackendsOf(change.begins);
  change.reason = "every request with these parts crashed its server";
  // A narrower combination replaces a wider one.
  for (const proto::Quarantine& quarantine : active) {
    const std::vector<std::string> parts(quarantine.parts().begin(),
                                         quarantine.parts().end());
    if (HasAll(parts, change.begins)) {
      change.ends = parts;
      break;
    }
  }
  return change;
}

std::vector<std::string> CrashAnalysis::WatchedParts(const Quarantines& active,
                                                     TimePoint now) const {
  std::set<std::string> watched;
  for (const proto::Quarantine& quarantine : active) {
    watched.insert(quarantine.parts().begin(), quarantine.parts().end());
  }
  std::map<std::string, size_t> recent;
  for (const Crash& crash : crashes_) {
    if (now - crash.at > kWatchTime) {
      continue;
    }
    std::set<std::string> counted;
    for (const std::vector<std::string>& parts : crash.requests) {
      counted.insert(parts.begin(), parts.end());
    }
    for (const std::string& part : counted) {
      ++recent[part];
    }
  }
  for (const auto& [part, crashes] : recent) {
    if (crashes >= 2 && watched.size() < kMaxWatched) {
      watched.insert(part);
    }
  }
  return {watched.begin(), watched.end()};
}

}  // namespace sequoialb
