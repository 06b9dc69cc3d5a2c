// Cuts a stream of server-sent events into whole events.
//
// A server may stop in the middle of an event. Only whole events are passed on,
// so a stream that goes on at another server goes on after a whole one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoialb {

struct StreamEvent {
  // The event's bytes with its closing empty line.
  std::string raw;
  std::optional<uint64_t> id;
  // The data lines, joined by line feeds.
  std::string data;
};

class EventParser {
 public:
  void Add(std::string_view bytes) { buffer_.append(bytes); }

  // Returns the next whole event, or nothing while it has not ended.
  std::optional<StreamEvent> Next();

  // True when bytes of an unfinished event are held.
  bool partial() const { return !buffer_.empty(); }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace sequoialb
