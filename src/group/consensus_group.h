// ConsensusGroup runs one member of a Raft group on one disk. It drives the
// state machine of raft.h, stores the log and snapshots, applies committed
// commands to the group's state, and lets the leader manage the membership.
//
// The control group (catalog, retired hosts) and each store group (batch jobs)
// are instances of it. All calls are made on the control thread. Disk writes
// are synchronous, with one sync for everything that arrived in one iteration
// of the loop. A leader whose disk stalls therefore stops sending heartbeats
// and is replaced; a leader that went on sending heartbeats would not be.
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

// Ends the process, after a delay, because a write has failed.
[[noreturn]] void EndProcessAfterDiskFailure();

struct GroupOptions {
  // "control" or "store"; identifies the group in messages, logs and metrics.
  std::string name;
  std::string host;
  std::string folder;
  // Addresses of the hosts that found the group together, stored on a disk that
  // is used for the first time. Empty if this host takes no part in it.
  std::vector<std::string> founding_seeds;
  size_t max_voters = 3;
  // Number of learners kept beyond the voters, ready to replace a voter. When
  // not set, all candidates become members.
  std::optional<size_t> standbys;
  // A snapshot is written, and the log on the disk truncated, once the log has
  // reached both this size in bytes and the size of the state.
  uint64_t snapshot_log_bytes = 8U << 20U;
  // Bytes of applied commands that are kept in memory for members that lag:
  // ten seconds of results at 50 items per second of 15 KB each. A member that
  // lags further receives a snapshot.
  uint64_t log_memory_bytes = 8U << 20U;
  // Writes snapshots on a separate thread.
  bool background_snapshots = true;
  // Returns the node name for a disk that is used for the first time. Tests
  // replace it to get sequential names.
  std::function<std::string(const std::string& host)> make_node_name =
      NewNodeName;
  // Called after a failed write; does not return. Tests replace it with a
  // function that throws.
  std::function<void()> end_process = EndProcessAfterDiskFailure;
};

class ConsensusGroup {
 public:
  using Send = std::function<void(const std::string& host,
                                  const proto::RaftMessage& message)>;
  using DoneCallback = std::function<void(Status)>;

  // Opens the group's folder. Fails with kCorrupt or kIo; the error names the
  // file.
  static Result<std::unique_ptr<ConsensusGroup>> Open(GroupOptions options,
                                                      FileSystem& files,
                                                      GroupState& state,
                                                      Metrics& metrics,
                                                      Send send, TimePoint now);

  // Bootstraps the group with its initial members. The disk must not have held
  // a group before. A process that ends meanwhile starts again either as a
  // member or with the founding still pending.
  void Bootstrap(const std::vector<std::string>& initial_members,
                 TimePoint now);
  // Returns the addresses with which the disk was first used while the founding
  // is pending: it holds neither initial members nor a term or a log. Otherwise
  // returns nothing.
  std::vector<std::string> PendingFoundingSeeds() const;
  bool is_member() const { return raft_->membership().voters_size() > 0; }

  void Receive(const proto::RaftMessage& message, TimePoint now);
  void Tick(TimePoint now);

  // Sends, persists and applies everything that resulted from the events since
  // the last call. New log entries are written with one sync.
  void Flush(TimePoint now);

  // Proposes a command. `done` is called with the command's result once it is
  // committed and applied, or with kNoQuorum when this node is not the leader
  // or when it is unknown whether the command will be committed.
  void Propose(const std::string& command, TimePoint now, DoneCallback done);

  // On the leader, proposes the next membership change, if one is needed, or
  // steps down when its own host is in `retiring` and another voter can lead.
  void MaintainMembership(
      const std::map<std::string, GroupCandidate>& candidates,
      const std::set<std::string>& retiring, TimePoint now);

  bool leads() const { return raft_->role() == RaftRole::kLeader; }
  uint64_t term() const { return raft_->term(); }
  // True while this node holds a valid leader lease and has applied everything
  // that is committed, so that no newer state can exist on another node.
  bool IsConfirmedLeader(TimePoint now) const;
  // On the leader, offers the leadership to an active voter that is not in
  // `avoid`. Returns false when there is none.
  bool StepDown(TimePoint now, const std::set<std::string>& avoid = {});
  std::string leader_host() const;
  const std::string& node() const { return node_; }
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
  Status LoadSnapshot(RaftPersistentState& persistent);
  void WriteIdentity();
  void SendAll(const std::vector<OutgoingRaftMessage>& messages);
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
  std::vector<std::string> founding_seeds_;
  bool fresh_disk_ = false;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<Raft> raft_;
  uint64_t applied_ = 0;
  uint64_t snapshot_index_ = 0;
  uint64_t log_bytes_ = 0;
  // Size of the log when the snapshot in progress was started; the finished
  // snapshot removes as many bytes from the log.
  uint64_t log_bytes_at_snapshot_ = 0;
  TimePoint snapshot_retry_at_;
  uint64_t state_bytes_ = 0;
  std::map<uint64_t, Pending> pending_;
  SnapshotWriter writer_;
  // Members that need a snapshot that has not been written yet.
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
