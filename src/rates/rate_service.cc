#include "rates/rate_service.h"

namespace sequoialb {
namespace {

// The longest time that a request waits while its account changes owners.
constexpr milliseconds kOwnerWaitTimeout{4'500};

}  // namespace

RateService::RateService(std::string self, const RatePolicy& policy,
                         size_t hosts, ConfigHolder& config, PeerSender& sender,
                         Metrics& metrics, std::function<void()> wake)
    : policy_(policy),
      hosts_(hosts),
      config_(config),
      sender_(sender),
      wake_(std::move(wake)),
      owner_(std::move(self), RateOptions{},
             [&config](const std::string& account) {
               return config.current()->TermsOf(account);
             }),
      lease_holder_(std::holds_alternative<AskOwner>(policy)),
      taken_(metrics.counter("sequoialb_rate_taken_total")),
      limited_(metrics.counter("sequoialb_rate_limited_total")),
      unreachable_(metrics.counter("sequoialb_rate_owner_unreachable_total")) {}

Status RateService::RateLimited(const std::string& account,
                                int64_t retry_after_ms) {
  limited_.Add();
  return tl::unexpected<Error>(
      Error{ErrorCode::kRateLimited,
            "client account " + account + " is over its rate limit",
            RunState::kNotRun, retry_after_ms});
}

Status RateService::Take(const std::string& account, TimePoint deadline) {
  if (TakeReserve(account, Clock::now())) {
    taken_.Add();
    return {};
  }
  Status status = std::holds_alternative<StaticShares>(policy_)
                      ? TakeLocal(account, Clock::now())
                      : TakeFromOwner(account, deadline);
  if (status) {
    taken_.Add();
  }
  return status;
}

// A restarted host starts with an empty reserve, because its previous process
// may have spent it.
bool RateService::TakeReserve(const std::string& account, TimePoint now) {
  const RateLimit reserve = config_.current()->ReserveOf(account);
  if (reserve.rate <= 0) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  return reserve_buckets_.Take(account, reserve, hosts_, 0, false, now) == 0;
}

Status RateService::TakeLocal(const std::string& account, TimePoint now) {
  const auto rate_limit = config_.current()->TermsOf(account);
  if (!rate_limit) {
    return Fail(ErrorCode::kNotAllowed,
                "no service document names account " + account);
  }
  int64_t retry_after_ms = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    retry_after_ms =
        local_buckets_.Take(account, *rate_limit, hosts_, 1, true, now);
  }
  return retry_after_ms == 0 ? Status() : RateLimited(account, retry_after_ms);
}

Status RateService::TakeFromOwner(const std::string& account,
                                  TimePoint deadline) {
  const TimePoint begin = Clock::now();
  const TimePoint until = std::min(deadline, begin + kOwnerWaitTimeout);
  std::unique_lock<std::mutex> lock(mutex_);
  const uint64_t ticket = lease_holder_.Begin(account, begin);
  bool woken = false;
  while (true) {
    const TimePoint now = Clock::now();
    const TokenLeaseHolder::Outcome outcome =
        lease_holder_.Poll(account, ticket, now);
    if (outcome.answer == TokenLeaseHolder::Answer::kTaken) {
      return {};
    }
    if (outcome.answer == TokenLeaseHolder::Answer::kRefused) {
      lock.unlock();
      return RateLimited(account, outcome.retry_after_ms);
    }
    if (now >= until) {
      lease_holder_.Abandon(account, ticket);
      lock.unlock();
      unreachable_.Add();
      return tl::unexpected<Error>(
          Error{ErrorCode::kOverloaded,
                "the host that owns this account's token bucket cannot be "
                "reached; nothing was run",
                RunState::kNotRun, 1'000});
    }
    if (!woken) {
      woken = true;
      lock.unlock();
      wake_();
      lock.lock();
      continue;
    }
    reply_received_.wait_until(lock, until);
  }
}

void RateService::OnRequest(const std::string& from,
                            const proto::TokenRequest& request, TimePoint now) {
  owner_.OnRequest(from, request, now);
  SendOwnerMessages();
}

void RateService::OnReply(const proto::TokenReply& reply, TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lease_holder_.OnReply(reply, now);
  }
  reply_received_.notify_all();
}

void RateService::OnRecall(const proto::TokenRecall& recall, TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lease_holder_.OnRecall(recall);
  }
  SendHolderMessages(now);
}

void RateService::Tick(TimePoint now, TimePoint session_lease_end) {
  const ConfigPointer config = config_.current();
  if (config->view.index() != view_index_) {
    view_index_ = config->view.index();
    owner_.SetView(config->view, now);
  }
  owner_.SetAuthorityLeaseEnd(session_lease_end);
  owner_.Tick(now);
  SendOwnerMessages();
  SendHolderMessages(now);
}

void RateService::SendHolderMessages(TimePoint now) {
  std::vector<TokenMessage> messages;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    messages = lease_holder_.TakeMessages(now);
  }
  for (TokenMessage& message : messages) {
    const std::string owner = owner_.OwnerOf(message.account);
    if (owner.empty()) {
      continue;
    }
    proto::Envelope envelope;
    *envelope.mutable_token_request() = std::move(message.request);
    sender_.Send(owner, std::move(envelope));
  }
}

void RateService::SendOwnerMessages() {
  for (RateMessage& message : owner_.TakeMessages()) {
    sender_.Send(message.to, std::move(message.envelope));
  }
}

}  // namespace sequoialb
