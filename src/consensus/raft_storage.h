// Durable storage of a Raft node: a journal with the hard state, the log
// entries, and the mark of the snapshot that the log continues.
//
// An entry record whose index was written before replaces the earlier entry and
// all later ones, so truncating the log needs no record of its own.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/error.h"
#include "consensus/raft_types.h"
#include "journal/file_system.h"
#include "journal/journal.h"

namespace sequoialb {

class RaftStorage {
 public:
  // Opens the journal in `folder` and reads the stored state into `state`.
  static Result<std::unique_ptr<RaftStorage>> Open(FileSystem& files,
                                                   const std::string& folder,
                                                   RaftPersistentState& state);

  // Appends the hard state, if any, and the entries, and syncs the journal.
  Status Persist(const std::optional<HardState>& hard_state,
                 const std::vector<proto::LogEntry>& entries);

  // Records that a durable snapshot covers the log up to `mark`, and removes
  // segments that are no longer needed. With `reset`, discards all entries.
  Status MarkSnapshot(const SnapshotMark& mark, bool reset);

 private:
  RaftStorage() = default;
  Status StartSegment();
  Status AppendHardState();
  Status AppendMark(const SnapshotMark& mark, bool reset);

  std::unique_ptr<Journal> journal_;
  HardState hard_state_;
  SnapshotMark mark_;
  // The highest entry index in each segment.
  std::map<uint64_t, uint64_t> segment_last_index_;
};

}  // namespace sequoialb
