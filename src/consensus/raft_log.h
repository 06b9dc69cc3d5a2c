// The in-memory part of the Raft log: the entries after the last snapshot, and
// the membership in effect at each of them.
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

  // Returns the term of an entry, or 0 when the log does not hold it.
  uint64_t TermAt(uint64_t index) const;
  const proto::LogEntry& At(uint64_t index) const;

  // Returns the index, the term and the membership in effect at an entry.
  SnapshotMark MarkAt(uint64_t index) const;

  // Appends an entry, whose index must follow the last one.
  void Append(proto::LogEntry entry);

  // Removes `index` and all later entries.
  void TruncateFrom(uint64_t index);

  // Removes the entries up to `index`, which a snapshot covers.
  void CompactTo(uint64_t index);

  // Returns the index up to which the log must be compacted to hold at most
  // `max_bytes` of commands, but no index beyond `max_index`.
  uint64_t CompactionIndexForSize(uint64_t max_bytes, uint64_t max_index) const;

  // Discards all entries and starts after a snapshot received from the leader.
  void Reset(SnapshotMark snapshot);

  // The newest membership in the log, committed or not.
  const proto::Membership& membership() const {
    return memberships_.back().second;
  }
  // Index of the entry that set that membership.
  uint64_t membership_index() const { return memberships_.back().first; }

 private:
  SnapshotMark snapshot_;
  std::deque<proto::LogEntry> entries_;
  // Total size of the entries' commands.
  uint64_t bytes_ = 0;
  // Index of each membership entry, with the membership that it set. The first
  // is the membership of the snapshot.
  std::vector<std::pair<uint64_t, proto::Membership>> memberships_;
};

}  // namespace sequoialb
