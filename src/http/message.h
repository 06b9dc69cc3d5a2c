// HTTP/1.1 message heads and body framing, read strictly.
//
// A proxy that guesses where a message ends lets one caller's bytes become
// another's request or answer. So everything that two readers could understand
// differently is refused: conflicting or repeated lengths, a length with a
// sign, white space before a colon, folded lines, a length beside chunks, bare
// line feeds, control characters. Pure functions over bytes; no sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace sequoialb {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Header fields in the order they came; names compare without case.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }
  // Returns the first value of a field, or nullptr.
  const std::string* Find(std::string_view name) const;
  // Returns how often a field stands in the head.
  size_t Count(std::string_view name) const;
  const std::vector<HttpHeader>& fields() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

enum class BodyFraming : uint8_t { kNone, kLength, kChunked, kUntilClose };

struct RequestHead {
  std::string method;
  // Path and query as they came.
  std::string target;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
  // The caller keeps the connection open for more.
  bool keep_alive = true;

  std::string_view path() const;
  // Without the question mark; empty when there is none.
  std::string_view query() const;
};

struct ResponseHead {
  int status = 0;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
  bool keep_alive = true;
};

// True when two field names or tokens are equal without regard to case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns the size of a head with its empty line, or nothing while the end has
// not arrived.
std::optional<size_t> HeadSize(std::string_view bytes);

// Parses a head of HeadSize bytes; fails with kMalformed.
Result<RequestHead> ParseRequestHead(std::string_view head);
// `to_head_request` says that the request was HEAD, whose answer has no body.
Result<ResponseHead> ParseResponseHead(std::string_view head,
                                       bool to_head_request = false);

// Parses digits only, as lengths and identifiers are written.
std::optional<uint64_t> ParseDecimal(std::string_view text);

// True for fields that concern one connection and are never passed on.
bool IsHopByHop(std::string_view name, const HttpHeaders& headers);

// Takes a message's body out of its framing.
class BodyDecoder {
 public:
  enum class State : uint8_t { kIncomplete, kDone, kMalformed };

  BodyDecoder(BodyFraming framing, uint64_t length);

  // Appends decoded bytes to `out` and returns how many of `in` were used.
  size_t Feed(std::string_view in, std::string& out);

  // Takes the end of the connection; true when the body is complete by it.
  bool OnConnectionClosed();

  State state() const { return state_; }

 private:
  enum class Part : uint8_t { kSize, kData, kDataEnd, kTrailer };

  bool FeedLine(char c);
  void OnLine();

  BodyFraming framing_;
  State state_ = State::kIncomplete;
  Part part_ = Part::kSize;
  uint64_t remaining_ = 0;
  std::string line_;
};

// Writes one chunk of a chunked body.
void AppendChunk(std::string& out, std::string_view data);

// Returns the reason phrase of a status.
std::string_view ReasonPhrase(int status);

}  // namespace sequoialb
