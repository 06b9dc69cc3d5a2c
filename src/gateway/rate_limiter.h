// Keeps accounts within their rates at one front.
//
// Load pattern: callers are spread unevenly over few fronts and accounts are
// small, so any fixed division refuses on one front what another has to spare.
// The control group's leader owns each account's bucket and lends tokens; a
// front that has none asks before it refuses (see rates/). While no owner
// answers, as in the second without a leader, a front spends its part of the
// rate without burst, so that all together stay within it.
// Belongs to the traffic thread.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "catalog/catalog.h"
#include "http/event_loop.h"
#include "observe/metrics.h"
#include "proto/peer.pb.h"
#include "rates/loan_holder.h"
#include "rates/local_bucket.h"

namespace sequoialb {

class RateLimiter {
 public:
  struct Answer {
    bool taken = false;
    // When refused: when a token is expected.
    int64_t retry_after_ms = 0;
  };
  using Done = std::function<void(const Answer&)>;
  using RequestSender = std::function<void(const proto::TokenRequest&)>;

  RateLimiter(EventLoop& loop, Metrics& metrics, RequestSender send_request);

  // Takes one token; `done` runs at once or when the owner has answered.
  void Take(const Account& account, Done done);

  void OnReply(const proto::TokenReply& reply);
  void OnRecall(const proto::TokenRecall& recall);
  // How many fronts divide the rates while no owner answers.
  void SetFronts(size_t fronts) { fronts_ = fronts > 0 ? fronts : 1; }

 private:
  struct Waiting {
    std::string account;
    BucketTerms rate_limit;
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
  LoanHolder holder_{false};
  LocalBuckets fallback_buckets_;
  size_t fronts_ = 1;
  std::deque<Waiting> waiting_;
  TimerId timer_ = 0;
  Counter& taken_;
  Counter& refused_;
  Counter& unanswered_;
};

}  // namespace sequoialb
