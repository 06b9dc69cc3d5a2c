// The entries behind the snapshot, in memory, with the membership in force at
// each point of the log.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "consensus/raft_types.h"

namespace sequoialb {

class RaftLog {
 public:
  RaftLog(SnapshotMark snapshot, std::vector<proto::LogEntry> entries);

  uint64_t first_index() const { return snapshot_.index + 1; }
  uint64_t last_index() const { return snapshot_.index + entries_.size(); }
  uint64_t last_term() const { return TermAt(last_index()); }
  const SnapshotMark& snapshot() const { return snapshot_; }

  // Returns the term of an entry; 0 when the log does not hold it.
  uint64_t TermAt(uint64_t index) const;
  const proto::LogEntry& At(uint64_t index) const;

  // Returns the position, term and membership in force at an entry.
  SnapshotMark MarkAt(uint64_t index) const;

  // Adds the entry that follows the last one.
  void Append(proto::LogEntry entry);

  // Drops all entries from `index` on.
  void TruncateFrom(uint64_t index);

  // Drops the entries up to `index`, which are in a snapshot now.
  void CompactTo(uint64_t index);

  // Returns the entry up to which the log must be compacted, `most` at the
  // furthest, to hold no more than `limit` bytes of commands.
  uint64_t CompactionIndexForSize(uint64_t max_bytes, uint64_t max_index) const;

  // Replaces everything by a snapshot received from the leader.
  void Reset(SnapshotMark snapshot);

  // The newest membership in the log, committed or not.
  const proto::Membership& membership() const {
    return memberships_.back().second;
  }
  // Index of the entry that brought that membership.
  uint64_t membership_index() const { return memberships_.back().first; }

 private:
  SnapshotMark snapshot_;
  std::deque<proto::LogEntry> entries_;
  // Of the entries' commands.
  uint64_t bytes_ = 0;
  std::vector<std::pair<uint64_t, proto::Membership>> memberships_;
};

}  // namespace sequoialb
