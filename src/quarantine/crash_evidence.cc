#include "quarantine/crash_evidence.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr size_t kMaxCrashes = 128;
// Longer than the time in which a control host is sure to get a heartbeat.
constexpr milliseconds kSoundMaxAge{5'000};

uint32_t AgeMs(TimePoint at, TimePoint now) {
  return static_cast<uint32_t>(RemainingMs(now, at));
}

}  // namespace

void CrashEvidence::AddCrash(const CrashRecord& record) {
  NumberedCrash numbered;
  numbered.at = record.at;
  proto::BackendCrash& crash = numbered.crash;
  crash.set_number(++last_number_);
  crash.set_backend(record.backend);
  crash.set_started_unix_ms(record.started_unix_ms);
  for (const std::vector<std::string>& parts : record.requests) {
    *crash.add_requests()->mutable_parts() = {parts.begin(), parts.end()};
  }
  crashes_.push_back(std::move(numbered));
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
}

void CrashEvidence::AddSound(const SoundParts& sound, TimePoint now) {
  for (const auto& [part, answers] : sound) {
    SoundAnswers& known = sound_[part];
    known.at = answers.at;
    known.whole_at = std::max(known.whole_at, answers.whole_at);
  }
  for (auto it = sound_.begin(); it != sound_.end();) {
    it = now - it->second.at > kSoundMaxAge ? sound_.erase(it) : std::next(it);
  }
}

void CrashEvidence::Fill(uint64_t cursor, TimePoint now,
                         proto::HostHello& hello) const {
  hello.clear_crashes();
  hello.clear_sound_answers();
  for (const NumberedCrash& numbered : crashes_) {
    if (numbered.crash.number() > cursor) {
      proto::BackendCrash& crash = *hello.add_crashes();
      crash = numbered.crash;
      crash.set_ago_ms(AgeMs(numbered.at, now));
    }
  }
  for (const auto& [part, answers] : sound_) {
    if (now - answers.at <= kSoundMaxAge) {
      proto::SoundAnswer& answer = *hello.add_sound_answers();
      answer.set_part(part);
      answer.set_ago_ms(AgeMs(answers.at, now));
      answer.set_has_whole(answers.whole_at != TimePoint());
      if (answer.has_whole()) {
        answer.set_whole_ago_ms(AgeMs(answers.whole_at, now));
      }
    }
  }
}

}  // namespace sequoialb
