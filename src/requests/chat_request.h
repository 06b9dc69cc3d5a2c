// Parses and formats the fields of OpenAI-style request and answer bodies that
// the system uses. All other fields of a request are forwarded unchanged.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

#include "base/error.h"

namespace sequoialb {

enum class ChatKind : uint8_t { kChat, kCompletion };

struct ChatRequest {
  ChatKind kind = ChatKind::kChat;
  std::string model;
  // The caller wants the answer as a stream of events.
  bool stream = false;
  Json::Value body;
  // All prompt text in order, for the prefix hash and the size estimate.
  std::string prompt;

  // Hash of the model and the start of the prompt, which is matched against the
  // engines' cached prefixes.
  uint64_t prefix_hash() const;
  // Estimated number of tokens in the prompt.
  uint32_t prompt_tokens() const;
};

// Parses and checks a request body for a path such as "/v1/chat/completions".
Result<ChatRequest> ParseChatRequest(const std::string& path,
                                     const std::string& body);

// Returns true for the paths that ParseChatRequest accepts.
bool IsChatPath(const std::string& path);

// One event of an engine's answer.
struct ChatChunk {
  std::string text;
  // Empty in every chunk but the last.
  std::string finish_reason;
  // The sequence number of the chunk within the answer, if the engine sends
  // one.
  bool has_sequence = false;
  uint64_t sequence = 0;
};

// Parses the data of an engine's event; fails with kBackendFailed.
Result<ChatChunk> ParseChatChunk(const std::string& data, ChatKind kind);

// Returns the request body for an engine: the caller's body with streaming
// enabled, resuming at chunk `resume_from` of the answer whose text so far is
// `text`.
std::string EngineBody(const ChatRequest& request, uint64_t resume_from,
                       const std::string& text);

// Returns one chunk of an answer as a server-sent event for the caller.
std::string FormatChunk(const ChatRequest& request, const std::string& id,
                        int64_t created, const std::string& text,
                        const std::string& finish_reason);

// Returns the body of a complete answer that is not streamed.
std::string FormatAnswer(const ChatRequest& request, const std::string& id,
                         int64_t created, const std::string& text,
                         const std::string& finish_reason,
                         uint64_t completion_tokens);

}  // namespace sequoialb
