// Splits a server-sent event stream into the data of its events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sequoialb {

class SseParser {
 public:
  // Adds bytes as they arrive from the network, cut anywhere.
  void Feed(std::string_view bytes);

  // Returns the data of the next whole event, or nothing. Comments, other
  // fields and empty events are passed over.
  std::optional<std::string> Next();

 private:
  std::string buffer_;
  size_t start_ = 0;
};

}  // namespace sequoialb
