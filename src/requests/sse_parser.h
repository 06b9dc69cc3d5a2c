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

 private:
  std::string buffer_;
  size_t start_ = 0;
};

}  // namespace sequoialb
