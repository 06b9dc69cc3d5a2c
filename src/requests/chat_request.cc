#include "requests/chat_request.h"

#include <json/reader.h>

#include <algorithm>
#include <memory>

#include "base/hash.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kCompletionPath[] = "/v1/completions";
// How much of the prompt the prefix hash covers: as much as an engine's cached
// prefixes typically cover.
constexpr size_t kPrefixChars = 256;
constexpr size_t kCharsPerToken = 4;

Result<Json::Value> ParseObject(const std::string& text, ErrorCode code) {
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["allowComments"] = false;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problem;
  bool parsed = false;
  try {
    parsed =
        reader->parse(text.data(), text.data() + text.size(), &value, &problem);
  } catch (const Json::Exception& e) {
    problem = e.what();
  }
  if (!parsed || !value.isObject()) {
    std::replace(problem.begin(), problem.end(), '\n', ' ');
    return Fail(code, "the body is not a JSON object: " + problem);
  }
  return value;
}

std::string TextOf(const Json::Value& content) {
  if (content.isString()) {
    return content.asString();
  }
  std::string text;
  if (content.isArray()) {
    for (const Json::Value& part : content) {
      if (part.isObject() && part["text"].isString()) {
        text += part["text"].asString();
      }
    }
  }
  return text;
}

Status ReadPrompt(ChatRequest& request) {
  const Json::Value& body = request.body;
  if (request.kind == ChatKind::kCompletion) {
    if (!body["prompt"].isString()) {
      return Fail(ErrorCode::kInvalidField, "prompt: expected a string");
    }
    request.prompt = body["prompt"].asString();
    return {};
  }
  if (!body["messages"].isArray() || body["messages"].empty()) {
    return Fail(ErrorCode::kInvalidField,
                "messages: expected a list with at least one message");
  }
  for (const Json::Value& message : body["messages"]) {
    if (!message.isObject() || !message["role"].isString()) {
      return Fail(ErrorCode::kInvalidField,
                  "messages: each message needs a role and a content");
    }
    request.prompt +=
        message["role"].asString() + ": " + TextOf(message["content"]) + "\n";
  }
  return {};
}

}  // namespace

bool IsChatPath(const std::string& path) {
  return path == kChatPath || path == kCompletionPath;
}

uint64_t ChatRequest::prefix_hash() const {
  return Hash64(prompt.substr(0, kPrefixChars), Hash64(model));
}

uint32_t ChatRequest::prompt_tokens() const {
  return static_cast<uint32_t>(prompt.size() / kCharsPerToken + 1);
}

Result<ChatRequest> ParseChatRequest(const std::string& path,
                                     const std::string& body) {
  Result<Json::Value> json = ParseObject(body, ErrorCode::kMalformed);
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  ChatRequest request;
  request.kind = path == kChatPath ? ChatKind::kChat : ChatKind::kCompletion;
  request.body = std::move(*json);
  if (!request.body["model"].isString() ||
      request.body["model"].asString().empty()) {
    return Fail(ErrorCode::kInvalidField,
                "model: expected the name of a model");
  }
  const Json::Value& stream = request.body["stream"];
  if (!stream.isNull() && !stream.isBool()) {
    return Fail(ErrorCode::kInvalidField, "stream: expected true or false");
  }
  const Json::Value& max_tokens = request.body["max_tokens"];
  if (!max_tokens.isNull() &&
      (!max_tokens.isUInt() || max_tokens.asUInt() == 0)) {
    return Fail(ErrorCode::kInvalidField,
                "max_tokens: expected a whole number above 0");
  }
  request.model = request.body["model"].asString();
  request.stream = stream.isBool() && stream.asBool();
  const Status prompt = ReadPrompt(request);
  if (!prompt) {
    return tl::unexpected<Error>(prompt.error());
  }
  return request;
}

Result<ChatChunk> ParseChatChunk(const std::string& data, ChatKind kind) {
  Result<Json::Value> json = ParseObject(data, ErrorCode::kBackendFailed);
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  const Json::Value& choices = (*json)["choices"];
  ChatChunk chunk;
  if (choices.isArray() && !choices.empty()) {
    const Json::Value& choice = choices[0];
    chunk.text = TextOf(kind == ChatKind::kChat ? choice["delta"]["content"]
                                                : choice["text"]);
    if (choice["finish_reason"].isString()) {
      chunk.finish_reason = choice["finish_reason"].asString();
    }
  }
  if ((*json)["seq"].isUInt64()) {
    chunk.has_sequence = true;
    chunk.sequence = (*json)["seq"].asUInt64();
  }
  return chunk;
}

std::string EngineBody(const ChatRequest& request, uint64_t resume_from,
                       const std::string& text) {
  Json::Value body = request.body;
  body["stream"] = true;
  if (resume_from > 0) {
    body["resume_from"] = static_cast<Json::UInt64>(resume_from);
    body["resume_text"] = text;
  }
  return JsonLine(body);
}

std::string FormatChunk(const ChatRequest& request, const std::string& id,
                        int64_t created, const std::string& text,
                        const std::string& finish_reason) {
  const bool chat = request.kind == ChatKind::kChat;
  const std::string reason =
      finish_reason.empty() ? "null" : JsonLine(finish_reason);
  const std::string content =
      chat ? "\"delta\":{" +
                 (text.empty() ? "" : "\"content\":" + JsonLine(text)) + "}"
           : "\"text\":" + JsonLine(text);
  return "data: {\"id\":\"" + id + "\",\"object\":\"" +
         (chat ? "chat.completion.chunk" : "text_completion") +
         "\",\"created\":" + std::to_string(created) +
         ",\"model\":" + JsonLine(request.model) +
         ",\"choices\":[{\"index\":0," + content +
         ",\"finish_reason\":" + reason + "}]}\n\n";
}

std::string FormatAnswer(const ChatRequest& request, const std::string& id,
                         int64_t created, const std::string& text,
                         const std::string& finish_reason,
                         uint64_t completion_tokens) {
  const bool chat = request.kind == ChatKind::kChat;
  Json::Value answer;
  answer["id"] = id;
  answer["object"] = chat ? "chat.completion" : "text_completion";
  answer["created"] = static_cast<Json::Int64>(created);
  answer["model"] = request.model;
  Json::Value choice;
  choice["index"] = 0;
  choice["finish_reason"] = finish_reason;
  if (chat) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  answer["choices"].append(choice);
  answer["usage"]["prompt_tokens"] = request.prompt_tokens();
  answer["usage"]["completion_tokens"] =
      static_cast<Json::UInt64>(completion_tokens);
  answer["usage"]["total_tokens"] =
      static_cast<Json::UInt64>(request.prompt_tokens() + completion_tokens);
  return JsonLine(answer);
}

}  // namespace sequoialb
