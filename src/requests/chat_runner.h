// Runs one chat or completion request until it completes or fails: acquires
// slots, streams from engines, resumes on another engine when one fails, and
// returns a typed error when the limits are reached.
//
// A batch item whose connection breaks may be the cause of a server crash. Such
// an item is retried only on a server that runs no other batch work, so that it
// cannot interrupt other items, and so that the outcome there shows whether the
// item is the cause.
#pragma once

#include <functional>
#include <string>

#include "base/error.h"
#include "host/host.h"
#include "requests/backend_client.h"
#include "requests/chat_request.h"
#include "requests/sse_parser.h"
#include "requests/stream_splicer.h"
#include "retries/retry_budget.h"

namespace sequoialb {

struct ChatAnswer {
  std::string text;
  std::string finish_reason;
  uint64_t chunks = 0;
};

struct ChatRun {
  const ChatRequest* request = nullptr;
  std::string service;
  std::string account;
  double weight = 1;
  bool batch = false;
  uint32_t max_attempts = 3;
  // Deadlines for the first byte of the answer and for the complete answer.
  TimePoint first_token_deadline;
  TimePoint deadline;
  TraceContext trace;
  // Receives each new piece of the answer once, in order.
  std::function<void(const std::string& text)> on_text;
  // Polled while the run waits or streams. Returning true ends the run with
  // kCancelled.
  std::function<bool()> cancelled;
  // Returns true when the batch is in danger of missing its deadline.
  std::function<bool()> urgent;
};

class ChatRunner {
 public:
  explicit ChatRunner(Host& host) : host_(host) {}

  // Blocks until the answer is complete or the run has failed.
  Result<ChatAnswer> Run(const ChatRun& run);

  BackendClient& client() { return client_; }
  RetryBudget& budget() { return budget_; }

 private:
  struct Progress {
    StreamSplicer splicer;
    std::string finish_reason;
    std::vector<std::pair<std::string, std::string>> avoid;
    uint32_t failures = 0;
    bool ran = false;
    bool solo = false;
    std::string last_detail;
  };

  Result<std::shared_ptr<SlotLease>> AcquireSlot(const ChatRun& run,
                                                 Progress& progress);
  // Calls AcquireSlot and records it as a span of the trace.
  Result<std::shared_ptr<SlotLease>> AcquireSlotTraced(const ChatRun& run,
                                                       Progress& progress);
  AttemptResult Attempt(const ChatRun& run,
                        const std::shared_ptr<SlotLease>& lease,
                        Progress& progress);
  bool ProcessBytes(const ChatRun& run, SseParser& parser,
                    uint64_t& next_sequence, Progress& progress,
                    std::string_view bytes, bool& broken);
  Status PrepareRetry(const ChatRun& run, const AttemptResult& result,
                      const proto::Backend& backend, Progress& progress);

  Host& host_;
  BackendClient client_;
  RetryBudget budget_;
};

}  // namespace sequoialb
