// Snapshots of the replicated state as files.
//
// A snapshot is a sequence of frames: a header with the position in the log,
// the parts of the state, and an end frame with their number. It is written
// under a temporary name and renamed once it is durable, so that a file under
// its final name is always whole; its checksums still guard against decay.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "consensus/raft_types.h"
#include "journal/file_system.h"
#include "proto/ledger.pb.h"

namespace sequoialb {

// Yields the parts of the state one by one; false at the end.
using SnapshotSource = std::function<bool(proto::SnapshotPart&)>;
using SnapshotSink = std::function<void(const proto::SnapshotPart&)>;

// Writes a snapshot durably and returns the name of its file.
Result<std::string> WriteSnapshot(FileSystem& files, const std::string& folder,
                                  const SnapshotMark& mark,
                                  const SnapshotSource& next_part);

// Reads the file of the snapshot at `index`, handing each part to `sink`.
Result<SnapshotMark> LoadSnapshot(FileSystem& files, const std::string& folder,
                                  uint64_t index, const SnapshotSink& sink);

// Reads a snapshot from memory; used for one that arrived from the leader.
Result<SnapshotMark> DecodeSnapshot(std::string_view data,
                                    const std::string& origin,
                                    const SnapshotSink& sink);

std::string SnapshotFileName(uint64_t index);

// Removes all snapshots but the one at `index`, and leftovers of broken writes.
Status RemoveOtherSnapshots(FileSystem& files, const std::string& folder,
                            uint64_t index);

}  // namespace sequoialb
