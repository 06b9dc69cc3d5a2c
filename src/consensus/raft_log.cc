#include "consensus/raft_log.h"

#include <algorithm>

#include "base/check.h"

namespace sequoialb {

RaftLog::RaftLog(SnapshotMark snapshot, std::vector<proto::LogEntry> entries)
    : snapshot_(std::move(snapshot)) {
  memberships_.emplace_back(snapshot_.index, snapshot_.membership);
  for (proto::LogEntry& entry : entries) {
    Append(std::move(entry));
  }
}

uint64_t RaftLog::TermAt(uint64_t index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > last_index()) {
    return 0;
  }
  return At(index).term();
}

const proto::LogEntry& RaftLog::At(uint64_t index) const {
  SEQ_CHECK(index >= first_index() && index <= last_index(),
            "log index " << index << " is outside " << first_index() << ".."
                         << last_index());
  return entries_[index - first_index()];
}

SnapshotMark RaftLog::MarkAt(uint64_t index) const {
  SnapshotMark mark{index, TermAt(index), {}};
  for (const auto& [from, membership] : memberships_) {
    if (from <= index) {
      mark.membership = membership;
    }
  }
  return mark;
}

void RaftLog::Append(proto::LogEntry entry) {
  SEQ_CHECK(entry.index() == last_index() + 1,
            "cannot append entry " << entry.index() << " after entry "
                                   << last_index());
  if (entry.has_membership()) {
    memberships_.emplace_back(entry.index(), entry.membership());
  }
  bytes_ += entry.command().size();
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(uint64_t index) {
  SEQ_CHECK(index > snapshot_.index,
            "cannot truncate the log from entry "
                << index << ": the snapshot covers entries up to "
                << snapshot_.index);
  while (last_index() >= index) {
    bytes_ -= entries_.back().command().size();
    entries_.pop_back();
  }
  while (memberships_.back().first >= index) {
    memberships_.pop_back();
  }
}

void RaftLog::CompactTo(uint64_t index) {
  if (index <= snapshot_.index) {
    return;
  }
  SEQ_CHECK(index <= last_index(), "cannot compact the log up to entry "
                                       << index << ": the last entry is "
                                       << last_index());
  snapshot_.term = TermAt(index);
  while (memberships_.size() > 1 && memberships_[1].first <= index) {
    memberships_.erase(memberships_.begin());
  }
  snapshot_.membership = memberships_.front().second;
  while (!entries_.empty() && entries_.front().index() <= index) {
    bytes_ -= entries_.front().command().size();
    entries_.pop_front();
  }
  snapshot_.index = index;
}

uint64_t RaftLog::CompactionIndexForSize(uint64_t max_bytes,
                                         uint64_t max_index) const {
  uint64_t index = snapshot_.index;
  uint64_t remaining_bytes = bytes_;
  while (remaining_bytes > max_bytes &&
         index < std::min(max_index, last_index())) {
    ++index;
    remaining_bytes -= At(index).command().size();
  }
  return index;
}

void RaftLog::Reset(SnapshotMark snapshot) {
  snapshot_ = std::move(snapshot);
  entries_.clear();
  bytes_ = 0;
  memberships_.clear();
  memberships_.emplace_back(snapshot_.index, snapshot_.membership);
}

}  // namespace sequoialb
