#include "jobs/job_client.h"

#include "observe/log.h"

namespace sequoialb {
namespace {

// Longer than several round trips and a disk sync. A lost leader is replaced
// within a second.
constexpr milliseconds kCallRetry{250};
constexpr milliseconds kOutcomeRetry{400};
// The leader answers reports ten times a second. When it has not answered for
// this long, the client looks for another leader.
constexpr milliseconds kLeaderTimeout{450};

}  // namespace

std::string JobClient::Target(TimePoint now) {
  const auto& hosts = member_.hosts();
  const auto known = hosts.find(leader_);
  if (known != hosts.end() && now - leader_last_contact_ < kLeaderTimeout) {
    return leader_;
  }
  // Only members of the group know its leader.
  std::vector<std::string> stores;
  std::vector<std::string> members;
  for (const auto& [name, info] : hosts) {
    if (info.store()) {
      (info.group().member() ? members : stores).push_back(name);
    }
  }
  const std::vector<std::string>& targets = members.empty() ? stores : members;
  return targets.empty() ? "" : targets[next_host_++ % targets.size()];
}

void JobClient::UpdateLeader(const std::string& leader, TimePoint now) {
  leader_last_contact_ = now;
  if (leader != leader_) {
    LogInfo("store_leader", {{"leader", leader}, {"before", leader_}});
    leader_ = leader;
  }
}

void JobClient::Send(Pending& pending, TimePoint now) {
  pending.send_at = now + kCallRetry;
  const std::string target = Target(now);
  if (target.empty()) {
    return;
  }
  proto::FleetMessage message;
  *message.mutable_job_call() = pending.call;
  links_.Send(target, message);
}

void JobClient::Call(proto::JobCall call, TimePoint deadline, TimePoint now,
                     Done done) {
  const uint64_t number = next_call_++;
  call.set_call(number);
  Pending& pending = pending_[number];
  pending = {std::move(call), deadline, now, std::move(done)};
  Send(pending, now);
}

void JobClient::OnAnswer(const proto::JobAnswer& answer, TimePoint now) {
  const auto found = pending_.find(answer.call());
  if (answer.error_name() == ErrorName(ErrorCode::kNoQuorum)) {
    const bool leader_changed = answer.leader_host() != leader_;
    UpdateLeader(answer.leader_host(), now);
    if (found != pending_.end() && leader_changed && !leader_.empty()) {
      found->second.send_at = now;
    }
    return;
  }
  UpdateLeader(answer.leader_host(), now);
  if (found == pending_.end()) {
    return;
  }
  const Done done = std::move(found->second.done);
  pending_.erase(found);
  done(answer);
}

void JobClient::Fail(uint64_t number) {
  const auto found = pending_.find(number);
  const Done done = std::move(found->second.done);
  pending_.erase(found);
  proto::JobAnswer answer;
  answer.set_error_name(std::string(ErrorName(ErrorCode::kNoQuorum)));
  answer.set_detail("the store group did not answer in time");
  done(answer);
}

void JobClient::Tick(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto& [number, pending] : pending_) {
    if (now >= pending.deadline) {
      expired.push_back(number);
    } else if (now >= pending.send_at) {
      LogInfo("store_call_again",
              {{"call", std::to_string(number)},
               {"leader", leader_},
               {"heard_ms_ago",
                std::to_string(RemainingMs(now, leader_last_contact_))}});
      Send(pending, now);
    }
  }
  for (const uint64_t number : expired) {
    Fail(number);
  }
  for (auto& [key, pending_outcome] : outcomes_) {
    const std::string target =
        now >= pending_outcome.send_at ? Target(now) : "";
    if (!target.empty()) {
      pending_outcome.send_at = now + kOutcomeRetry;
      proto::FleetMessage message;
      *message.mutable_item_outcome() = pending_outcome.outcome;
      links_.Send(target, message);
    }
  }
}

void JobClient::SendReport(const proto::ItemReport& report, TimePoint now) {
  const std::string target = Target(now);
  if (target.empty()) {
    return;
  }
  proto::FleetMessage message;
  *message.mutable_item_report() = report;
  // Items whose outcome is not acknowledged yet still count as held here.
  for (const auto& [key, pending_outcome] : outcomes_) {
    *message.mutable_item_report()->add_in_hand() =
        pending_outcome.outcome.name();
  }
  links_.Send(target, message);
}

void JobClient::OnOffers(const std::string& from,
                         const proto::ItemOffers& offers, TimePoint now) {
  UpdateLeader(offers.leads() ? from : offers.leader_host(), now);
}

void JobClient::AddOutcome(const proto::ItemOutcome& outcome, TimePoint now) {
  outcomes_[{outcome.name().job(), outcome.name().item()}] = {outcome, now};
  Tick(now);
}

void JobClient::OnOutcomeTaken(const proto::ItemOutcomeTaken& taken) {
  const auto found = outcomes_.find({taken.name().job(), taken.name().item()});
  if (found != outcomes_.end() &&
      found->second.outcome.name().attempt() == taken.name().attempt()) {
    outcomes_.erase(found);
  }
}

}  // namespace sequoialb
