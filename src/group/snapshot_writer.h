// Writes the snapshots of a group beside its work.
//
// A store group's state grows to tens of megabytes, and writing them takes the
// disk longer than members wait for their leader. The state is frozen at once
// and written part by part by a thread of its own, so that the control thread
// neither falls silent nor holds the state a second time.
#pragma once

#include <future>
#include <optional>
#include <string>

#include "consensus/raft_types.h"
#include "group/group_state.h"
#include "journal/file_system.h"

namespace sequoialb {

// A snapshot that is whole and durable.
struct WrittenSnapshot {
  SnapshotMark mark;
  // Of the state's parts together.
  uint64_t bytes = 0;
};

class SnapshotWriter {
 public:
  // With `aside` a thread of its own writes; else Start does, which tests with
  // a file system on virtual time need.
  SnapshotWriter(FileSystem& files, std::string folder, bool in_background)
      : files_(files),
        folder_(std::move(folder)),
        in_background_(in_background) {}

  void Start(SnapshotMark mark, StateParts parts);
  bool busy() const { return writing_.valid(); }

  // Returns the outcome of a write that has ended, once.
  std::optional<Result<WrittenSnapshot>> TakeFinished();

 private:
  FileSystem& files_;
  std::string folder_;
  bool in_background_;
  std::future<Result<WrittenSnapshot>> writing_;
};

}  // namespace sequoialb
