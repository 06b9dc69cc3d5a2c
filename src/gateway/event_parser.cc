#include "gateway/event_parser.h"

#include "http/message.h"

namespace sequoialb {
namespace {

std::string_view FieldValue(std::string_view line, size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

// Returns the offset after the first empty line, or npos.
size_t EventEnd(const std::string& buffer) {
  size_t at = 0;
  while (true) {
    const size_t feed = buffer.find('\n', at);
    if (feed == std::string::npos) {
      return std::string::npos;
    }
    const bool empty = feed == at || (feed == at + 1 && buffer[at] == '\r');
    if (empty) {
      return feed + 1;
    }
    at = feed + 1;
  }
}

void ParseLine(std::string_view line, StreamEvent& event, bool& has_data) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = FieldValue(line, colon);
  if (name == "id") {
    event.id = ParseDecimal(value);
  } else if (name == "data") {
    if (has_data) {
      event.data.push_back('\n');
    }
    has_data = true;
    event.data.append(value);
  }
}

}  // namespace

std::optional<StreamEvent> EventParser::Next() {
  const size_t end = EventEnd(buffer_);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  StreamEvent event;
  event.raw = buffer_.substr(0, end);
  buffer_.erase(0, end);
  std::string_view rest = event.raw;
  bool has_data = false;
  while (!rest.empty()) {
    const size_t feed = rest.find('\n');
    ParseLine(rest.substr(0, feed), event, has_data);
    rest = feed == std::string_view::npos ? "" : rest.substr(feed + 1);
  }
  return event;
}

}  // namespace sequoialb
