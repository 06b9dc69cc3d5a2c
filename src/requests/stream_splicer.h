// Joins the chunks of several attempts into one answer with nothing twice and
// nothing missing.
//
// Worked example: an attempt delivers chunks 0, 1, 2 and breaks off. The next
// attempt is asked to resume at 3, but its server starts at 2: chunk 2 is
// dropped, 3 is taken. Had it started at 4, chunk 3 would be missing; the
// attempt then counts as broken, because an answer with a hole is worse than a
// late one.
#pragma once

#include <cstdint>
#include <string>

namespace sequoialb {

class StreamSplicer {
 public:
  enum class AppendResult : uint8_t { kAppended, kDuplicate, kGap };

  // Takes the chunk with a sequence number of the answer, counted from 0.
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

  // The sequence number that comes next: where an attempt resumes.
  uint64_t next() const { return next_; }
  const std::string& text() const { return text_; }

 private:
  uint64_t next_ = 0;
  std::string text_;
};

}  // namespace sequoialb
