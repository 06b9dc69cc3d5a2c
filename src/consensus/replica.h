// Replica runs this host's member of the Raft group that stores the replicated
// state. It performs the I/O that the Raft state machine requests, applies
// committed commands to the ledger, and answers proposals and queries. On the
// leader it also maintains session leases, views and the group's membership,
// reassigns the work of lost hosts, and expires old records.
//
// All methods run on the control thread. Disk writes run in order on a separate
// thread. Snapshots are written on another thread, so that a long snapshot does
// not delay commits.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/task_thread.h"
#include "batches/blob_service.h"
#include "consensus/group_formation.h"
#include "consensus/raft.h"
#include "consensus/raft_storage.h"
#include "consensus/replacement.h"
#include "consensus/snapshot_transfer.h"
#include "ledger/ledger.h"
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

  // Handles a message. Returns false if the message is not for a replica.
  bool OnEnvelope(const proto::Envelope& envelope, TimePoint now);
  void Tick(TimePoint now);

  // Sends the messages, queues the disk writes and applies the committed
  // commands that resulted from events since the last call.
  void Flush(TimePoint now);

  // Transfers the leadership to another voter before a graceful stop. Returns
  // false if this replica does not lead or there is no other voter.
  bool StepDown(TimePoint now);
  bool leads() const { return raft_->role() == RaftRole::kLeader; }
  // Returns the leader's host, or an empty string if no leader is known.
  std::string LeaderHost() const;

  const Ledger& ledger() const { return ledger_; }

 private:
  struct PendingProposal {
    std::string host;
    uint64_t request_id;
    uint64_t term;
  };
  // The sending time, on the host's clock, and config index of a heartbeat.
  struct ReportedConfig {
    uint64_t sent_at = 0;
    uint64_t index = 0;
  };

  Replica(const Settings& settings, FileSystem& files, PeerSender& sender,
          Metrics& metrics, Post post);
  Status OpenDisk(TimePoint now);
  Status LoadIdentity();
  void Bootstrap(const std::vector<std::string>& initial_members,
                 TimePoint now);
  bool has_membership() const { return raft_->membership().voters_size() > 0; }

  void OnRaftMessage(const proto::RaftMessage& message, TimePoint now);
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
  void SendAssignment(const std::string& item_id, const std::string& batch_id);
  void PushConfig();
  void SendRaft(const std::vector<OutgoingRaftMessage>& messages);

  void MaybeSnapshot(TimePoint now);
  void StartTransfers(const std::vector<std::string>& nodes, TimePoint now);
  void SendSnapshotChunks(TimePoint now);
  OutgoingRaftMessage MakeSnapshotReply(const proto::RaftMessage& chunk,
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
  // The sender and request id of each entry of `proposals_`.
  std::set<std::pair<std::string, uint64_t>> pending_requests_;
  std::set<uint64_t> own_proposals_;
  // What each host reported last. A change is sent as the difference to this,
  // not to what was sent since, which may be lost.
  std::map<std::string, ReportedConfig> reported_configs_;
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

  // Declared last, so that they are destroyed before the members that their
  // tasks use.
  std::unique_ptr<TaskThread> disk_;
  std::unique_ptr<TaskThread> snapshots_;
};

}  // namespace sequoialb
