#include "gateway/event_parser.h"

#include <algorithm>
#include <array>

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

// Returns whether a line that is not empty is a comment or a known field.
bool IsEventLine(std::string_view line) {
  constexpr std::array<std::string_view, 4> kFields = {"id", "data", "event",
                                                       "retry"};
  const std::string_view name = line.substr(0, line.find(':'));
  return name.empty() ||
         std::find(kFields.begin(), kFields.end(), name) != kFields.end();
}

void ParseLine(std::string_view line, StreamEvent& event, bool& has_data) {
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

void EventParser::Clear() {
  buffer_.clear();
  foreign_ = false;
  line_begin_ = 0;
  searched_ = 0;
}

std::optional<size_t> EventParser::FindEventEnd() {
  while (true) {
    const size_t feed = buffer_.find('\n', searched_);
    if (feed == std::string::npos) {
      searched_ = buffer_.size();
      return std::nullopt;
    }
    const bool empty = feed == line_begin_ || (feed == line_begin_ + 1 &&
                                               buffer_[line_begin_] == '\r');
    line_begin_ = feed + 1;
    searched_ = feed + 1;
    if (empty) {
      return feed + 1;
    }
  }
}

std::optional<StreamEvent> EventParser::Next() {
  const std::optional<size_t> end = foreign_ ? std::nullopt : FindEventEnd();
  if (!end) {
    return std::nullopt;
  }
  StreamEvent event;
  event.raw = buffer_.substr(0, *end);
  buffer_.erase(0, *end);
  line_begin_ = 0;
  searched_ = 0;
  std::string_view rest = event.raw;
  bool has_data = false;
  bool has_line = false;
  bool has_event_line = false;
  while (!rest.empty()) {
    const size_t feed = rest.find('\n');
    std::string_view line = rest.substr(0, feed);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      has_line = true;
      has_event_line = has_event_line || IsEventLine(line);
      ParseLine(line, event, has_data);
    }
    rest = feed == std::string_view::npos ? "" : rest.substr(feed + 1);
  }
  if (has_line && !has_event_line) {
    foreign_ = true;
    return std::nullopt;
  }
  return event;
}

}  // namespace sequoialb
