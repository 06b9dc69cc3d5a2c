// The durable side of the agreement: hard state and log entries in a journal,
// and the mark that says which snapshot the log stands on.
//
// A record with an index that was written before overrides the earlier one and
// all behind it, so a cut of the log needs no record of its own.
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
  // Opens the log in `folder`; `found` receives what the disk held.
  static Result<std::unique_ptr<RaftStorage>> Open(FileSystem& files,
                                                   const std::string& folder,
                                                   RaftPersistentState& state);

  // Makes one step durable: the hard state, if any, and the entries.
  Status Persist(const std::optional<HardState>& hard_state,
                 const std::vector<proto::LogEntry>& entries);

  // Records that a durable snapshot covers the log up to `mark`, and drops
  // segments that nothing needs any more. With `reset` all entries go.
  Status MarkSnapshot(const SnapshotMark& mark, bool reset);

 private:
  RaftStorage() = default;
  Status StartSegment();
  Status AppendHardState();
  Status AppendMark(const SnapshotMark& mark, bool reset);

  std::unique_ptr<Journal> journal_;
  HardState hard_state_;
  SnapshotMark mark_;
  // The highest entry index that each segment holds.
  std::map<uint64_t, uint64_t> segment_last_index_;
};

}  // namespace sequoialb
