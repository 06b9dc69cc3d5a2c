// Drives the agreement on a host that keeps the replicated state: carries out
// what the state machine asks for, applies committed commands to the ledger,
// answers proposals and queries, and does the leader's regular duties (session
// leases, views, take-over of lost hosts' work, expiry, membership).
//
// All methods run on the control thread. Disk writes run on a thread of their
// own, in order; snapshots on another, so that a long one delays no commit.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/task_thread.h"
#include "consensus/group_formation.h"
#include "consensus/raft.h"
#include "consensus/raft_storage.h"
#include "consensus/replacement.h"
#include "consensus/snapshot_transfer.h"
#include "ledger/ledger.h"
#include "lots/blob_service.h"
#include "membership/session_table.h"
#include "observe/metrics.h"
#include "peer/peer_sender.h"
#include "settings/settings.h"

namespace sequoialb {

class Replica {
 public:
  using Post = std::function<void(std::function<void()>)>;

  // Opens the host's disk; fails with kCorrupt or kIo, naming file and offset.
  static Result<std::unique_ptr<Replica>> Open(const Settings& settings,
                                               FileSystem& files,
                                               PeerSender& sender,
                                               Metrics& metrics, Post post,
                                               TimePoint now);
  ~Replica();

  // Returns false for a message that is not this driver's.
  bool OnEnvelope(const proto::Envelope& envelope, TimePoint now);
  void Tick(TimePoint now);

  // Carries out what the events since the last call led to.
  void Flush(TimePoint now);

  // Hands the leadership over before a graceful stop.
  bool StepDown(TimePoint now);
  bool leads() const { return raft_->role() == RaftRole::kLeader; }
  // The leader's host, or empty.
  std::string LeaderHost() const;

  const Ledger& ledger() const { return ledger_; }

 private:
  struct PendingProposal {
    std::string host;
    uint64_t request_id;
    uint64_t term;
  };

  Replica(const Settings& settings, FileSystem& files, PeerSender& sender,
          Metrics& metrics, Post post);
  Status OpenDisk(TimePoint now);
  Status LoadIdentity();
  void Bootstrap(const std::vector<std::string>& initial_members,
                 TimePoint now);
  bool has_membership() const { return raft_->membership().voters_size() > 0; }

  void OnRaft(const proto::RaftMessage& message, TimePoint now);
  void OnGroupHello(const std::string& from, const proto::GroupHello& hello,
                    TimePoint now);
  void OnPropose(const std::string& from, const proto::Propose& propose,
                 TimePoint now);
  void OnQuery(const std::string& from, const proto::Query& query,
               TimePoint now);
  void OnHeartbeat(const std::string& from,
                   const proto::HostHeartbeat& heartbeat, TimePoint now);

  void AnswerQuery(const proto::Query& query, proto::QueryReply& reply,
                   TimePoint now);
  void FillReplicaStatus(proto::ReplicaStatus& status) const;
  Status ReplaceReplica(const std::string& lost_host,
                        const std::string& replacement_host, TimePoint now);

  void AdvanceFormation(TimePoint now);
  void SendGroupHello(const std::vector<std::string>& hosts);
  void HandleRoleChange(TimePoint now);
  void RunLeaderTasks(TimePoint now);
  void MaintainView(TimePoint now);
  std::optional<std::string> CaughtUpLearner() const;
  void MaintainMembership(TimePoint now);
  void TakeOverLostWork(TimePoint now);
  void ExpireOldRecords(TimePoint now);
  void ResendAssignments(TimePoint now);
  void ProposeOwn(const proto::Command& command, TimePoint now);
  bool OwnProposalPending() const;

  void Persist(RaftReady& ready);
  void ApplyCommitted(const std::vector<proto::LogEntry>& entries,
                      TimePoint now);
  void AnswerProposal(const proto::LogEntry& entry,
                      const proto::CommandResult& result);
  void NotifyOwners(const proto::Command& command);
  void SendAssignment(const std::string& item_id, const std::string& lot_id);
  void PushConfig();
  void SendRaft(const std::vector<OutgoingRaft>& messages);

  void MaybeSnapshot(TimePoint now);
  void StartTransfers(const std::vector<std::string>& nodes, TimePoint now);
  void SendSnapshotChunks(TimePoint now);
  OutgoingRaft MakeSnapshotReply(const proto::RaftMessage& chunk,
                                 uint64_t next_offset) const;
  void OnSnapshotChunk(const proto::RaftMessage& message, TimePoint now);
  void OnSnapshotReply(const proto::RaftMessage& message, TimePoint now);
  void InstallReceived(const proto::RaftMessage& message,
                       const std::string& data, TimePoint now);
  [[noreturn]] static void DiskFailed(const Error& error);

  const Settings& settings_;
  FileSystem& files_;
  PeerSender& sender_;
  Post post_;
  std::string folder_;
  std::vector<std::string> replica_hosts_;

  std::string node_;
  std::vector<std::string> initial_members_;
  std::unique_ptr<GroupFormation> formation_;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<Raft> raft_;
  Ledger ledger_;
  SessionTable sessions_{SessionOptions{}};

  std::map<uint64_t, PendingProposal> proposals_;
  std::set<std::pair<std::string, uint64_t>> pending_requests_;
  std::set<uint64_t> own_proposals_;
  std::map<std::string, uint64_t> host_config_index_;
  std::map<std::string, BlobsMissing> host_blobs_;
  Replacements::NewNodes new_nodes_;
  Replacements replacements_;

  RaftRole last_role_ = RaftRole::kFollower;
  uint64_t last_term_ = 0;
  bool config_changed_ = false;
  bool snapshot_running_ = false;
  uint64_t snapshot_index_ = 0;
  SnapshotSender snapshot_sender_;
  SnapshotReceiver snapshot_receiver_;
  TimePoint hello_due_;
  TimePoint expiry_due_;
  TimePoint resend_due_;

  Counter& committed_;
  LatencyHistogram& persist_latency_;

  // Last, so that they end before what their tasks use.
  std::unique_ptr<TaskThread> disk_;
  std::unique_ptr<TaskThread> snapshots_;
};

}  // namespace sequoialb
