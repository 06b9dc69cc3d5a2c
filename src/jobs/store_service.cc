#include "jobs/store_service.h"

#include <algorithm>
#include <array>

#include "fleet/boot_clock.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kMaintainInterval{200};
constexpr milliseconds kExpireInterval{500};
// Learners that hold the jobs without a vote, so that one can replace a lost
// voter immediately. More of them would only cost memory, disk and traffic
// between failure domains.
constexpr size_t kStandbys = 1;
// Jobs dropped in each interval; several times as many as are accepted in it.
constexpr size_t kMaxDropsAtOnce = 64;
// A read returns at most about this many bytes of results.
constexpr size_t kMaxReadBytes = 900'000;
// How often the leader commits the group's clock while there are jobs. A new
// leader may lose this much of the time.
constexpr milliseconds kClockCommitInterval{2'000};

std::string_view ReasonName(DeathReason reason) {
  constexpr std::array<std::string_view, 4> kNames = {
      "never_possible", "route_ended", "failed_runs", "time_limit"};
  return kNames.at(static_cast<size_t>(reason));
}

bool HasItemsOfOneId(const proto::JobRecord& job) {
  std::set<std::string_view> ids;
  for (const proto::JobItem& item : job.items()) {
    if (!ids.insert(item.id()).second) {
      return true;
    }
  }
  return false;
}

void SetError(proto::JobAnswer& answer, const Error& error) {
  answer.set_error_name(std::string(ErrorName(error.code)));
  answer.set_detail(error.detail);
}

}  // namespace

StoreService::StoreService(const proto::HostInfo& self, HostLinks& links,
                           Metrics& metrics)
    : self_(self),
      links_(links),
      accepted_(metrics.counter("sequoialb_jobs_accepted_total")),
      refused_(metrics.counter("sequoialb_jobs_refused_total")),
      recorded_(metrics.counter("sequoialb_items_recorded_total")) {}

Result<std::unique_ptr<StoreService>> StoreService::Open(
    const proto::HostInfo& self, const std::string& data_folder,
    size_t tolerated_losses, FileSystem& files, HostLinks& links,
    Metrics& metrics, TimePoint now) {
  std::unique_ptr<StoreService> service(new StoreService(self, links, metrics));
  GroupOptions group;
  group.name = "store";
  group.host = self.host();
  group.folder = data_folder + "/store";
  group.max_voters = 2 * tolerated_losses + 1;
  group.standbys = kStandbys;
  group.snapshot_log_bytes = 32U << 20U;
  auto opened = ConsensusGroup::Open(
      group, files, service->jobs_, metrics,
      [&links](const std::string& host, const proto::RaftMessage& message) {
        proto::FleetMessage wrapped;
        wrapped.mutable_group()->set_group("store");
        *wrapped.mutable_group()->mutable_raft() = message;
        links.Send(host, wrapped);
      },
      now);
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  service->group_ = std::move(*opened);
  return service;
}

void StoreService::OnFleetUpdate(
    const std::map<std::string, proto::HostInfo>& hosts,
    const proto::HelloReply& confirmed, TimePoint now) {
  const auto& initial_members = confirmed.store_founders();
  knows_initial_members_ |= !initial_members.empty();
  const bool is_initial_member =
      std::find(initial_members.begin(), initial_members.end(), node()) !=
      initial_members.end();
  if (is_initial_member && !group_->is_member()) {
    group_->Bootstrap({initial_members.begin(), initial_members.end()}, now);
  }
  retiring_hosts_ = {confirmed.retiring_hosts().begin(),
                     confirmed.retiring_hosts().end()};
  scheduler_.SetQuarantines(confirmed.quarantines());
  for (const auto& [host, info] : hosts) {
    if (!info.store() || info.node().empty()) {
      continue;
    }
    GroupCandidate& candidate = candidates_[host];
    if (candidate.node != info.node()) {
      candidate.last_contact = now;
    }
    candidate.node = info.node();
    candidate.failure_domain = info.failure_domain();
  }
  for (const std::string& host : confirmed.live_stores()) {
    const auto known = candidates_.find(host);
    if (known != candidates_.end()) {
      known->second.last_contact = std::max(known->second.last_contact,
                                            FromMicros(confirmed.sent_at_us()));
    }
  }
  // `hosts` contains only the other hosts.
  candidates_[self_.host()] = {node(), self_.failure_domain(), now};
}

