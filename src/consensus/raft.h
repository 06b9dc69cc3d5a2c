// The Raft consensus algorithm as a deterministic state machine: it replicates
// one log among the members of a group.
//
// It follows the published description of Raft, with these extensions:
//
// - pre-vote: a node that was isolated for long does not disrupt the group when
//   it rejoins;
// - quorum check: an isolated leader steps down by itself;
// - leader lease: reads and session leases need no extra round of messages;
// - learners, and membership changes of one voter at a time: a host that lost
//   its disk rejoins under a new node name and votes only after it has caught
//   up.
//
// The class does no I/O, reads no clock and starts no threads. The driver (the
// code that owns a Raft object) passes in events with the current time and then
// executes what TakeReady returns:
//
//   raft.Receive(message, now);
//   RaftReady ready = raft.TakeReady();
//   send(ready.messages);
//   make_durable(ready.hard_state, ready.entries);   // in order; may be async
//   send(ready.after_persist);
//   raft.Persisted(index, term, now);
//   apply(ready.committed);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/error.h"
#include "consensus/raft_log.h"
#include "consensus/raft_types.h"

namespace sequoialb {

class Raft {
 public:
  Raft(std::string node, RaftOptions options, RaftPersistentState persistent,
       TimePoint now, uint64_t seed);

  // Processes expired timers. After a pause of the process, call this before
  // passing in any event, so that a leader whose lease expired during the pause
  // steps down before it acts.
  void Tick(TimePoint now);

  // Handles a message from another node.
  void Receive(const proto::RaftMessage& message, TimePoint now);

  // Appends a command and returns its index. Fails with kNoQuorum on a node
  // that is not the leader.
  Result<uint64_t> Propose(std::string command, TimePoint now);

  // Proposes a new membership. Fails while an earlier change is not committed,
  // or when more than one voter would change.
  Result<uint64_t> ProposeMembership(proto::Membership membership,
                                     TimePoint now);

  // Called by the driver when the log is durable up to an entry.
  void Persisted(uint64_t index, uint64_t term, TimePoint now);

  // Called by the driver when `node` has received the snapshot that ends at
  // `index`.
  void SnapshotDelivered(const std::string& node, uint64_t index);

  // Drops the log entries up to `index`, which a local snapshot covers.
  void CompactTo(uint64_t index);

  // Drops the oldest applied entries until the log in memory holds at most
  // `max_bytes` of commands.
  void LimitLogSize(uint64_t max_bytes);

  // Replaces the log by a snapshot that was received from the leader and is
  // durable. Returns false when the snapshot is not newer than the commit
  // index.
  bool InstallSnapshot(SnapshotMark snapshot, TimePoint now);

  // Transfers leadership to the active voter with the highest match index that
  // is not in `avoid`, for a graceful stop. Returns false when this node is not
  // the leader or has no such voter; it then goes on leading. A transfer that
  // has not ended after an election timeout ends the leadership, so that the
  // voters elect a leader by themselves.
  bool TransferLeadership(TimePoint now,
                          const std::set<std::string>& avoid = {});

  // Returns the work that the events so far have produced, and clears it.
  RaftReady TakeReady();

  // True while this leader holds its lease: no other node can have been
  // elected, so this node's committed state is current.
  bool LeaseValid(TimePoint now) const;

  RaftRole role() const { return role_; }
  uint64_t term() const { return hard_state_.term; }
  // The leader of the current term, or empty when it is not known.
  const std::string& leader() const { return leader_; }
  const std::string& node() const { return node_; }
  uint64_t commit_index() const { return commit_; }
  uint64_t first_index() const { return log_.first_index(); }
  uint64_t last_index() const { return log_.last_index(); }
  const SnapshotMark& snapshot() const { return log_.snapshot(); }
  // Returns the mark for a snapshot that covers the log up to `index`, which
  // must be an applied entry.
  SnapshotMark MarkAt(uint64_t index) const { return log_.MarkAt(index); }
  const proto::Membership& membership() const { return log_.membership(); }
  // True when the newest membership in the log is committed.
  bool membership_committed() const {
    return log_.membership_index() <= commit_;
  }
  // On the leader, the last entry that `node` is known to store; 0 when it is
  // not known.
  uint64_t MatchIndex(const std::string& node) const;

