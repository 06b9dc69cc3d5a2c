// Handles callers' requests at a front: finds the route and the account,
// enforces the account's rate limit, waits for a slot, sends the request to a
// backend server and streams the answer to the caller. When a server fails, the
// request is retried or its stream resumed at another server if the route
// allows that.
//
// Runs on the traffic thread. Gateway only carries decisions out: BackendPool
// chooses the server, WaitingQueue the order of waiting requests and when they
// expire, and RateLimiter applies the rate limits.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "gateway/admission_policy.h"
#include "gateway/event_parser.h"
#include "gateway/front_view.h"
#include "gateway/rate_limiter.h"
#include "gateway/refusal.h"
#include "gateway/waiting_queue.h"
#include "http/http_server.h"

namespace sequoialb {

class Gateway {
 public:
  struct Hooks {
    // Stops one batch item at a server; returns false when none runs there.
    std::function<bool(const std::string& backend)> stop_item;
    // Called when a slot has become free.
    std::function<void()> slot_freed;
    // Accepts a job that a caller submits on a batch route.
    std::function<void(std::shared_ptr<HttpExchange>, const Route&,
                       const Account&)>
        submit_job;
  };

  Gateway(FrontShared& front, RateLimiter& rates, Hooks hooks);
  ~Gateway();

  void OnRequest(const std::shared_ptr<HttpExchange>& exchange);

  // Sends queued requests to servers that have free slots. Call after slots or
  // servers have changed.
  void DispatchQueued();

  // Refuses the waiting requests that a quarantine covers. Call after the
  // quarantines have changed.
  void EndQuarantined();

  // Retries at other servers the requests whose servers have stalled, and ends
  // those whose callers do not read.
  void CheckStalls();

  size_t waiting() const { return queue_.size(); }

 private:
  struct Request;

  void Admit(const std::shared_ptr<HttpExchange>& exchange,
             CallerRequest caller, const Route& route, const Account* account);
  void OnToken(uint64_t number, const RateLimiter::Answer& answer);
  void SendOrQueue(Request& request);
  // Sends the request if a server has a free slot, or ends it if it must not be
  // sent. Returns false if it has to wait.
  bool TrySend(Request& request);
  bool EndIfQuarantined(Request& request);
  void LogTrial(const Request& request, const char* outcome) const;
  void Send(Request& request, const Choice& choice);
  std::string ForwardedBytes(const Request& request, const std::string& backend,
                             int64_t left_ms) const;
  void OnHead(Request& request, const ResponseHead& head);
  // The current server has read the request's prompt, or need not any more.
  void RecordPromptRead(Request& request);
  void RecordProgress(Request& request);
  // Records the time to the event that has just been received, as an
  // observation of the server's speed.
  void RecordSpeed(const Request& request);
  void CountSurvivor(Request& request);
  void ForwardHead(Request& request, const ResponseHead& head);
  void OnData(Request& request, std::string_view data);
  // Forwards the whole events among the received bytes.
  void ForwardEvents(Request& request, std::string_view data);
  void OnComplete(Request& request);
  void OnFailure(Request& request, CallFailure failure);
  void Resume(Request& request);
  // Ends the requests whose callers have been too slow for too long.
  void CheckPaused(TimePoint now);
  bool HasStalled(const Request& request, TimePoint now) const;
  void OnDeadline(Request& request);
  // Ends the current attempt: drops its call and frees its slot in the pool.
  void Release(Request& request);
  bool CanRetry(const Request& request) const;
  void RetryOrEnd(Request& request, const Error& error);
  void Enqueue(Request& request);
  void RefuseOverloaded(Request& request);
  void End(Request& request, const Error& error);
  void Finish(Request& request, const char* outcome);
  void Remove(Request& request);
  ServiceRate CurrentServiceRate() const;
  int64_t RetryDelayMs();
  int64_t RetryElsewhereMs();
  int64_t AuthorityRetryDelayMs();
  void ScheduleDispatch();

  FrontShared& front_;
  RateLimiter& rates_;
  Hooks hooks_;
  WaitingQueue queue_;
  std::mt19937_64 random_;
  uint64_t next_request_ = 1;
  std::map<uint64_t, std::unique_ptr<Request>> requests_;
  // The longest time that a request left for its answer, by route.
  std::map<std::string, milliseconds> longest_time_left_;
  TimerId dispatch_timer_ = 0;
  uint64_t served_ = 0;
  // Moving average of how long served requests held their slots.
  Duration mean_hold_{0};

  Counter& started_;
  Counter& completed_;
  Counter& refused_;
  // Refusals for lack of slots, by reason: no slot was expected in time when
  // the request arrived, or none became free while it waited.
  Counter& refused_on_arrival_;
  Counter& refused_after_wait_;
  // Requests sent while requests waited at other fronts.
  Counter& sent_contended_;
  Counter& broken_;
  Counter& resumed_;
  Counter& caller_left_;
  Counter& slow_callers_;
  LatencyHistogram& first_event_;
  LatencyHistogram& waited_;
};

}  // namespace sequoialb