void StoreService::OnGroupMessage(const proto::RaftMessage& message,
                                  TimePoint now) {
  // This host may be an initial member, which must not accept a log before it
  // has bootstrapped the group.
  if (!group_->is_member() && !knows_initial_members_) {
    return;
  }
  group_->Receive(message, now);
}

bool StoreService::ConfirmLeadership(TimePoint now) {
  if (!group_->IsConfirmedLeader(now)) {
    return false;
  }
  if (group_->term() != leading_term_) {
    leading_term_ = group_->term();
    clock_.Start(jobs_.clock_ms(), now);
    scheduler_.StartLeading(leading_term_, now);
    recording_.clear();
  }
  return true;
}

void StoreService::Answer(const std::string& to, proto::JobAnswer answer) {
  answer.set_leader_host(group_->leader_host());
  proto::FleetMessage message;
  *message.mutable_job_answer() = std::move(answer);
  links_.Send(to, message);
}

void StoreService::OnCall(const std::string& from, const proto::JobCall& call,
                          TimePoint now) {
  proto::JobAnswer answer;
  answer.set_call(call.call());
  if (!ConfirmLeadership(now)) {
    SetError(answer, {ErrorCode::kNoQuorum,
                      "this host is not the leader of the store group"});
    Answer(from, std::move(answer));
    return;
  }
  if (call.has_submit() || call.kind_case() == proto::JobCall::kEndJob) {
    ProposeCall(from, call, now);
    return;
  }
  if (call.has_read()) {
    ReadResults(call, answer);
  } else {
    ReadBody(call, answer);
  }
  Answer(from, std::move(answer));
}

void StoreService::ProposeCall(const std::string& from,
                               const proto::JobCall& call, TimePoint now) {
  if (call.has_submit() && HasItemsOfOneId(call.submit())) {
    proto::JobAnswer answer;
    answer.set_call(call.call());
    SetError(answer, {ErrorCode::kInvalidField,
                      "Items: two items of the job have the same Id"});
    refused_.Add();
    Answer(from, std::move(answer));
    return;
  }
  proto::StoreCommand command;
  if (call.has_submit()) {
    *command.mutable_submit() = call.submit();
    command.mutable_submit()->set_account(call.account());
    command.mutable_submit()->set_accepted_unix_ms(UnixMs());
  } else {
    const JobState* job = jobs_.Find(call.end_job());
    if (job == nullptr || job->job.account() != call.account()) {
      proto::JobAnswer answer;
      answer.set_call(call.call());
      SetError(answer, {ErrorCode::kNotFound, "no such job"});
      Answer(from, std::move(answer));
      return;
    }
    command.set_end_job(call.end_job());
  }
  const bool submit = call.has_submit();
  Propose(command, now,
          [this, from, submit, number = call.call()](const Status& outcome) {
            proto::JobAnswer answer;
            answer.set_call(number);
            if (!outcome) {
              SetError(answer, outcome.error());
            }
            if (submit) {
              (outcome ? accepted_ : refused_).Add();
            }
            Answer(from, std::move(answer));
          });
}

void StoreService::ReadResults(const proto::JobCall& call,
                               proto::JobAnswer& answer) const {
  const JobState* job = jobs_.Find(call.read().job());
  if (job == nullptr || job->job.account() != call.account()) {
    SetError(answer, {ErrorCode::kNotFound, "no such job"});
    return;
  }
  answer.set_total(job->items.size());
  size_t bytes = 0;
  uint64_t next = call.read().after();
  while (next < job->result_order.size() && bytes < kMaxReadBytes) {
    const JobItemState& item = job->items[job->result_order[next]];
    // The first result is returned whatever its size.
    if (bytes > 0 && bytes + item.output().size() > kMaxReadBytes) {
      break;
    }
    proto::JobResult& result = *answer.add_results();
    result.set_id(item.id());
    result.set_dead(item.failed_permanently);
    result.set_output(item.output());
    bytes += item.output().size() + 1;
    ++next;
  }
  answer.set_next(next);
}

