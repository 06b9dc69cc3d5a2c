// One agreement group on one disk: drives the state machine of raft.h, keeps
// its log and snapshots, applies what is committed to the group's state, and
// keeps its own membership.
//
// The control group (catalog, retired hosts) and each store group (batch jobs)
// are such groups. Belongs to the control thread. Writes are synchronous, all
// that arrived in one turn in one sync: a leader whose disk stalls falls silent
// and is replaced, which a leader that went on sending heartbeats would not be.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "consensus/group_formation.h"
#include "consensus/raft.h"
#include "consensus/raft_storage.h"
#include "consensus/snapshot_transfer.h"
#include "group/group_state.h"
#include "group/membership_planner.h"
#include "group/snapshot_writer.h"
#include "observe/metrics.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

struct GroupOptions {
  // "control" or "store"; names the group in messages, logs and metrics.
  std::string name;
  std::string host;
  std::string folder;
  size_t max_voters = 3;
  // Members beyond the voters, ready to stand in for one; all candidates when
  // not set.
  std::optional<size_t> standbys;
  // The log on the disk is cut by a snapshot once it is larger than this and
  // than the state, in bytes.
  uint64_t snapshot_log_bytes = 8U << 20U;
  // Bytes of applied commands that stay in memory for members that lag: ten
  // seconds of results at 50 items a second of 15 KB. One that lags further
  // gets a snapshot.
  uint64_t log_memory_bytes = 8U << 20U;
  // Snapshots are written by a thread of their own.
  bool background_snapshots = true;
  // Names a disk that is used for the first time; tests name theirs in turn.
  std::function<std::string(const std::string& host)> make_node_name =
      NewNodeName;
};

class ConsensusGroup {
 public:
  using Send = std::function<void(const std::string& host,
                                  const proto::RaftMessage& message)>;
  using DoneCallback = std::function<void(Status)>;

  // Opens the group's folder; fails with kCorrupt or kIo, naming the file.
  static Result<std::unique_ptr<ConsensusGroup>> Open(GroupOptions options,
                                                      FileSystem& files,
                                                      GroupState& state,
                                                      Metrics& metrics,
                                                      Send send, TimePoint now);

  // Founds the group, on a disk that never held one.
  void Bootstrap(const std::vector<std::string>& initial_members,
                 TimePoint now);
  bool is_member() const { return raft_->membership().voters_size() > 0; }

  void Receive(const proto::RaftMessage& message, TimePoint now);
  void Tick(TimePoint now);

  // Carries out what the events since the last call led to: one sync.
  void Flush(TimePoint now);

  // Proposes a command; `outcome` runs once it is committed and applied, or
  // with kNoQuorum when whether it will be is unknown.
  void Propose(const std::string& command, TimePoint now, DoneCallback done);

  // Lets a leader keep the membership in order.
  void MaintainMembership(
      const std::map<std::string, GroupCandidate>& candidates,
      const std::set<std::string>& retiring, TimePoint now);

  bool leads() const { return raft_->role() == RaftRole::kLeader; }
  // True while nothing newer than this node's state can have been committed.
  bool IsConfirmedLeader(TimePoint now) const;
  bool StepDown(TimePoint now) { return raft_->TransferLeadership(now); }
  std::string leader_host() const;
  const std::string& node() const { return node_; }
  bool fresh_disk() const { return fresh_disk_; }
  proto::GroupStatus status() const;

 private:
  struct Pending {
    uint64_t term = 0;
    DoneCallback done;
  };

  ConsensusGroup(GroupOptions options, FileSystem& files, GroupState& state,
                 Metrics& metrics, Send send);
  Status OpenDisk(TimePoint now);
  Status LoadIdentity();
  Status LoadSnapshot(RaftPersistent& persistent);
  void WriteIdentity();
  void SendAll(const std::vector<OutgoingRaft>& messages);
  void Apply(const std::vector<proto::LogEntry>& entries);
  void FailPendingProposals();
  void HandleRoleChange(TimePoint now);
  void SetGauges();
  void MaybeSnapshot(TimePoint now);
  void FinishSnapshot(TimePoint now);
  void StartTransfers(const std::vector<std::string>& nodes, TimePoint now);
  void SendChunks(TimePoint now);
  void OnChunk(const proto::RaftMessage& message, TimePoint now);
  void OnChunkReply(const proto::RaftMessage& message, TimePoint now);
  void Install(const proto::RaftMessage& message, const std::string& data,
               TimePoint now);
  std::string SnapshotPath(uint64_t index) const;
  [[noreturn]] void DiskFailed(const Error& error) const;

  GroupOptions options_;
  FileSystem& files_;
  GroupState& state_;
  Send send_;
  std::string node_;
  std::vector<std::string> initial_members_;
  bool fresh_disk_ = false;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<Raft> raft_;
  uint64_t applied_ = 0;
  uint64_t snapshot_index_ = 0;
  uint64_t log_bytes_ = 0;
  // What the snapshot that is being written will cut.
  uint64_t log_bytes_at_snapshot_ = 0;
  TimePoint snapshot_retry_at_;
  uint64_t state_bytes_ = 0;
  std::map<uint64_t, Pending> pending_;
  SnapshotWriter writer_;
  // Members that wait for a snapshot that is not written yet.
  std::set<std::string> awaiting_snapshot_;
  SnapshotSender sender_;
  SnapshotReceiver receiver_;
  RaftRole last_role_ = RaftRole::kFollower;
  uint64_t last_term_ = 0;
  std::string last_leader_;
  TimePoint leads_since_;
  Counter& committed_;
  Gauge& voters_;
  Gauge& learners_;
  Gauge& leading_;
  LatencyHistogram& sync_latency_;
};

}  // namespace sequoialb
