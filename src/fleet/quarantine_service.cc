#include "fleet/quarantine_service.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kDecideInterval{50};
// An older age in a report is an error of its sender.
constexpr uint32_t kMaxReportAgeMs = 120'000;
// Names in one field of a log line.
constexpr size_t kMaxNamesLogged = 16;

std::string ListText(const std::vector<std::string>& names) {
  std::string text;
  for (size_t i = 0; i < std::min(names.size(), kMaxNamesLogged); ++i) {
    text.append(text.empty() ? "" : " ").append(names[i]);
  }
  return text;
}

}  // namespace

QuarantineService::QuarantineService(const ControlState& state,
                                     Metrics& metrics)
    : state_(state),
      crashes_(metrics.counter("sequoialb_backend_crash_reports_total")),
      begun_(metrics.counter("sequoialb_quarantines_begun_total")),
      active_(metrics.gauge("sequoialb_quarantines")) {}

void QuarantineService::OnHello(const std::string& from,
                                const proto::HostHello& hello, TimePoint now) {
  trials_.SetWanted(from, hello.trials_wanted(), now);
  if (!hello.info().front()) {
    return;
  }
  trials_.AddFront(from, hello.info().incarnation(), hello.info().leaving(),
                   now);
  if (hello.has_survivors()) {
    analysis_.SetSurvivors(from, hello.survivors(), now);
  }
  Reporter& reporter = reporters_[from];
  if (reporter.incarnation != hello.info().incarnation()) {
    reporter = {hello.info().incarnation(), 0};
  }
  for (const proto::BackendCrash& crash : hello.crashes()) {
    if (crash.number() <= reporter.cursor) {
      continue;
    }
    reporter.cursor = crash.number();
    std::vector<std::vector<std::string>> requests;
    for (const proto::PromptParts& request : crash.requests()) {
      requests.emplace_back(request.parts().begin(), request.parts().end());
    }
    const TimePoint at =
        now - milliseconds(std::min(crash.ago_ms(), kMaxReportAgeMs));
    analysis_.AddCrash(crash.backend(), at, requests, crash.started_unix_ms());
    crashes_.Add();
    LogInfo("crash_reported",
            {{"backend", crash.backend()},
             {"front", from},
             {"started_unix_ms", std::to_string(crash.started_unix_ms())},
             {"ago_ms", std::to_string(crash.ago_ms())},
             {"requests", std::to_string(requests.size())}});
  }
  for (const proto::SoundAnswer& answer : hello.sound_answers()) {
    const auto time_of = [now](uint32_t ago_ms) {
      return now - milliseconds(std::min(ago_ms, kMaxReportAgeMs));
    };
    SoundAnswers answers{time_of(answer.ago_ms()), TimePoint()};
    if (answer.has_whole()) {
      answers.whole_at = time_of(answer.whole_ago_ms());
    }
    analysis_.AddSound(answer.part(), answers);
  }
}

uint64_t QuarantineService::CrashCursor(const proto::HostInfo& front) const {
  const auto found = reporters_.find(front.host());
  return found == reporters_.end() ? 0 : found->second.cursor;
}

void QuarantineService::FillReply(const proto::HostHello& hello,
                                  proto::HelloReply& reply) const {
  const uint64_t hash = HashOf(state_.quarantines());
  reply.set_quarantines_hash(hash);
  if (hello.quarantines_hash() != hash) {
    *reply.mutable_quarantines() = state_.quarantines();
  }
  if (hello.info().front()) {
    *reply.mutable_watched_parts() = {watched_.begin(), watched_.end()};
  }
}

std::optional<QuarantineChange> QuarantineService::NextChange(TimePoint now) {
  const int64_t unix_now = UnixMs();
  for (const proto::Quarantine& quarantine : state_.quarantines()) {
    if (quarantine.until_unix_ms() <= unix_now) {
      QuarantineChange change;
      change.ends = PartsOf(quarantine);
      change.reason = "its time is over";
      return change;
    }
  }
  return analysis_.Decide(state_.quarantines(), now);
}