void StoreService::ReadBody(const proto::JobCall& call,
                            proto::JobAnswer& answer) const {
  const JobState* job = jobs_.Find(call.body().job());
  if (job == nullptr || job->job.account() != call.account()) {
    SetError(answer, {ErrorCode::kNotFound, "no such job"});
    return;
  }
  const auto position = job->by_id.find(call.body().item());
  if (position == job->by_id.end() || job->items[position->second].finished) {
    SetError(answer,
             {ErrorCode::kNotFound, "the job has no such unfinished item"});
    return;
  }
  answer.set_body(job->items[position->second].item->body());
}

void StoreService::OnReport(const std::string& from,
                            const proto::ItemReport& report, TimePoint now) {
  proto::FleetMessage message;
  proto::ItemOffers& offers = *message.mutable_item_offers();
  offers.set_leader_host(group_->leader_host());
  offers.set_leads(ConfirmLeadership(now));
  if (offers.leads()) {
    scheduler_.OnReport(from, report, now, offers);
  }
  links_.Send(from, message);
}

void StoreService::AcknowledgeOutcome(const std::string& to,
                                      const proto::ItemName& name) {
  proto::FleetMessage message;
  *message.mutable_item_taken()->mutable_name() = name;
  links_.Send(to, message);
}

void StoreService::OnOutcome(const std::string& from,
                             const proto::ItemOutcome& outcome, TimePoint now) {
  if (!ConfirmLeadership(now)) {
    return;
  }
  const proto::ItemName& name = outcome.name();
  const ItemKey key{name.job(), name.item()};
  const JobState* job = jobs_.Find(name.job());
  const JobItemState* item =
      job == nullptr ? nullptr : job->FindItem(name.item());
  if (item == nullptr || item->finished) {
    AcknowledgeOutcome(from, name);
    return;
  }
  if (recording_.count(key) > 0) {
    return;
  }
  switch (outcome.kind()) {
    case proto::ItemOutcome::kComplete: {
      scheduler_.OnCompleted(outcome, now);
      proto::StoreCommand::ItemDone result;
      result.set_output(outcome.output());
      RecordResult(from, name, std::move(result), now);
      return;
    }
    case proto::ItemOutcome::kNeverPossible:
      RecordDeath(from, outcome, DeathReason::kNeverPossible, now);
      return;
    case proto::ItemOutcome::kRouteMissing:
      if (scheduler_.OnRouteMissing(from, outcome, now)) {
        RecordDeath(from, outcome, DeathReason::kRouteEnded, now);
      } else {
        AcknowledgeOutcome(from, name);
      }
      return;
    case proto::ItemOutcome::kFailed:
      CountFailure(from, outcome, now);
      return;
    default:
      scheduler_.OnReturned(from, outcome, now);
      AcknowledgeOutcome(from, name);
  }
}

// The front is told only once the failure is committed: a failure that a new
// leader does not know of has to be sent again.
void StoreService::CountFailure(const std::string& front,
                                const proto::ItemOutcome& outcome,
                                TimePoint now) {
  const proto::ItemName& name = outcome.name();
  const ItemKey key{name.job(), name.item()};
  const JobItemState* item = jobs_.Find(name.job())->FindItem(name.item());
  if (item->HasCounted(name.attempt())) {
    OnFailureCounted(front, outcome, Fail(ErrorCode::kConflict, ""), now);
    return;
  }
  proto::StoreCommand command;
  proto::StoreCommand::ItemFailed& failed = *command.mutable_failed();
  failed.set_job(name.job());
  failed.set_item(name.item());
  failed.set_attempt(name.attempt());
  failed.set_failures(item->failures + 1);
  recording_.insert(key);
  Propose(command, now,
          [this, front, outcome, key, now](const Status& counted) {
            recording_.erase(key);
            OnFailureCounted(front, outcome, counted, now);
          });
}

void StoreService::OnFailureCounted(const std::string& front,
                                    const proto::ItemOutcome& outcome,
                                    const Status& counted, TimePoint now) {
  const bool repeated =
      !counted && counted.error().code == ErrorCode::kConflict;
  if (!counted && !repeated) {
    return;
  }
  const proto::ItemName& name = outcome.name();
  const JobState* job = jobs_.Find(name.job());
  const JobItemState* item =
      job == nullptr ? nullptr : job->FindItem(name.item());
  LogInfo(repeated ? "item_failure_repeated" : "item_failure_counted",
          {{"job", name.job()},
           {"item", name.item()},
           {"front", front},
           {"attempt", std::to_string(name.attempt())},
           {"backend", outcome.backend()},
           {"status", std::to_string(outcome.status())},
           {"failures", std::to_string(item == nullptr ? 0 : item->failures)}});
  scheduler_.OnFailed(front, outcome, now);
  if (item != nullptr && !item->finished && job->IsSpent(*item)) {
    RecordDeath(front, outcome, DeathReason::kFailedRuns, now);
  } else {
    AcknowledgeOutcome(front, name);
  }
}

