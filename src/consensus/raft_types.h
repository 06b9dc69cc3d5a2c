// The plain data that goes into and comes out of the agreement state machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// Returns whether a list of a membership names a node.
inline bool Contains(
    const google::protobuf::RepeatedPtrField<std::string>& names,
    const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Timing of the agreement. The election timeout is drawn from the given range
// for each round, so that two candidates rarely split the votes twice.
struct RaftOptions {
  milliseconds heartbeat_interval{75};
  milliseconds min_election_timeout{500};
  milliseconds max_election_timeout{900};
  // How much earlier than its followers' timeout a leader gives up its lease.
  milliseconds clock_margin{100};
  size_t max_append_bytes = 1U << 20U;
  size_t max_in_flight = 64;
  // Bytes of committed commands that are handed out at once; the driver takes
  // more until nothing is left.
  uint64_t max_committed_bytes = UINT64_MAX;
};

// What must be durable before a vote or a reply leaves the node.
struct HardState {
  uint64_t term = 0;
  std::string voted_for;
};

// The log's beginning: everything up to `index` is in a snapshot.
struct SnapshotMark {
  uint64_t index = 0;
  uint64_t term = 0;
  proto::Membership membership;
};

// What a node finds on its disk at start.
struct RaftPersistentState {
  HardState hard_state;
  SnapshotMark snapshot;
  std::vector<proto::LogEntry> entries;
};

struct OutgoingRaftMessage {
  std::string to;
  proto::RaftMessage message;
};

// What the driver has to do after handing events in. `entries` and `hard_state`
// are made durable together, then `after_persist` is sent and Persisted called.
struct RaftReady {
  std::optional<HardState> hard_state;
  std::vector<proto::LogEntry> entries;
  std::vector<OutgoingRaftMessage> messages;
  std::vector<OutgoingRaftMessage> after_persist;
  std::vector<proto::LogEntry> committed;
  // Nodes whose next entry was compacted away; they need a snapshot.
  std::vector<std::string> snapshot_wanted;

  bool needs_persist() const {
    return hard_state.has_value() || !entries.empty();
  }
};

enum class RaftRole : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

}  // namespace sequoialb
