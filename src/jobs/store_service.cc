#include "jobs/store_service.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kMaintainInterval{200};
constexpr milliseconds kExpireInterval{500};
// Hosts that hold the jobs without a vote, so that one votes within a moment of
// a voter's loss; further ones would only cost memory, disk and bytes between
// failure domains.
constexpr size_t kStandBys = 1;
// A read returns results of about this many bytes at the most.
constexpr size_t kReadBytes = 900'000;
// Clocks of day differ between hosts and step by seconds; what goes by them
// waits this much longer.
constexpr int64_t kClockMarginMs = 8'000;

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
  group.standbys = kStandBys;
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

void StoreService::OnFleet(const std::map<std::string, proto::HostInfo>& hosts,
                           const proto::HelloReply& confirmed, TimePoint now) {
  const auto& founders = confirmed.store_founders();
  knows_founders_ |= !founders.empty();
  const bool founds =
      std::find(founders.begin(), founders.end(), node()) != founders.end();
  if (founds && !group_->is_member()) {
    group_->Bootstrap({founders.begin(), founders.end()}, now);
  }
  retiring_ = {confirmed.retiring_hosts().begin(),
               confirmed.retiring_hosts().end()};
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
  // The directory names the other hosts alone.
  candidates_[self_.host()] = {node(), self_.failure_domain(), now};
}

void StoreService::OnGroup(const proto::RaftMessage& message, TimePoint now) {
  // It may be a founder, which must not take a log before it has founded.
  if (!group_->is_member() && !knows_founders_) {
    return;
  }
  const auto from = candidates_.find(
      message.from_node().substr(0, message.from_node().find('@')));
  if (from != candidates_.end() && from->second.node == message.from_node()) {
    from->second.last_contact = now;
  }
  group_->Receive(message, now);
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
  if (!group_->IsConfirmedLeader(now)) {
    SetError(answer, {ErrorCode::kNoQuorum, "this host does not lead"});
    Answer(from, std::move(answer));
    return;
  }
  if (call.has_submit() || call.kind_case() == proto::JobCall::kEndJob) {
    ProposeCall(from, call, now);
    return;
  }
  if (call.has_read()) {
    Read(call, answer);
  } else {
    Body(call, answer);
  }
  Answer(from, std::move(answer));
}

