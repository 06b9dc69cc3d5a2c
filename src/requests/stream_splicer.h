// Joins the chunks of several attempts into one answer without duplicate or
// missing chunks.
//
// Example: an attempt delivers chunks 0, 1 and 2 and fails. The next attempt is
// asked to resume at 3, but its server starts at 2: chunk 2 is dropped and
// chunk 3 is appended. If the server had started at 4, chunk 3 would be
// missing; the attempt then counts as broken, because an incomplete answer is
// worse than a late one.
#pragma once

#include <cstdint>
#include <string>

namespace sequoialb {

class StreamSplicer {
 public:
  enum class AppendResult : uint8_t { kAppended, kDuplicate, kGap };

  // Appends a chunk by its sequence number in the answer, counted from 0. A
  // duplicate, or a chunk after a gap, is not appended.
  AppendResult Append(uint64_t sequence, const std::string& text) {
    if (sequence < next_) {
      return AppendResult::kDuplicate;
    }
    if (sequence > next_) {
      return AppendResult::kGap;
    }
    ++next_;
    text_ += text;
    return AppendResult::kAppended;
  }

  // The sequence number of the next chunk, at which a new attempt resumes.
  uint64_t next() const { return next_; }
  const std::string& text() const { return text_; }

 private:
  uint64_t next_ = 0;
  std::string text_;
};

}  // namespace sequoialb