void StoreService::RecordDeath(const std::string& front,
                               const proto::ItemOutcome& outcome,
                               DeathReason reason, TimePoint now) {
  const proto::ItemName& name = outcome.name();
  const JobState* job = jobs_.Find(name.job());
  LogInfo("item_dead",
          {{"job", name.job()},
           {"item", name.item()},
           {"reason", std::string(ReasonName(reason))},
           {"front", front},
           {"attempt", std::to_string(name.attempt())},
           {"backend", outcome.backend()},
           {"status", std::to_string(outcome.status())},
           {"catalog", std::to_string(outcome.catalog_version())},
           {"accepted_ms_ago",
            std::to_string(clock_.NowMs(now) - job->job.accepted_clock_ms())}});
  proto::StoreCommand::ItemDone result;
  result.set_dead(true);
  RecordResult(front, name, std::move(result), now);
}

void StoreService::RecordResult(const std::string& front,
                                const proto::ItemName& name,
                                proto::StoreCommand::ItemDone result,
                                TimePoint now) {
  proto::StoreCommand command;
  result.set_job(name.job());
  result.set_item(name.item());
  *command.mutable_done() = std::move(result);
  const ItemKey key{name.job(), name.item()};
  recording_.insert(key);
  Propose(command, now, [this, front, name, key](const Status& outcome) {
    recording_.erase(key);
    if (!outcome) {
      return;
    }
    recorded_.Add();
    scheduler_.Remove(name.job(), name.item());
    if (!front.empty()) {
      AcknowledgeOutcome(front, name);
    }
  });
}

void StoreService::Propose(proto::StoreCommand& command, TimePoint now,
                           ConsensusGroup::DoneCallback done) {
  command.set_clock_ms(clock_.NowMs(now));
  group_->Propose(command.SerializeAsString(), now, std::move(done));
}

// Records items as permanently failed once the time limit of their submission
// has passed, and drops closed jobs whose results are no longer retained.
void StoreService::ExpireJobs(TimePoint now) {
  const int64_t clock_ms = clock_.NowMs(now);
  for (const std::string& id :
       jobs_.ClosedJobsToDrop(clock_ms, kMaxDropsAtOnce)) {
    proto::StoreCommand command;
    command.set_drop_job(id);
    Propose(command, now, [](const Status&) {});
  }
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!job.open()) {
      continue;
    }
    const int64_t age = clock_ms - job.job.accepted_clock_ms();
    const bool expired =
        job.job.give_up_ms() != 0 && age > job.job.give_up_ms();
    for (const JobItemState& item : job.items) {
      // An earlier leader may have counted the last failure without recording
      // the item's death.
      const bool ends = expired || job.IsSpent(item);
      if (ends && !item.finished && recording_.count({id, item.id()}) == 0) {
        proto::ItemOutcome outcome;
        outcome.mutable_name()->set_job(id);
        outcome.mutable_name()->set_item(item.id());
        RecordDeath(
            "", outcome,
            expired ? DeathReason::kTimeLimit : DeathReason::kFailedRuns, now);
      }
    }
  }
}

void StoreService::Tick(TimePoint now) {
  group_->Tick(now);
  if (!group_->leads()) {
    return;
  }
  if (now >= maintain_at_) {
    maintain_at_ = now + kMaintainInterval;
    group_->MaintainMembership(candidates_, retiring_hosts_, now);
  }
  if (!ConfirmLeadership(now)) {
    return;
  }
  scheduler_.Tick(now);
  if (now >= expire_at_) {
    expire_at_ = now + kExpireInterval;
    ExpireJobs(now);
  }
  if (now >= commit_clock_at_ && !jobs_.jobs().empty()) {
    commit_clock_at_ = now + kClockCommitInterval;
    proto::StoreCommand command;
    Propose(command, now, [](const Status&) {});
  }
}

void StoreService::Flush(TimePoint now) { group_->Flush(now); }

}  // namespace sequoialb
