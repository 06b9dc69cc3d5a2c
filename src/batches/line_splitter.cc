#include "batches/line_splitter.h"

namespace sequoialb {

Status LineSplitter::Flush() {
  if (blob_lines_ == 0) {
    return {};
  }
  const std::string blob = data_.substr(0, line_start_);
  Status status = sink_(blob, blob_lines_);
  if (!status) {
    return status;
  }
  data_.erase(0, line_start_);
  line_start_ = 0;
  blob_lines_ = 0;
  return {};
}

Status LineSplitter::Feed(std::string_view bytes) {
  size_t search = data_.size();
  data_.append(bytes);
  for (size_t end = data_.find('\n', search); end != std::string::npos;
       end = data_.find('\n', search)) {
    const bool empty = end == line_start_;
    if (empty) {
      data_.erase(end, 1);
      search = end;
      continue;
    }
    bytes_ += end + 1 - line_start_;
    line_start_ = end + 1;
    ++blob_lines_;
    ++lines_;
    search = line_start_;
    if (line_start_ >= kBlobBytes) {
      Status status = Flush();
      if (!status) {
        return status;
      }
      search = 0;
    }
  }
  if (data_.size() - line_start_ > kMaxLineBytes) {
    return Fail(ErrorCode::kTooLarge,
                "line " + std::to_string(lines_ + 1) + " is longer than " +
                    std::to_string(kMaxLineBytes) + " bytes");
  }
  return {};
}

Status LineSplitter::Finish() {
  if (data_.size() > line_start_) {
    Status status = Feed("\n");
    if (!status) {
      return status;
    }
  }
  return Flush();
}

}  // namespace sequoialb
