#include "gateway/rate_limiter.h"

#include <algorithm>
#include <utility>

#include "fleet/boot_clock.h"

namespace sequoialb {
namespace {

// How often spent and returned tokens are reported to the owner.
constexpr milliseconds kReportInterval{25};
// The owner answers within a few milliseconds. After this time it is considered
// unreachable.
constexpr milliseconds kOwnerTimeout{120};
// Tokens that a full share holds at least, so that small accounts are admitted.
constexpr double kMinShareBurst = 1;

}  // namespace

RateLimiter::RateLimiter(EventLoop& loop, Metrics& metrics,
                         RequestSender send_request)
    : loop_(loop),
      send_request_(std::move(send_request)),
      taken_(metrics.counter("sequoialb_rate_tokens_total")),
      refused_(metrics.counter("sequoialb_rate_refusals_total")),
      unanswered_(metrics.counter("sequoialb_rate_owner_unanswered_total")) {}

void RateLimiter::Take(const Account& account, Done done) {
  // Token leases must also expire while the machine is suspended, which only
  // the boot clock counts.
  const TimePoint now = BootNow();
  Waiting waiting;
  waiting.account = account.name;
  waiting.rate_limit = {account.rate, account.burst};
  waiting.ticket = lease_holder_.Begin(account.name, now);
  waiting.deadline = now + kOwnerTimeout;
  waiting.done = std::move(done);
  if (Poll(waiting, now)) {
    ScheduleTimer();
    return;
  }
  waiting_.push_back(std::move(waiting));
  SendMessages();
  ScheduleTimer();
}

// Returns whether `waiting` has been answered.
bool RateLimiter::Poll(Waiting& waiting, TimePoint now) {
  const TokenLeaseHolder::Outcome outcome =
      lease_holder_.Poll(waiting.account, waiting.ticket, now);
  if (outcome.answer == TokenLeaseHolder::Answer::kTaken) {
    taken_.Add();
    fallback_buckets_.CountGranted(waiting.account, waiting.rate_limit, fronts_,
                                   kMinShareBurst, true, now);
    waiting.done({true, 0});
    return true;
  }
  if (outcome.answer == TokenLeaseHolder::Answer::kRefused) {
    refused_.Add();
    waiting.done({false, outcome.retry_after_ms});
    return true;
  }
  if (now < waiting.deadline) {
    return false;
  }
  unanswered_.Add();
  lease_holder_.Abandon(waiting.account, waiting.ticket);
  const int64_t wait_ms = fallback_buckets_.Take(
      waiting.account, waiting.rate_limit, fronts_, kMinShareBurst, true, now);
  (wait_ms == 0 ? taken_ : refused_).Add();
  waiting.done({wait_ms == 0, wait_ms});
  return true;
}

void RateLimiter::PollAll() {
  const TimePoint now = BootNow();
  std::deque<Waiting> still_waiting;
  std::deque<Waiting> all;
  all.swap(waiting_);
  for (Waiting& waiting : all) {
    if (!Poll(waiting, now)) {
      still_waiting.push_back(std::move(waiting));
    }
  }
  // Callbacks may have called Take; their entries are newer and go last.
  still_waiting.insert(still_waiting.end(),
                       std::make_move_iterator(waiting_.begin()),
                       std::make_move_iterator(waiting_.end()));
  waiting_ = std::move(still_waiting);
  SendMessages();
  ScheduleTimer();
}

void RateLimiter::OnReply(const proto::TokenReply& reply) {
  lease_holder_.OnReply(reply, BootNow());
  PollAll();
}

void RateLimiter::OnRecall(const proto::TokenRecall& recall) {
  lease_holder_.OnRecall(recall);
  SendMessages();
}

void RateLimiter::SendMessages() {
  for (const TokenMessage& message : lease_holder_.TakeMessages(BootNow())) {
    send_request_(message.request);
  }
}

void RateLimiter::ScheduleTimer() {
  if (timer_ != 0 || (waiting_.empty() && lease_holder_.idle())) {
    return;
  }
  timer_ = loop_.RunAt(loop_.now() + kReportInterval, [this] {
    timer_ = 0;
    PollAll();
  });
}

}  // namespace sequoialb
