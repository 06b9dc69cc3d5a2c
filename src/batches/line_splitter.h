// Splits a stream of JSON lines into blobs of whole lines.
//
// An upload is never held in memory as a whole: as soon as the lines reach
// kBlobBytes, they are passed as a blob to the sink, which stores them on the
// replicas. A line longer than kMaxLineBytes is refused.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace sequoialb {

class LineSplitter {
 public:
  // Receives a blob and the number of its lines.
  using Sink = std::function<Status(const std::string& data, uint32_t lines)>;

  static constexpr size_t kBlobBytes = 1U << 20U;
  static constexpr size_t kMaxLineBytes = 1U << 20U;

  explicit LineSplitter(Sink sink) : sink_(std::move(sink)) {}

  // Adds the next bytes of the stream; they may begin and end within a line.
  Status Feed(std::string_view bytes);
  // Passes the remaining lines to the sink, including a last line without a
  // newline.
  Status Finish();

  uint32_t lines() const { return lines_; }
  uint64_t bytes() const { return bytes_; }

 private:
  Status Flush();

  Sink sink_;
  std::string data_;
  size_t line_start_ = 0;
  uint32_t blob_lines_ = 0;
  uint32_t lines_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace sequoialb
