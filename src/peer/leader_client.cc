#include "peer/leader_client.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr milliseconds kResendInterval{250};
constexpr milliseconds kRedirectDelay{20};
// How long the leader may be unresponsive before the next replica is tried.
constexpr milliseconds kLeaderTimeout{150};

}  // namespace

LeaderClient::LeaderClient(PeerSender& sender,
                           std::vector<std::string> replicas, uint64_t seed)
    : sender_(sender), replicas_(std::move(replicas)) {
  next_replica_ = replicas_.empty() ? 0 : seed % replicas_.size();
  TryNextReplica(TimePoint() + kLeaderTimeout);
}

void LeaderClient::SetLeader(const std::string& host) {
  const bool known =
      std::find(replicas_.begin(), replicas_.end(), host) != replicas_.end();
  if (known) {
    leader_ = host;
  }
}

void LeaderClient::OnLeaderContact(const std::string& host, TimePoint now) {
  SetLeader(host);
  last_contact_or_switch_ = now;
}

void LeaderClient::TryNextReplica(TimePoint now) {
  if (replicas_.empty() || now < last_contact_or_switch_ + kLeaderTimeout) {
    return;
  }
  last_contact_or_switch_ = now;
  leader_ = replicas_[next_replica_++ % replicas_.size()];
}

void LeaderClient::Propose(proto::Command command, TimePoint deadline,
                           TimePoint now, CommandCallback callback) {
  const uint64_t id = next_id_++;
  Pending pending;
  pending.deadline = deadline;
  pending.on_command = std::move(callback);
  pending.envelope.mutable_propose()->set_request_id(id);
  *pending.envelope.mutable_propose()->mutable_command() = std::move(command);
  Start(id, std::move(pending), now);
}

void LeaderClient::SendQuery(proto::Query query, TimePoint deadline,
                             TimePoint now, QueryCallback callback) {
  const uint64_t id = next_id_++;
  Pending pending;
  pending.deadline = deadline;
  pending.on_query = std::move(callback);
  query.set_request_id(id);
  *pending.envelope.mutable_query() = std::move(query);
  Start(id, std::move(pending), now);
}

void LeaderClient::Start(uint64_t id, Pending pending, TimePoint now) {
  SendNow(pending, now);
  pending_.emplace(id, std::move(pending));
}

void LeaderClient::SendNow(Pending& pending, TimePoint now) {
  pending.resend_at = now + kResendInterval;
  pending.unanswered = true;
  if (!leader_.empty()) {
    sender_.Send(leader_, pending.envelope);
  }
}

void LeaderClient::Redirect(uint64_t id, const std::string& leader,
                            const std::string& from, TimePoint now) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  if (!leader.empty()) {
    SetLeader(leader);
  } else if (from == leader_) {
    TryNextReplica(now);
  }
  found->second.resend_at = now + kRedirectDelay;
  found->second.unanswered = false;
}

void LeaderClient::OnProposeReply(const std::string& from,
                                  const proto::ProposeReply& reply,
                                  TimePoint now) {
  if (reply.not_leader()) {
    Redirect(reply.request_id(), reply.leader(), from, now);
    return;
  }
  const auto found = pending_.find(reply.request_id());
  if (found == pending_.end() || !found->second.on_command) {
    return;
  }
  OnLeaderContact(from, now);
  const CommandCallback callback = std::move(found->second.on_command);
  pending_.erase(found);
  callback(reply.result());
}

void LeaderClient::OnQueryReply(const std::string& from,
                                const proto::QueryReply& reply, TimePoint now) {
  if (reply.not_leader()) {
    Redirect(reply.request_id(), reply.leader(), from, now);
    return;
  }
  const auto found = pending_.find(reply.request_id());
  if (found == pending_.end() || !found->second.on_query) {
    return;
  }
  OnLeaderContact(from, now);
  const QueryCallback callback = std::move(found->second.on_query);
  pending_.erase(found);
  callback(reply);
}

void LeaderClient::Tick(TimePoint now) {
  std::vector<Pending> expired;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& pending = entry->second;
    if (now >= pending.deadline) {
      expired.push_back(std::move(pending));
      entry = pending_.erase(entry);
      continue;
    }
    if (now >= pending.resend_at) {
      if (pending.unanswered) {
        TryNextReplica(now);
      }
      SendNow(pending, now);
    }
    ++entry;
  }
  for (const Pending& pending : expired) {
    const Error error{
        ErrorCode::kNoQuorum,
        "no reply from the leader of the replicated state before the deadline; "
        "it is unknown whether the change was recorded",
        RunState::kUnknown};
    if (pending.on_command) {
      pending.on_command(tl::unexpected<Error>(error));
    }
    if (pending.on_query) {
      pending.on_query(tl::unexpected<Error>(error));
    }
  }
}

}  // namespace sequoialb
