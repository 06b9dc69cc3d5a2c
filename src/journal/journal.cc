#include "journal/journal.h"

#include <charconv>
#include <cstdio>
#include <vector>

#include "journal/frame.h"

namespace sequoialb {
namespace {

constexpr std::string_view kSegmentSuffix = ".log";
constexpr int kSegmentNumberDigits = 20;

bool ParseSegmentName(const std::string& name, uint64_t& number) {
  if (name.size() != kSegmentNumberDigits + kSegmentSuffix.size() ||
      name.compare(kSegmentNumberDigits, kSegmentSuffix.size(),
                   kSegmentSuffix) != 0) {
    return false;
  }
  const char* end = name.data() + kSegmentNumberDigits;
  const auto parsed = std::from_chars(name.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

Journal::Journal(FileSystem& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

std::string Journal::SegmentPath(uint64_t segment) const {
  std::string digits = std::to_string(segment);
  digits.insert(0, kSegmentNumberDigits - digits.size(), '0');
  return folder_ + "/" + digits + std::string(kSegmentSuffix);
}

Result<std::unique_ptr<Journal>> Journal::Open(FileSystem& files,
                                               const std::string& folder,
                                               const FrameVisitor& visit) {
  std::unique_ptr<Journal> journal(new Journal(files, folder));
  const Status recovered = journal->Recover(visit);
  if (!recovered) {
    return tl::unexpected<Error>(recovered.error());
  }
  return journal;
}

Status Journal::Recover(const FrameVisitor& visit) {
  Status made = files_.MakeFolder(folder_);
  if (!made) {
    return made;
  }
  const auto names = files_.List(folder_);
  if (!names) {
    return tl::unexpected<Error>(names.error());
  }
  std::vector<uint64_t> segments;
  for (const std::string& name : *names) {
    uint64_t number = 0;
    if (ParseSegmentName(name, number)) {
      segments.push_back(number);
    }
  }
  for (size_t i = 0; i < segments.size(); ++i) {
    if (i > 0 && segments[i] != segments[i - 1] + 1) {
      return Fail(ErrorCode::kCorrupt,
                  SegmentPath(segments[i - 1] + 1) +
                      ": segment is missing; restore the data folder "
                      "or replace this host");
    }
    Status replayed =
        ReplaySegment(segments[i], i + 1 == segments.size(), visit);
    if (!replayed) {
      return replayed;
    }
  }
  first_segment_ = segments.empty() ? 1 : segments.front();
  return OpenSegment(segments.empty() ? 1 : segments.back());
}

Status Journal::ReplaySegment(uint64_t segment, bool is_last,
                              const FrameVisitor& visit) {
  const std::string path = SegmentPath(segment);
  const Result<std::string> data = files_.Read(path);
  if (!data) {
    return tl::unexpected<Error>(data.error());
  }
  size_t offset = 0;
  Frame frame;
  FrameStatus status = ReadFrame(*data, offset, frame);
  while (status == FrameStatus::kValid) {
    Status visited = visit(segment, frame.kind, frame.payload);
    if (!visited) {
      return visited;
    }
    offset += frame.size;
    status = ReadFrame(*data, offset, frame);
  }
  segment_bytes_ = offset;
  if (status == FrameStatus::kEnd) {
    return {};
  }
  if (!is_last || HasFrameAfter(*data, offset + 1)) {
    return Fail(ErrorCode::kCorrupt,
                path + ": damaged frame at offset " + std::to_string(offset) +
                    "; restore the data folder or replace this host");
  }
  return files_.Truncate(path, offset);
}

Status Journal::OpenSegment(uint64_t segment) {
  auto file = files_.OpenAppend(SegmentPath(segment));
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  file_ = std::move(*file);
  segment_ = segment;
  // The truncation of a torn tail and the file's directory entry must be
  // durable before the first append; otherwise a second crash could restore the
  // torn bytes.
  return file_->Sync().and_then([this] { return files_.SyncFolder(folder_); });
}

Status Journal::RecordFailure(Status status) {
  if (!status) {
    failed_ = true;
  }
  return status;
}

Status Journal::Append(uint32_t kind, std::string_view payload) {
  if (failed_) {
    return Fail(ErrorCode::kIo, folder_ + ": an earlier write failed");
  }
  const size_t previous_size = buffer_.size();
  AppendFrame(buffer_, kind, payload);
  segment_bytes_ += buffer_.size() - previous_size;
  return {};
}

Status Journal::Sync() {
  if (failed_) {
    return Fail(ErrorCode::kIo, folder_ + ": an earlier write failed");
  }
  Status written = RecordFailure(file_->Append(buffer_));
  if (!written) {
    return written;
  }
  buffer_.clear();
  return RecordFailure(file_->Sync());
}

Status Journal::StartSegment() {
  Status synced = Sync();
  if (!synced) {
    return synced;
  }
  segment_bytes_ = 0;
  return RecordFailure(OpenSegment(segment_ + 1));
}

Status Journal::RemoveSegmentsBelow(uint64_t segment) {
  bool removed = false;
  while (first_segment_ < segment && first_segment_ < segment_) {
    Status status = files_.Remove(SegmentPath(first_segment_));
    if (!status) {
      return status;
    }
    ++first_segment_;
    removed = true;
  }
  return removed ? files_.SyncFolder(folder_) : Status();
}

}  // namespace sequoialb
