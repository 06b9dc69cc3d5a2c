// An append-only journal: a sequence of frames in numbered segment files.
//
// Opening a journal replays every frame. An incomplete frame at the end of the
// last segment, left by a crash during a write, is truncated. Damage anywhere
// else fails the opening with kCorrupt and names the segment and the offset,
// because truncating there would silently drop acknowledged records.
//
// One Sync makes all earlier appends durable. After a failed Append or Sync the
// journal rejects all further appends and syncs: it is unknown what reached the
// disk, and a second fsync may report success for data that the kernel has
// already dropped.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "journal/file_system.h"

namespace sequoialb {

class Journal {
 public:
  // Called for each frame when the journal is opened, with its segment number,
  // kind and payload. An error ends the replay and is returned by Open.
  using FrameVisitor =
      std::function<Status(uint64_t, uint32_t, std::string_view)>;

  static Result<std::unique_ptr<Journal>> Open(FileSystem& files,
                                               const std::string& folder,
                                               const FrameVisitor& visit);

  // Adds a frame to the current segment; durable only after Sync.
  Status Append(uint32_t kind, std::string_view payload);
  Status Sync();

  // Syncs the current segment and begins a new one.
  Status StartSegment();

  // Removes the segments numbered below `segment`.
  Status RemoveSegmentsBelow(uint64_t segment);

  // Number of the segment that Append writes to.
  uint64_t segment() const { return segment_; }
  // Bytes in the current segment, unsynced ones included.
  uint64_t segment_bytes() const { return segment_bytes_; }

 private:
  Journal(FileSystem& files, std::string folder);
  Status Recover(const FrameVisitor& visit);
  Status ReplaySegment(uint64_t segment, bool is_last,
                       const FrameVisitor& visit);
  Status OpenSegment(uint64_t segment);
  std::string SegmentPath(uint64_t segment) const;
  // Marks the journal as failed if `status` is an error. Returns `status`.
  Status RecordFailure(Status status);

  FileSystem& files_;
  std::string folder_;
  std::unique_ptr<AppendFile> file_;
  std::string buffer_;
  uint64_t first_segment_ = 0;
  uint64_t segment_ = 0;
  uint64_t segment_bytes_ = 0;
  bool failed_ = false;
};

}  // namespace sequoialb
