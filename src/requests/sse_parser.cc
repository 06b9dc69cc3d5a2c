#include "requests/sse_parser.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr std::string_view kDataField = "data:";

// Returns the data lines of one event, joined by newlines.
std::string DataOf(std::string_view event) {
  std::string data;
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.substr(0, kDataField.size()) != kDataField) {
      continue;
    }
    line.remove_prefix(kDataField.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    data += data.empty() ? "" : "\n";
    data += line;
  }
  return data;
}

}  // namespace

void SseParser::Feed(std::string_view bytes) {
  if (start_ > 0) {
    buffer_.erase(0, start_);
    searched_ -= start_;
    start_ = 0;
  }
  buffer_.append(bytes);
}

std::optional<std::string> SseParser::Next() {
  while (true) {
    const size_t plain = buffer_.find("\n\n", searched_);
    const size_t carriage = buffer_.find("\n\r\n", searched_);
    const size_t end = std::min(plain, carriage);
    if (end == std::string::npos) {
      // The last two bytes may belong to an end that is not complete.
      searched_ = std::max(
          start_, buffer_.size() - std::min<size_t>(2, buffer_.size()));
      return std::nullopt;
    }
    const std::string data =
        DataOf({buffer_.data() + start_, end + 1 - start_});
    start_ = end + (end == plain ? 2 : 3);
    searched_ = start_;
    if (!data.empty()) {
      return data;
    }
  }
}

}  // namespace sequoialb
