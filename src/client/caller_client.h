// Calls of the callers' interface: questions, uploads and batches.
#pragma once

#include <functional>
#include <string>

#include "base/error.h"
#include "client/http_client.h"

namespace sequoialb {

struct ChatOptions {
  std::string server;
  std::string key;
  std::string model;
  std::string prompt;
  std::string idempotency_key;
  std::string ca_file;
  TimePoint deadline;
};

struct ChatOutcome {
  std::string item_id;
  std::string text;
  bool repeated = false;
};

// Asks one question, streamed; `on_text` receives each piece as it arrives.
// Fails with the server's typed error, or with kIo when the stream broke off.
Result<ChatOutcome> StreamChatCompletion(
    const ChatOptions& options,
    const std::function<void(const std::string&)>& on_text = nullptr);

// Uploads JSON lines and starts a batch; returns its description as JSON text.
Result<std::string> StartBatch(const std::string& server,
                               const std::string& key, const std::string& lines,
                               const std::string& window,
                               const std::string& idempotency_key,
                               TimePoint deadline,
                               const std::string& ca_file = "");

}  // namespace sequoialb
