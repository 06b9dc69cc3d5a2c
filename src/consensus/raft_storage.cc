#include "consensus/raft_storage.h"

#include <algorithm>

#include "proto/storage.pb.h"

namespace sequoialb {
namespace {

constexpr uint64_t kSegmentBytes = 16U << 20U;

enum RecordKind : uint32_t {
  kEntryRecord = 1,
  kHardStateRecord = 2,
  kSnapshotMarkRecord = 3
};

// Rebuilds the persistent state from the journal's records, in their order.
class Replay {
 public:
  explicit Replay(RaftPersistentState& state) : state_(state) {}

  Status Apply(uint32_t kind, std::string_view payload) {
    switch (kind) {
      case kEntryRecord:
        return ApplyEntry(payload);
      case kHardStateRecord:
        return ApplyHardState(payload);
      case kSnapshotMarkRecord:
        return ApplyMark(payload);
      default:
        return Fail(ErrorCode::kCorrupt,
                    "journal record of unknown kind " + std::to_string(kind) +
                        "; the folder was written by a newer version");
    }
  }

  uint64_t last_entry_index() const { return last_entry_index_; }

 private:
  static Status UndecodableRecord() {
    return Fail(ErrorCode::kCorrupt,
                "journal record with a valid checksum cannot be decoded");
  }

  Status ApplyEntry(std::string_view payload) {
    proto::LogEntry entry;
    if (!entry.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
      return UndecodableRecord();
    }
    last_entry_index_ = entry.index();
    auto& entries = state_.entries;
    while (!entries.empty() && entries.back().index() >= entry.index()) {
      entries.pop_back();
    }
    if (entry.index() <= state_.snapshot.index) {
      return {};
    }
    // There may be a gap between the snapshot and the first entry of the oldest
    // remaining segment, which a later mark covers. Open checks this after all
    // records have been read.
    if (!entries.empty() && entry.index() != entries.back().index() + 1) {
      return Fail(ErrorCode::kCorrupt,
                  "journal entry " + std::to_string(entry.index()) +
                      " follows " + std::to_string(entries.back().index()));
    }
    entries.push_back(std::move(entry));
    return {};
  }

  Status ApplyHardState(std::string_view payload) {
    proto::HardStateRecord record;
    if (!record.ParseFromArray(payload.data(),
                               static_cast<int>(payload.size()))) {
      return UndecodableRecord();
    }
    state_.hard_state = HardState{record.term(), record.voted_for()};
    return {};
  }

  Status ApplyMark(std::string_view payload) {
    proto::SnapshotMarkRecord record;
    if (!record.ParseFromArray(payload.data(),
                               static_cast<int>(payload.size()))) {
      return UndecodableRecord();
    }
    state_.snapshot =
        SnapshotMark{record.index(), record.term(), record.membership()};
    auto& entries = state_.entries;
    if (record.reset()) {
      entries.clear();
    }
    const auto kept = std::find_if(
        entries.begin(), entries.end(),
        [&record](const auto& e) { return e.index() > record.index(); });
    entries.erase(entries.begin(), kept);
    return {};
  }

  RaftPersistentState& state_;
  uint64_t last_entry_index_ = 0;
};

}  // namespace

Result<std::unique_ptr<RaftStorage>> RaftStorage::Open(
    FileSystem& files, const std::string& folder, RaftPersistentState& state) {
  std::unique_ptr<RaftStorage> storage(new RaftStorage());
  Replay replay(state);
  auto journal = Journal::Open(
      files, folder,
      [&](uint64_t segment, uint32_t kind, std::string_view payload) {
        Status applied = replay.Apply(kind, payload);
        uint64_t& last = storage->segment_last_index_[segment];
        last = std::max(last, replay.last_entry_index());
        return applied;
      });
  if (!journal) {
    return tl::unexpected<Error>(journal.error());
  }
  // The first entry must directly follow the snapshot.
  if (!state.entries.empty() &&
      state.entries.front().index() != state.snapshot.index + 1) {
    return Fail(ErrorCode::kCorrupt,
                folder + ": the log begins at entry " +
                    std::to_string(state.entries.front().index()) +
                    " but its snapshot ends at " +
                    std::to_string(state.snapshot.index));
  }
  storage->journal_ = std::move(*journal);
  storage->hard_state_ = state.hard_state;
  storage->mark_ = state.snapshot;
  return storage;
}

Status RaftStorage::AppendHardState() {
  proto::HardStateRecord record;
  record.set_term(hard_state_.term);
  record.set_voted_for(hard_state_.voted_for);
  return journal_->Append(kHardStateRecord, record.SerializeAsString());
}

Status RaftStorage::AppendMark(const SnapshotMark& mark, bool reset) {
  proto::SnapshotMarkRecord record;
  record.set_index(mark.index);
  record.set_term(mark.term);
  *record.mutable_membership() = mark.membership;
  record.set_reset(reset);
  return journal_->Append(kSnapshotMarkRecord, record.SerializeAsString());
}

// Starts a segment with the hard state and the mark, so that removing earlier
// segments loses neither.
Status RaftStorage::StartSegment() {
  return journal_->StartSegment()
      .and_then([this] { return AppendHardState(); })
      .and_then([this] { return AppendMark(mark_, false); });
}

Status RaftStorage::Persist(const std::optional<HardState>& hard_state,
                            const std::vector<proto::LogEntry>& entries) {
  if (journal_->segment_bytes() > kSegmentBytes) {
    Status started = StartSegment();
    if (!started) {
      return started;
    }
  }
  if (hard_state) {
    hard_state_ = *hard_state;
    Status appended = AppendHardState();
    if (!appended) {
      return appended;
    }
  }
  for (const proto::LogEntry& entry : entries) {
    Status appended = journal_->Append(kEntryRecord, entry.SerializeAsString());
    if (!appended) {
      return appended;
    }
    uint64_t& last = segment_last_index_[journal_->segment()];
    last = std::max(last, entry.index());
  }
  return journal_->Sync();
}

Status RaftStorage::MarkSnapshot(const SnapshotMark& mark, bool reset) {
  mark_ = mark;
  Status marked = AppendMark(mark, reset)
                      .and_then([this] { return StartSegment(); })
                      .and_then([this] { return journal_->Sync(); });
  if (!marked) {
    return marked;
  }
  uint64_t first_needed = journal_->segment();
  for (const auto& [segment, last_index] : segment_last_index_) {
    if (!reset && last_index > mark.index) {
      first_needed = std::min(first_needed, segment);
    }
  }
  segment_last_index_.erase(segment_last_index_.begin(),
                            segment_last_index_.lower_bound(first_needed));
  return journal_->RemoveSegmentsBelow(first_needed);
}

}  // namespace sequoialb
