// Runs one chat or completion request to its end: borrows slots, streams from
// engines, resumes on another one when an engine fails, and gives up with a
// typed error when the limits are reached.
//
// Batch items that break their connection are suspects: one of them may be what
// kills its server. From then on a suspect runs only on a server that runs no
// other batch work, so that it can take nobody with it, and its end there tells
// whether it is to blame.
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
  // When the first byte of the answer is due, and the whole of it.
  TimePoint first_token_deadline;
  TimePoint deadline;
  TraceContext trace;
  // Receives each new piece of the answer, in order, once.
  std::function<void(const std::string& text)> on_text;
  // Looked at now and then; true ends the run with kCancelled.
  std::function<bool()> cancelled;
  // True when the batch job is in danger of missing its deadline.
  std::function<bool()> urgent;
};

class ChatRunner {
 public:
  explicit ChatRunner(Host& host) : host_(host) {}

  // Blocks until the answer is whole or the run has failed.
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
  // Borrow, as one hop of the trace.
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
