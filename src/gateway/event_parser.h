// Splits a stream of server-sent events into whole events and parses them.
//
// A backend server may fail in the middle of an event. Only whole events are
// passed on, so that a stream can be resumed at another server after the last
// whole event. A server in trouble may also send bytes without end that never
// make up an event: the parser looks at each byte once, and reports an event
// that is longer than any real one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoialb {

struct StreamEvent {
  // The event's bytes, including the empty line that ends it.
  std::string raw;
  std::optional<uint64_t> id;
  // The data lines, joined by line feeds.
  std::string data;
};

class EventParser {
 public:
  void Add(std::string_view bytes) { buffer_.append(bytes); }

  // Returns the next event, or nothing until it is complete, and nothing after
  // foreign bytes.
  std::optional<StreamEvent> Next();

  // Returns whether bytes of an incomplete event are buffered.
  bool partial() const { return !buffer_.empty(); }
  // Returns whether the incomplete event is longer than any real one. Call when
  // Next() returns nothing.
  bool too_long() const { return buffer_.size() > kMaxEventBytes; }
  // Returns whether the stream has had lines before an empty one of which none
  // is part of an event, such as the head of an error.
  bool foreign() const { return foreign_; }
  void Clear();

  static constexpr size_t kMaxEventBytes = 262'144;

 private:
  // Returns the offset after the first empty line, or nothing while there is
  // none.
  std::optional<size_t> FindEventEnd();

  std::string buffer_;
  bool foreign_ = false;
  // Where the first line begins whose end has not been found, and up to where
  // that end has been searched for.
  size_t line_begin_ = 0;
  size_t searched_ = 0;
};

}  // namespace sequoialb
