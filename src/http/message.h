// A strict parser for HTTP/1.1 message heads and body framing. It works on
// bytes in memory and does no I/O.
//
// A proxy that guesses where a message ends allows request smuggling: bytes
// sent by one caller are taken for another caller's request or response. Input
// that two parsers could interpret differently is therefore rejected:
// conflicting or repeated lengths, a length with a sign, white space before a
// colon, folded lines, Content-Length together with chunked coding, bare line
// feeds, control characters, trailers that are no fields, and a switch to
// another protocol.
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

// Header fields in order of arrival. Names are compared case-insensitively.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }
  // Returns the first value of a field, or nullptr.
  const std::string* Find(std::string_view name) const;
  // Returns the number of fields with this name.
  size_t Count(std::string_view name) const;
  const std::vector<HttpHeader>& fields() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

enum class BodyFraming : uint8_t { kNone, kLength, kChunked, kUntilClose };

struct RequestHead {
  std::string method;
  // Path and query as received.
  std::string target;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
  // The caller keeps the connection open for further requests.
  bool keep_alive = true;

  std::string_view path() const;
  // Excludes the question mark; empty if the target has no query.
  std::string_view query() const;
};

struct ResponseHead {
  int status = 0;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
  bool keep_alive = true;
  // Set by the reader of the connection: the response belongs to the call for
  // certain, because it names the request or is the first on its connection.
  bool attributed = true;
};

// Which request a response names in the field that repeats the id of a request.
enum class NamedRequest : uint8_t { kNone, kThis, kOther };

// `id` is that of the request for which the response is read.
NamedRequest RequestNamedBy(const ResponseHead& head, std::string_view field,
                            std::string_view id);

// Compares field names or tokens case-insensitively.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns the size of the head including its final empty line, or nullopt while
// the head is incomplete.
std::optional<size_t> HeadSize(std::string_view bytes);

// Parses a head of exactly HeadSize bytes; fails with kMalformed.
Result<RequestHead> ParseRequestHead(std::string_view head);
// `to_head_request` is set if the request was HEAD, whose response has no body.
Result<ResponseHead> ParseResponseHead(std::string_view head,
                                       bool to_head_request = false);

// Return whether text may be written to a connection as a request target, as
// the name of a header field, or as its value, without changing where the
// message ends.
bool IsRequestTarget(std::string_view text);
bool IsHeaderName(std::string_view text);
bool IsHeaderValue(std::string_view text);

// Parses a decimal number that consists of digits only.
std::optional<uint64_t> ParseDecimal(std::string_view text);

// The fields of one head that apply to a single connection and must not be
// forwarded, including those that its Connection field names. Peers choose the
// length of that list, so it is split once for each head: looking through it
// for each field took up to 0.7 s for one head of 64 KB.
class HopByHopFields {
 public:
  explicit HopByHopFields(const HttpHeaders& headers);
  bool Contains(std::string_view name) const;

 private:
  // In lower case, sorted.
  std::vector<std::string> named_;
};

// Incrementally decodes a message body according to its framing.
class BodyDecoder {
 public:
  enum class State : uint8_t { kIncomplete, kDone, kMalformed };

  BodyDecoder(BodyFraming framing, uint64_t length);

  // Appends decoded bytes to `out` and returns how many bytes of `in` were
  // consumed. Bytes after the end of the body are left alone.
  size_t Feed(std::string_view in, std::string& out);

  // Returns how many bytes Feed can append at most for `size` bytes of input.
  size_t MaxDecoded(size_t size) const;

  // Call when the peer has closed the connection in an orderly way. Returns
  // true if the body is complete.
  bool OnConnectionClosed();

  State state() const { return state_; }
  // Memory allocated for an incomplete line: kMaxLineBytes at most, and up to
  // twice that while it grows.
  size_t held_bytes() const { return line_.capacity(); }

  // A longer chunk-size or trailer line is malformed.
  static constexpr size_t kMaxLineBytes = 4'096;

 private:
  enum class Part : uint8_t { kSize, kData, kDataEnd, kTrailer };

  bool FeedLine(char c);
  void OnLine();

  BodyFraming framing_;
  State state_ = State::kIncomplete;
  Part part_ = Part::kSize;
  uint64_t remaining_ = 0;
  std::string line_;
  // Bytes of the trailer fields so far.
  size_t trailer_bytes_ = 0;
};

// Appends `data` to `out` as one chunk of a chunked body.
void AppendChunk(std::string& out, std::string_view data);

// Returns the reason phrase of a status code.
std::string_view ReasonPhrase(int status);

}  // namespace sequoialb
