// Data types of the Raft state machine: its options, its persistent state and
// its output to the driver.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// Returns whether a list of node names, such as the voters, contains a node.
inline bool Contains(
    const google::protobuf::RepeatedPtrField<std::string>& names,
    const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Timing and limits of a Raft node. Each election timeout is drawn at random
// from the given range, so that two candidates rarely split the votes twice in
// a row.
struct RaftOptions {
  milliseconds heartbeat_interval{75};
  milliseconds min_election_timeout{500};
  milliseconds max_election_timeout{900};
  // The leader's lease ends this much earlier than the minimum election timeout
  // of its followers, to allow for clocks that run at different rates.
  milliseconds clock_margin{100};
  size_t max_append_bytes = 1U << 20U;
  size_t max_in_flight = 64;
  // Limit on the bytes of committed commands that one TakeReady returns; the
  // driver calls it again until nothing is left.
  uint64_t max_committed_bytes = UINT64_MAX;
};

// The term and vote, which must be durable before the node sends a vote or a
// reply that depends on them.
struct HardState {
  uint64_t term = 0;
  std::string voted_for;
};

// The position of a snapshot in the log and the membership at that point. The
// snapshot covers all entries up to and including `index`.
struct SnapshotMark {
  uint64_t index = 0;
  uint64_t term = 0;
  proto::Membership membership;
};

// The state that a node reads from its disk at start.
struct RaftPersistentState {
  HardState hard_state;
  SnapshotMark snapshot;
  std::vector<proto::LogEntry> entries;
};

// A message with the name of the node to send it to.
struct OutgoingRaftMessage {
  std::string to;
  proto::RaftMessage message;
};

// What the driver has to do after it has passed in events. It sends `messages`
// at once. It makes `entries` and `hard_state` durable together, then sends
// `after_persist` and calls Raft::Persisted. It applies `committed`.
struct RaftReady {
  std::optional<HardState> hard_state;
  std::vector<proto::LogEntry> entries;
  std::vector<OutgoingRaftMessage> messages;
  std::vector<OutgoingRaftMessage> after_persist;
  std::vector<proto::LogEntry> committed;
  // Nodes that need a snapshot, because the log no longer holds their next
  // entry.
  std::vector<std::string> nodes_needing_snapshot;

  bool needs_persist() const {
    return hard_state.has_value() || !entries.empty();
  }
};

enum class RaftRole : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

}  // namespace sequoialb
