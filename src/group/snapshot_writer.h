// Writes the snapshots of a group in the background.
//
// A store group's state grows to tens of megabytes, and writing it can take
// longer than the election timeout. The state is captured immediately and
// written part by part on a separate thread, so that the control thread keeps
// sending heartbeats and no second copy of the whole state is held in memory.
#pragma once

#include <future>
#include <optional>
#include <string>

#include "consensus/raft_types.h"
#include "group/group_state.h"
#include "journal/file_system.h"

namespace sequoialb {

// A complete and durable snapshot.
struct WrittenSnapshot {
  SnapshotMark mark;
  // Total size of the state's parts.
  uint64_t bytes = 0;
};

class SnapshotWriter {
 public:
  // With `in_background`, a separate thread writes the snapshots; otherwise
  // Start writes them before it returns, which tests need that use virtual
  // time.
  SnapshotWriter(FileSystem& files, std::string folder, bool in_background)
      : files_(files),
        folder_(std::move(folder)),
        in_background_(in_background) {}

  void Start(SnapshotMark mark, StateParts parts);
  bool busy() const { return writing_.valid(); }

  // Returns the result of a finished write, once; nullopt when there is none.
  std::optional<Result<WrittenSnapshot>> TakeFinished();

 private:
  FileSystem& files_;
  std::string folder_;
  bool in_background_;
  std::future<Result<WrittenSnapshot>> writing_;
};

}  // namespace sequoialb
