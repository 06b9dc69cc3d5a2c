// Reads and writes snapshots of the replicated state as files.
//
// A snapshot is a sequence of frames: a header with its position in the log,
// the parts of the state, and an end frame with the number of parts. It is
// written under a temporary name and renamed once it is durable, so a file
// under its final name is always complete. Checksums in the frames detect later
// corruption on the disk.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "consensus/raft_types.h"
#include "journal/file_system.h"
#include "proto/ledger.pb.h"

namespace sequoialb {

// Fills in the next part of the state; returns false after the last one.
using SnapshotSource = std::function<bool(proto::SnapshotPart&)>;
// Receives the parts of a snapshot one by one.
using SnapshotSink = std::function<void(const proto::SnapshotPart&)>;

// Writes a snapshot durably and returns its file name.
Result<std::string> WriteSnapshot(FileSystem& files, const std::string& folder,
                                  const SnapshotMark& mark,
                                  const SnapshotSource& next_part);

// Reads the snapshot file for `index` and passes each part to `sink`.
Result<SnapshotMark> LoadSnapshot(FileSystem& files, const std::string& folder,
                                  uint64_t index, const SnapshotSink& sink);

// Reads a snapshot from memory, such as one received from the leader. `origin`
// names its source in error messages.
Result<SnapshotMark> DecodeSnapshot(std::string_view data,
                                    const std::string& origin,
                                    const SnapshotSink& sink);

std::string SnapshotFileName(uint64_t index);

// Removes all snapshots except the one at `index`, and the temporary files of
// interrupted writes.
Status RemoveOtherSnapshots(FileSystem& files, const std::string& folder,
                            uint64_t index);

}  // namespace sequoialb
