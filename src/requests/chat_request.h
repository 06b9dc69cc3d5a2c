// The part of the OpenAI-style request and answer bodies that the system needs
// to understand; everything else passes through as it came.
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

  // Hash of the prompt's beginning, by which engines' prefix caches match.
  uint64_t prefix_hash() const;
  // Roughly how many tokens the prompt has.
  uint32_t prompt_tokens() const;
};

// Parses and checks a request body for a path such as "/v1/chat/completions".
Result<ChatRequest> ParseChatRequest(const std::string& path,
                                     const std::string& body);

// Returns true for the paths that ParseChatRequest takes.
bool IsChatPath(const std::string& path);

// One event of an engine's answer.
struct ChatChunk {
  std::string text;
  // Empty until the last one.
  std::string finish_reason;
  // The chunk's number within the answer, when the engine gives one.
  bool has_sequence = false;
  uint64_t sequence = 0;
};

// Parses the data of an engine's event; fails with kBackendFailed.
Result<ChatChunk> ParseChatChunk(const std::string& data, ChatKind kind);

// Returns the body that is sent to an engine: the caller's, streamed, resuming
// at chunk `resume_from` of the answer whose text so far is `text`.
std::string EngineBody(const ChatRequest& request, uint64_t resume_from,
                       const std::string& text);

// Returns one event for the caller, ready to be written.
std::string FormatChunk(const ChatRequest& request, const std::string& id,
                        int64_t created, const std::string& text,
                        const std::string& finish_reason);

// Returns a whole answer.
std::string FormatAnswer(const ChatRequest& request, const std::string& id,
                         int64_t created, const std::string& text,
                         const std::string& finish_reason,
                         uint64_t completion_tokens);

}  // namespace sequoialb
