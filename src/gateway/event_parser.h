// Splits a stream of server-sent events into whole events and parses them.
//
// A backend server may fail in the middle of an event. Only whole events are
// passed on, so that a stream can be resumed at another server after the last
// whole event.
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

  // Returns the next event, or nothing until it is complete.
  std::optional<StreamEvent> Next();

  // Returns whether bytes of an incomplete event are buffered.
  bool partial() const { return !buffer_.empty(); }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace sequoialb
