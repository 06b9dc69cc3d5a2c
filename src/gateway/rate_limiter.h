// Enforces the rate limits of client accounts at one front.
//
// Load pattern: callers are spread unevenly over few fronts and the accounts
// are small, so any fixed division of a rate makes one front refuse requests
// for which another has tokens to spare. The control group's leader owns the
// token bucket of each account and leases tokens to the fronts; a front without
// tokens requests some before it refuses a caller (see rates/). While the owner
// does not answer, for example in the second without a leader, each front
// spends only its share of the rate and burst, so that all fronts together stay
// close to the limit. What the owner has granted a front counts against its
// share: under a demand above the rate the owner grants the whole rate, and the
// shares must not double it when the owner fails, or while a new owner does not
// know yet what the account is owed. A share holds at least one token, so that
// small accounts are admitted at all.
//
// Runs on the traffic thread.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "catalog/catalog.h"
#include "http/event_loop.h"
#include "observe/metrics.h"
#include "proto/peer.pb.h"
#include "rates/local_bucket.h"
#include "rates/token_lease_holder.h"

namespace sequoialb {

class RateLimiter {
 public:
  struct Answer {
    bool taken = false;
    // When refused: the time until a token is expected.
    int64_t retry_after_ms = 0;
  };
  using Done = std::function<void(const Answer&)>;
  using RequestSender = std::function<void(const proto::TokenRequest&)>;

  RateLimiter(EventLoop& loop, Metrics& metrics, RequestSender send_request);

  // Takes one token. Calls `done` at once, when the owner has answered, or when
  // its answer is overdue.
  void Take(const Account& account, Done done);

  void OnReply(const proto::TokenReply& reply);
  void OnRecall(const proto::TokenRecall& recall);
  // Sets how many fronts share the rates while the owner does not answer.
  void SetFronts(size_t fronts) { fronts_ = fronts > 0 ? fronts : 1; }

 private:
  struct Waiting {
    std::string account;
    RateLimit rate_limit;
    uint64_t ticket = 0;
    TimePoint deadline;
    Done done;
  };

  void PollAll();
  bool Poll(Waiting& waiting, TimePoint now);
  void SendMessages();
  void ScheduleTimer();

  EventLoop& loop_;
  RequestSender send_request_;
  TokenLeaseHolder lease_holder_{false};
  LocalBuckets fallback_buckets_;
  size_t fronts_ = 1;
  std::deque<Waiting> waiting_;
  TimerId timer_ = 0;
  Counter& taken_;
  Counter& refused_;
  Counter& unanswered_;
};

}  // namespace sequoialb