  // On the leader, when `node` last replied to it; TimePoint() when it has not
  // replied since the node became a member or this leadership began.
  TimePoint LastReply(const std::string& node) const;

  // On the leader, true when `node` has answered one of the last few
  // heartbeats.
  bool IsActive(const std::string& node) const;

 private:
  // How the leader replicates to a node: one append request at a time until the
  // node's log position is known, then pipelined, or by snapshot.
  enum class ProgressState : uint8_t { kProbe, kReplicate, kSnapshot };

  // The leader's view of another node.
  struct Progress {
    uint64_t match = 0;  // Last entry that the node is known to store.
    uint64_t next = 1;   // Next entry to send.
    ProgressState state = ProgressState::kProbe;
    bool probe_sent = false;
    size_t in_flight = 0;      // Append requests without a reply.
    uint64_t acked_round = 0;  // Newest heartbeat round it has answered.
    TimePoint last_reply;
  };

  // A heartbeat round that a quorum has not answered yet.
  struct Round {
    uint64_t number;
    TimePoint sent_at;
  };

  bool IsVoter(const std::string& node) const;
  size_t QuorumSize() const;
  std::vector<std::string> OtherMembers() const;

  void BecomeFollower(uint64_t term, const std::string& leader, TimePoint now);
  void StartElection(bool pre_vote, bool transfer, TimePoint now);
  void BecomeLeader(TimePoint now);
  void ResetElectionDeadline(TimePoint now);
  void SetTerm(uint64_t term);

  void OnVoteRequest(const std::string& from, const proto::VoteRequest& request,
                     TimePoint now);
  void OnVoteReply(const std::string& from, const proto::VoteReply& reply,
                   TimePoint now);
  void OnAppendRequest(const std::string& from,
                       const proto::AppendRequest& request, TimePoint now);
  void OnAppendReply(const std::string& from, const proto::AppendReply& reply,
                     TimePoint now);
  void OnTimeoutNow(const proto::TimeoutNow& message, TimePoint now);

  bool AppendFrom(const proto::AppendRequest& request);
  uint64_t RejectHint(const proto::AppendRequest& request) const;
  void AppendLocal(proto::LogEntry entry);
  void SyncProgressWithMembership();
  void BroadcastAppend(TimePoint now, bool heartbeat);
  void SendAppends(const std::string& to, Progress& progress, bool heartbeat);
  size_t FillAppend(proto::AppendRequest& request, uint64_t next) const;
  void AdvanceCommit();
  void CommitTo(uint64_t index);
  void ConfirmRounds();
  void Send(const std::string& to, proto::RaftMessage message);
  void SendAfterPersist(const std::string& to, proto::RaftMessage message);

  const std::string node_;
  const RaftOptions options_;
  std::mt19937_64 random_;

  HardState hard_state_;
  RaftLog log_;
  uint64_t commit_ = 0;
  // The last committed entry that TakeReady has returned to be applied.
  uint64_t applying_index_ = 0;
  // The last entry that is durable on this node.
  uint64_t persisted_ = 0;

  RaftRole role_ = RaftRole::kFollower;
  std::string leader_;
  TimePoint election_deadline_;
  TimePoint heartbeat_due_;
  // Until this time the node rejects vote requests, because another leader
  // elected with its vote could overlap with the current leader's lease.
  TimePoint reject_votes_until_;

  std::set<std::string> votes_;
  // When a transfer of the leadership counts as failed. Set on a leader that
  // has offered its leadership to another voter.
  std::optional<TimePoint> transfer_deadline_;

  std::map<std::string, Progress> progress_;
  // Number of the newest heartbeat round.
  uint64_t round_ = 0;
  std::deque<Round> rounds_;
  // When the newest round that a quorum has answered was sent.
  TimePoint quorum_confirmed_at_;
  // Index of the first entry of the leader's own term.
  uint64_t term_start_index_ = 0;

  RaftReady ready_;
};

}  // namespace sequoialb
