#include "client/caller_client.h"

#include <json/value.h>

#include "requests/chat_request.h"
#include "requests/sse_parser.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr int kOk = 200;

std::string ChatBody(const ChatOptions& options) {
  Json::Value body;
  body["model"] = options.model;
  body["stream"] = true;
  Json::Value message;
  message["role"] = "user";
  message["content"] = options.prompt;
  body["messages"].append(message);
  return JsonLine(body);
}

// Parses the event stream of a chat completion: collects the text and records
// whether the stream ended with an error event or with its end marker.
class AnswerReader {
 public:
  explicit AnswerReader(const std::function<void(const std::string&)>& on_text)
      : on_text_(on_text) {}

  void Feed(std::string_view bytes) {
    raw_.append(raw_.size() < kMaxRawBytes ? bytes : std::string_view());
    parser_.Feed(bytes);
    while (const auto data = parser_.Next()) {
      HandleEvent(*data);
    }
  }

  bool complete() const { return complete_; }
  const std::string& text() const { return text_; }
  const std::string& raw() const { return raw_; }
  const std::string& error_event() const { return error_event_; }

 private:
  static constexpr size_t kMaxRawBytes = 64U << 10U;

  void HandleEvent(const std::string& data) {
    if (data == "[DONE]") {
      complete_ = true;
      return;
    }
    if (data.find("\"code\":") != std::string::npos &&
        data.find("\"choices\":") == std::string::npos) {
      error_event_ = data;
      return;
    }
    const Result<ChatChunk> chunk = ParseChatChunk(data, ChatKind::kChat);
    if (chunk && !chunk->text.empty()) {
      text_ += chunk->text;
      if (on_text_) {
        on_text_(chunk->text);
      }
    }
  }

  const std::function<void(const std::string&)>& on_text_;
  SseParser parser_;
  std::string raw_;
  std::string text_;
  std::string error_event_;
  bool complete_ = false;
};

std::string HeaderOf(const HttpResponse& answer, const std::string& name) {
  const auto found = answer.headers.find(name);
  return found == answer.headers.end() ? "" : found->second;
}

}  // namespace

Result<ChatOutcome> StreamChatCompletion(
    const ChatOptions& options,
    const std::function<void(const std::string&)>& on_text) {
  HttpRequest request;
  request.method = "POST";
  request.server = options.server;
  request.path = "/v1/chat/completions";
  request.body = ChatBody(options);
  request.deadline = options.deadline;
  request.ca_file = options.ca_file;
  request.headers["Authorization"] = "Bearer " + options.key;
  if (!options.idempotency_key.empty()) {
    request.headers["Idempotency-Key"] = options.idempotency_key;
  }
  AnswerReader reader(on_text);
  Result<HttpResponse> answer = SendHttpRequest(
      request, [&reader](std::string_view bytes) { reader.Feed(bytes); });
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  if (answer->status != kOk) {
    answer->body = reader.raw();
    return tl::unexpected<Error>(ErrorFromResponse(*answer));
  }
  if (!reader.error_event().empty()) {
    answer->body = reader.error_event();
    return tl::unexpected<Error>(ErrorFromResponse(*answer));
  }
  if (!reader.complete()) {
    return Fail(ErrorCode::kIo,
                "the response stream ended before it was complete",
                RunState::kUnknown);
  }
  return ChatOutcome{HeaderOf(*answer, "X-Sequoialb-Item"), reader.text(),
                     HeaderOf(*answer, "X-Sequoialb-Repeated") == "true"};
}

Result<std::string> StartBatch(const std::string& server,
                               const std::string& key, const std::string& lines,
                               const std::string& window,
                               const std::string& idempotency_key,
                               TimePoint deadline, const std::string& ca_file) {
  HttpRequest upload;
  upload.method = "POST";
  upload.server = server;
  upload.path = "/v1/files";
  upload.body = lines;
  upload.content_type = "application/jsonl";
  upload.deadline = deadline;
  upload.ca_file = ca_file;
  upload.headers["Authorization"] = "Bearer " + key;
  const Result<HttpResponse> file = SendHttpRequest(upload);
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  const auto file_json = JsonDocument::Parse(file->body, "answer");
  if (file->status != kOk || !file_json) {
    return tl::unexpected<Error>(ErrorFromResponse(*file));
  }
  Json::Value body;
  body["input_file_id"] = file_json->root["id"];
  body["endpoint"] = "/v1/chat/completions";
  if (!window.empty()) {
    body["completion_window"] = window;
  }
  HttpRequest create = upload;
  create.path = "/v1/batches";
  create.body = JsonLine(body);
  create.content_type = "application/json";
  if (!idempotency_key.empty()) {
    create.headers["Idempotency-Key"] = idempotency_key;
  }
  const Result<HttpResponse> batch = SendHttpRequest(create);
  if (!batch) {
    return tl::unexpected<Error>(batch.error());
  }
  if (batch->status != kOk) {
    return tl::unexpected<Error>(ErrorFromResponse(*batch));
  }
  return batch->body;
}

}  // namespace sequoialb