void QuarantineService::Tick(bool confirmed_leader, TimePoint now,
                             const Propose& propose) {
  active_.Set(state_.quarantines().size());
  if (!confirmed_leader || now < decide_at_ || pending_ > 0) {
    return;
  }
  decide_at_ = now + kDecideInterval;
  watched_ = analysis_.WatchedParts(state_.quarantines(), now);
  const auto change = NextChange(now);
  if (!change) {
    if (const auto grant = trials_.Next(state_.quarantines(), now)) {
      GrantTrial(*grant, propose);
    }
    return;
  }
  if (!change->begins.empty()) {
    Begin(*change, propose);
  }
  if (!change->ends.empty()) {
    End(*change, propose);
  }
}

int64_t QuarantineService::NextTermEnd(const std::vector<std::string>& parts) {
  const int64_t unix_now = UnixMs();
  for (auto it = terms_.begin(); it != terms_.end();) {
    const bool forgotten =
        unix_now > it->second.until_unix_ms + it->second.length.count();
    it = forgotten ? terms_.erase(it) : std::next(it);
  }
  Term& term = terms_[parts];
  term.length =
      std::clamp(term.length * 2, kQuarantineTime, kMaxQuarantineTime);
  term.until_unix_ms = unix_now + term.length.count();
  return term.until_unix_ms;
}

void QuarantineService::Begin(const QuarantineChange& change,
                              const Propose& propose) {
  proto::ControlCommand command;
  proto::Quarantine& quarantine = *command.mutable_quarantine();
  *quarantine.mutable_parts() = {change.begins.begin(), change.begins.end()};
  quarantine.set_until_unix_ms(NextTermEnd(change.begins));
  // A harmful part has been tried as often as the combination that it was in,
  // or as in its last term.
  quarantine.set_trials(
      std::max(TrialsOf(change.ends), terms_[change.begins].trials));
  ++pending_;
  propose(command, [this, change](const Status& outcome) {
    --pending_;
    begun_.Add(outcome ? 1 : 0);
    LogWarn("quarantine_begun",
            {{"parts", PartsText(change.begins)},
             {"reason", change.reason},
             {"crashes", std::to_string(change.crashes)},
             {"backends", ListText(change.backends)},
             {"in_force", std::to_string(state_.quarantines().size())},
             {"outcome", outcome ? "committed" : outcome.error().detail}});
  });
}

void QuarantineService::End(const QuarantineChange& change,
                            const Propose& propose) {
  if (change.begins.empty() && change.is_answered) {
    terms_.erase(change.ends);
  } else if (const auto term = terms_.find(change.ends); term != terms_.end()) {
    term->second.trials = TrialsOf(change.ends);
  }
  proto::ControlCommand command;
  *command.mutable_release()->mutable_parts() = {change.ends.begin(),
                                                 change.ends.end()};
  ++pending_;
  propose(command, [this, change](const Status& outcome) {
    --pending_;
    LogInfo("quarantine_ended",
            {{"parts", PartsText(change.ends)},
             {"reason", change.reason},
             {"replaced_by", PartsText(change.begins)},
             {"outcome", outcome ? "committed" : outcome.error().detail}});
  });
}

uint32_t QuarantineService::TrialsOf(
    const std::vector<std::string>& parts) const {
  for (const proto::Quarantine& quarantine : state_.quarantines()) {
    if (PartsOf(quarantine) == parts) {
      return quarantine.trials();
    }
  }
  return 0;
}

void QuarantineService::GrantTrial(
    const proto::ControlCommand::GrantTrial& grant, const Propose& propose) {
  proto::ControlCommand command;
  *command.mutable_grant_trial() = grant;
  ++pending_;
  propose(command, [this, grant](const Status& outcome) {
    --pending_;
    for (const proto::PromptParts& parts : grant.quarantines()) {
      const std::vector<std::string> quarantine(parts.parts().begin(),
                                                parts.parts().end());
      LogInfo("quarantine_trial_granted",
              {{"parts", PartsText(quarantine)},
               {"trial", std::to_string(TrialsOf(quarantine))},
               {"front", grant.host()},
               {"outcome", outcome ? "committed" : outcome.error().detail}});
    }
  });
}

}  // namespace sequoialb
