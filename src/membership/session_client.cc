#include "membership/session_client.h"

namespace sequoialb {
namespace {

constexpr int kMaxUnansweredHeartbeats = 2;

}  // namespace

SessionClient::SessionClient(PeerSender& sender, LeaderClient& leader,
                             ConfigHolder& config, uint64_t incarnation)
    : sender_(sender),
      leader_(leader),
      config_(config),
      incarnation_(incarnation) {}

bool SessionClient::Searching(TimePoint now) const {
  return now > answered_ + kMaxUnansweredHeartbeats * options_.heartbeat;
}

proto::Envelope SessionClient::Heartbeat(TimePoint now,
                                         const BlobsMissing& missing) const {
  proto::Envelope envelope;
  proto::HostHeartbeat& heartbeat = *envelope.mutable_heartbeat();
  const ConfigPointer config = config_.current();
  heartbeat.set_sent_at(static_cast<uint64_t>(now.time_since_epoch().count()));
  heartbeat.set_config_index(config->index);
  heartbeat.set_view_epoch(config->view.epoch());
  heartbeat.set_incarnation(incarnation_);
  heartbeat.set_leaving(leaving_);
  heartbeat.set_missing_blobs(missing.count);
  heartbeat.set_blobs_checked_index(missing.index);
  return envelope;
}

void SessionClient::Tick(TimePoint now, const BlobsMissing& missing) {
  if (now < next_heartbeat_) {
    return;
  }
  first_sent_ = std::min(first_sent_, now);
  const proto::Envelope heartbeat = Heartbeat(now, missing);
  if (Searching(now)) {
    next_heartbeat_ = now + options_.search;
    for (const std::string& replica : leader_.replicas()) {
      sender_.Send(replica, heartbeat);
    }
    return;
  }
  next_heartbeat_ = now + options_.heartbeat;
  sender_.Send(leader_.leader(), heartbeat);
}

void SessionClient::Leave(TimePoint now) {
  leaving_ = true;
  if (!leader_.leader().empty()) {
    sender_.Send(leader_.leader(), Heartbeat(now, BlobsMissing{}));
  }
}

void SessionClient::OnReply(const std::string& from,
                            const proto::HeartbeatReply& reply, TimePoint now) {
  const TimePoint sent_at{
      Duration(static_cast<Duration::rep>(reply.sent_at()))};
  if (sent_at < first_sent_ || sent_at > now) {
    return;
  }
  if (reply.not_leader()) {
    if (!reply.leader().empty()) {
      leader_.SetLeader(reply.leader());
      // A search has reached the new leader already.
      next_heartbeat_ = Searching(now) ? next_heartbeat_ : now;
    } else if (from == leader_.leader()) {
      leader_.TryNextReplica(now);
    }
    return;
  }
  answered_ = std::max(answered_, sent_at);
  leader_.OnLeaderContact(from, now);
  if (reply.has_config()) {
    const uint64_t epoch_before = config_.current()->view.epoch();
    config_.Apply(reply.config());
    if (config_.current()->view.epoch() != epoch_before) {
      next_heartbeat_ = now;  // Report the new epoch to the leader at once.
    }
  }
  // The confirmation is valid only if this host has the confirmed
  // configuration.
  if (!reply.confirmed() || config_.current()->index < reply.config_index()) {
    return;
  }
  config_.ExtendFreshness(sent_at + kFreshness);
  lease_until_ = std::max(lease_until_, sent_at + options_.lease);
  in_view_ = reply.in_view();
}

}  // namespace sequoialb
