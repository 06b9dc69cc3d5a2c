// Splits a server-sent event stream into the data of its events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sequoialb {

class SseParser {
 public:
  // Adds bytes as they arrive from the network; events may be split at any
  // byte.
  void Feed(std::string_view bytes);

  // Returns the data of the next complete event, or nullopt if there is none
  // yet. Comments, other fields and empty events are skipped.
  std::optional<std::string> Next();

  // Returns whether the incomplete event is longer than any real one, as when a
  // server in trouble sends bytes without end. Call when Next() returns
  // nothing.
  bool too_long() const { return buffer_.size() - start_ > kMaxEventBytes; }

  static constexpr size_t kMaxEventBytes = 1'048'576;

 private:
  std::string buffer_;
  // Where the next event begins.
  size_t start_ = 0;
  // Up to where its end has been searched for.
  size_t searched_ = 0;
};

}  // namespace sequoialb
