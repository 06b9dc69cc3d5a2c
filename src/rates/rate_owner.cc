#include "rates/rate_owner.h"

#include <algorithm>

#include "base/hash.h"

namespace sequoialb {
namespace {

constexpr size_t kMaxSettledViews = 64;

std::vector<std::string> HostsOf(const proto::HostView& view) {
  std::vector<std::string> hosts;
  for (const proto::ViewMember& member : view.members()) {
    hosts.push_back(member.host());
  }
  return hosts;
}

}  // namespace

RateOwner::RateOwner(std::string self, RateOptions options,
                     RateLimitLookup rate_limit_lookup)
    : self_(std::move(self)),
      options_(options),
      rate_limit_lookup_(std::move(rate_limit_lookup)) {}

void RateOwner::SetView(const proto::HostView& view, TimePoint now) {
  if (view.epoch() < epoch_) {
    return;
  }
  if (view.epoch() != epoch_) {
    newest_installed_at_ = now;
  }
  epoch_ = view.epoch();
  newest_hosts_ = HostsOf(view);
  if (view.settled_epoch() == view.epoch() && settled_epoch_ != epoch_) {
    settled_epoch_ = epoch_;
    settled_.push_back(SettledView{newest_hosts_, newest_installed_at_, now});
    if (settled_.size() > kMaxSettledViews) {
      settled_.pop_front();
    }
  }
  for (auto entry = owned_accounts_.begin(); entry != owned_accounts_.end();) {
    const bool still_owned =
        RendezvousOwner(entry->first, newest_hosts_) == self_;
    entry = still_owned ? std::next(entry) : owned_accounts_.erase(entry);
  }
}

std::string RateOwner::OwnerOf(const std::string& account) const {
  return RendezvousOwner(account, newest_hosts_);
}

bool RateOwner::Owns(const std::string& account, TimePoint now) const {
  return now < authority_lease_end_ && !settled_.empty() &&
         RendezvousOwner(account, newest_hosts_) == self_ &&
         RendezvousOwner(account, settled_.back().hosts) == self_;
}

// Returns since when this host has owned the account without interruption. A
// previous owner that is not in the view had lost its lease before the view was
// created, so ownership starts when the view is installed. One that is still in
// the view stops by the time the view is settled.
TimePoint RateOwner::OwnedSince(const std::string& account) const {
  size_t first = settled_.size() - 1;
  while (first > 0 &&
         RendezvousOwner(account, settled_[first - 1].hosts) == self_) {
    --first;
  }
  const SettledView& view = settled_[first];
  if (first == 0) {
    return view.settled_at;
  }
  const std::string previous_owner =
      RendezvousOwner(account, settled_[first - 1].hosts);
  const bool previous_owner_in_view =
      std::find(view.hosts.begin(), view.hosts.end(), previous_owner) !=
      view.hosts.end();
  return previous_owner_in_view ? view.settled_at : view.installed_at;
}

RateOwner::OwnedAccount* RateOwner::Find(const std::string& account,
                                         TimePoint now) {
  const std::optional<RateLimit> rate_limit = rate_limit_lookup_(account);
  if (!rate_limit || !Owns(account, now)) {
    return nullptr;
  }
  auto found = owned_accounts_.find(account);
  if (found == owned_accounts_.end()) {
    const TimePoint prior_leases_until =
        OwnedSince(account) + options_.lease_duration + options_.lease_margin;
    found = owned_accounts_
                .emplace(account,
                         OwnedAccount{
                             OwnerBucket(*rate_limit, prior_leases_until), {}})
                .first;
  }
  found->second.bucket.SetRateLimit(*rate_limit, now);
  return &found->second;
}

proto::TokenReply& RateOwner::AddReply(const std::string& to,
                                       const proto::TokenRequest& request) {
  RateMessage& message = messages_.emplace_back();
  message.to = to;
  proto::TokenReply& reply = *message.envelope.mutable_token_reply();
  reply.set_request_id(request.request_id());
  reply.set_account(request.account());
  reply.set_epoch(epoch_);
  return reply;
}

void RateOwner::OnRequest(const std::string& from,
                          const proto::TokenRequest& request, TimePoint now) {
  OwnedAccount* owned = Find(request.account(), now);
  if (owned == nullptr) {
    if (request.want() > 0) {
      AddReply(from, request).set_not_owner(true);
    }
    return;
  }
  owned->bucket.ApplyReport(from, request.spent(), request.returned(), now);
  if (request.want() > 0 && !TryGrant(*owned, from, request, now)) {
    const std::vector<std::string> holders = owned->bucket.OtherHolders(from);
    const bool no_token_available =
        owned->bucket.NextTokenAt(now) > now && holders.empty();
    if (no_token_available) {
      Refuse(*owned, from, request, now);
    } else {
      Recall(*owned, from, request.account());
      owned->waiting.push_back(
          WaitingRequest{from, request, now + options_.recall_wait});
    }
  }
  ServeWaiting(*owned, now);
}

bool RateOwner::TryGrant(OwnedAccount& owned, const std::string& from,
                         const proto::TokenRequest& request, TimePoint now) {
  const TimePoint counted_until =
      now + options_.lease_duration + options_.lease_margin;
  const uint32_t granted =
      owned.bucket.LeaseTokens(from, request.want(), now, counted_until);
  if (granted == 0) {
    return false;
  }
  proto::TokenReply& reply = AddReply(from, request);
  reply.set_granted(granted);
  reply.set_valid_ms(options_.lease_duration.count());
  return true;
}

void RateOwner::Refuse(const OwnedAccount& owned, const std::string& from,
                       const proto::TokenRequest& request, TimePoint now) {
  // Rounded up: a caller that waits for less would be refused again.
  const int64_t wait_ms = RemainingMs(owned.bucket.NextTokenAt(now), now) + 1;
  proto::TokenReply& reply = AddReply(from, request);
  reply.set_retry_after_ms(wait_ms);
  reply.set_recovering(owned.bucket.IsRecovering(now));
}

void RateOwner::Recall(const OwnedAccount& owned, const std::string& from,
                       const std::string& account) {
  for (const std::string& holder : owned.bucket.OtherHolders(from)) {
    RateMessage& message = messages_.emplace_back();
    message.to = holder;
    message.envelope.mutable_token_recall()->set_account(account);
    message.envelope.mutable_token_recall()->set_epoch(epoch_);
  }
}

void RateOwner::ServeWaiting(OwnedAccount& owned, TimePoint now) {
  while (!owned.waiting.empty()) {
    const WaitingRequest& first = owned.waiting.front();
    if (TryGrant(owned, first.from, first.request, now)) {
      owned.waiting.pop_front();
      continue;
    }
    const bool no_other_holders = owned.bucket.OtherHolders(first.from).empty();
    if (now < first.deadline && !no_other_holders) {
      return;
    }
    Refuse(owned, first.from, first.request, now);
    owned.waiting.pop_front();
  }
}

void RateOwner::Tick(TimePoint now) {
  for (auto& [account, owned] : owned_accounts_) {
    if (owned.waiting.empty()) {
      continue;
    }
    owned.bucket.Expire(now);
    ServeWaiting(owned, now);
  }
}

std::vector<RateMessage> RateOwner::TakeMessages() {
  std::vector<RateMessage> out = std::move(messages_);
  messages_.clear();
  return out;
}

}  // namespace sequoialb