void StoreService::ProposeCall(const std::string& from,
                               const proto::JobCall& call, TimePoint now) {
  proto::StoreCommand command;
  if (call.has_submit()) {
    *command.mutable_submit() = call.submit();
    command.mutable_submit()->set_account(call.account());
    command.mutable_submit()->set_accepted_unix_ms(UnixMs());
  } else {
    const KeptJob* job = jobs_.Find(call.end_job());
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
  group_->Propose(
      command.SerializeAsString(), now,
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

void StoreService::Read(const proto::JobCall& call,
                        proto::JobAnswer& answer) const {
  const KeptJob* job = jobs_.Find(call.read().job());
  if (job == nullptr || job->job.account() != call.account()) {
    SetError(answer, {ErrorCode::kNotFound, "no such job"});
    return;
  }
  answer.set_total(job->items.size());
  size_t bytes = 0;
  uint64_t next = call.read().after();
  while (next < job->listed.size() && bytes < kReadBytes) {
    const KeptItem& item = job->items[job->listed[next]];
    // The first result is returned whatever its size.
    if (bytes > 0 && bytes + item.output().size() > kReadBytes) {
      break;
    }
    proto::JobResult& result = *answer.add_results();
    result.set_id(item.id());
    result.set_dead(item.dead);
    result.set_output(item.output());
    bytes += item.output().size() + 1;
    ++next;
  }
  answer.set_next(next);
}

void StoreService::Body(const proto::JobCall& call,
                        proto::JobAnswer& answer) const {
  const KeptJob* job = jobs_.Find(call.body().job());
  if (job == nullptr || job->job.account() != call.account()) {
    SetError(answer, {ErrorCode::kNotFound, "no such job"});
    return;
  }
  const auto position = job->by_id.find(call.body().item());
  if (position == job->by_id.end() || job->items[position->second].listed) {
    SetError(answer, {ErrorCode::kNotFound, "no such item waits"});
    return;
  }
  answer.set_body(job->items[position->second].item->body());
}

void StoreService::OnReport(const std::string& from,
                            const proto::ItemReport& report, TimePoint now) {
  proto::FleetMessage message;
  proto::ItemOffers& offers = *message.mutable_item_offers();
  offers.set_leader_host(group_->leader_host());
  offers.set_leads(group_->IsConfirmedLeader(now));
  if (offers.leads()) {
    board_.OnReport(from, report, now, offers);
  }
  links_.Send(from, message);
}

void StoreService::Taken(const std::string& to, const proto::ItemName& name) {
  proto::FleetMessage message;
  *message.mutable_item_taken()->mutable_name() = name;
  links_.Send(to, message);
}

void StoreService::OnOutcome(const std::string& from,
                             const proto::ItemOutcome& outcome, TimePoint now) {
  if (!group_->IsConfirmedLeader(now)) {
    return;
  }
  const proto::ItemName& name = outcome.name();
  const ItemKey key{name.job(), name.item()};
  const KeptJob* job = jobs_.Find(name.job());
  const auto position = job == nullptr ? decltype(job->by_id.end()){}
                                       : job->by_id.find(name.item());
  const bool wanted = job != nullptr && position != job->by_id.end() &&
                      !job->items[position->second].listed;
  if (!wanted) {
    Taken(from, name);
    return;
  }
  if (recording_.count(key) > 0) {
    return;
  }
  switch (outcome.kind()) {
    case proto::ItemOutcome::kComplete:
      board_.Completed(outcome, now);
      Record(from, name, false, outcome.output(), now);
      return;
    case proto::ItemOutcome::kNeverPossible:
      Record(from, name, true, "", now);
      return;
    case proto::ItemOutcome::kFailed: {
      if (board_.Failed(outcome, now) == ItemBoard::Verdict::kDead) {
        Record(from, name, true, "", now);
        return;
      }
      proto::StoreCommand command;
      command.mutable_failed()->set_job(name.job());
      command.mutable_failed()->set_item(name.item());
      command.mutable_failed()->set_failures(
          job->items[position->second].failures + 1);
      group_->Propose(command.SerializeAsString(), now, [](const Status&) {});
      Taken(from, name);
      return;
    }
    default:
      board_.Returned(from, outcome, now);
      Taken(from, name);
  }
}

void StoreService::Record(const std::string& from, const proto::ItemName& name,
                          bool dead, const std::string& output, TimePoint now) {
  proto::StoreCommand command;
  command.mutable_done()->set_job(name.job());
  command.mutable_done()->set_item(name.item());
  command.mutable_done()->set_dead(dead);
  command.mutable_done()->set_output(output);
  const ItemKey key{name.job(), name.item()};
  recording_.insert(key);
  group_->Propose(
      command.SerializeAsString(), now,
      [this, from, name, key, dead](const Status& outcome) {
        recording_.erase(key);
        if (!outcome) {
          return;
        }
        recorded_.Add();
        board_.Forget(name.job(), name.item());
        if (dead) {
          LogInfo("item_dead", {{"job", name.job()}, {"item", name.item()}});
        }
        if (!from.empty()) {
          Taken(from, name);
        }
      });
}

// Gives up items that are past the time their submitter allowed, and drops jobs
// that no one may ask for any more.
void StoreService::ExpireJobs(TimePoint now) {
  const int64_t unix_now = UnixMs();
  for (const auto& [id, job] : jobs_.jobs()) {
    const int64_t age = unix_now - job.job.accepted_unix_ms();
    if (!job.open() && age > job.job.keep_ms() + kClockMarginMs) {
      proto::StoreCommand command;
      command.set_drop_job(id);
      group_->Propose(command.SerializeAsString(), now, [](const Status&) {});
      return;
    }
    if (!job.open() || job.job.give_up_ms() == 0 ||
        age <= job.job.give_up_ms() + kClockMarginMs) {
      continue;
    }
    for (const KeptItem& item : job.items) {
      if (!item.listed && recording_.count({id, item.id()}) == 0) {
        proto::ItemName name;
        name.set_job(id);
        name.set_item(item.id());
        Record("", name, true, "", now);
      }
    }
  }
}

void StoreService::Tick(TimePoint now) {
  group_->Tick(now);
  if (group_->leads() && !led_) {
    board_.Lead(now);
    recording_.clear();
  }
  led_ = group_->leads();
  if (!led_) {
    return;
  }
  board_.Tick(now);
  if (now >= maintain_at_) {
    maintain_at_ = now + kMaintainInterval;
    group_->MaintainMembership(candidates_, retiring_, now);
  }
  if (now >= expire_at_ && group_->IsConfirmedLeader(now)) {
    expire_at_ = now + kExpireInterval;
    ExpireJobs(now);
  }
}

void StoreService::Flush(TimePoint now) { group_->Flush(now); }

}  // namespace sequoialb
