// Client functions for the callers' HTTP API: chat completions, file uploads
// and batches.
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

// Sends one prompt as a streamed chat completion. `on_text` receives each piece
// of text as it arrives. Fails with the error that the server returned, or with
// kIo if the stream ended before its end marker.
Result<ChatOutcome> StreamChatCompletion(
    const ChatOptions& options,
    const std::function<void(const std::string&)>& on_text = nullptr);

// Uploads `lines`, one JSON request per line, and starts a batch from them.
// Returns the batch object as JSON text.
Result<std::string> StartBatch(const std::string& server,
                               const std::string& key, const std::string& lines,
                               const std::string& window,
                               const std::string& idempotency_key,
                               TimePoint deadline,
                               const std::string& ca_file = "");

}  // namespace sequoialb
