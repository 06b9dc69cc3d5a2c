// Agreement on one log among the replicas, as a pure state machine.
//
// This is Raft, written from its published description, with the parts that
// long isolation and lost disks call for: a pre-vote round, so that a node
// coming back from isolation does not disturb the group; a quorum check, so
// that an isolated leader steps down by itself; a leader lease, by which reads
// and session leases need no extra round; learners and membership changes of
// one node at a time, by which a host without its disk returns under a new
// name and votes only once it has caught up.
//
// The state machine knows no sockets, disks, clocks or threads. The driver
// hands in events with the present instant and carries out what TakeReady
// returns:
//
//   raft.Receive(message, now);
//   RaftReady ready = raft.TakeReady();
//   send(ready.messages);
//   make_durable(ready.hard_state, ready.entries);   // elsewhere, in order
//   send(ready.after_persist);
//   raft.Persisted(index, term, now);
//   apply(ready.committed);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
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

  // Lets timers run out. Call before handing in anything that arrived after a
  // pause, so that a thawed leader steps down before it acts.
  void Tick(TimePoint now);

  // Takes a message of another node.
  void Receive(const proto::RaftMessage& message, TimePoint now);

  // Appends a command and returns its index; fails with kNoQuorum on a node
  // that does not lead.
  Result<uint64_t> Propose(std::string command, TimePoint now);

  // Proposes a change of membership; one at a time.
  Result<uint64_t> ProposeMembership(proto::Membership membership,
                                     TimePoint now);

  // Says that the log is durable up to an entry.
  void Persisted(uint64_t index, uint64_t term, TimePoint now);

  // Says that a snapshot up to `index` reached a node.
  void SnapshotDelivered(const std::string& node, uint64_t index);

  // Drops log entries that a local snapshot now covers.
  void CompactTo(uint64_t index);

  // Drops the oldest applied entries while the log in memory holds more than
  // `bytes` of commands.
  void LimitLogSize(uint64_t max_bytes);

  // Replaces the log by a durable snapshot of the leader. Returns false when it
  // is older than what is already committed.
  bool InstallSnapshot(SnapshotMark snapshot, TimePoint now);

  // Hands the leadership to the voter that is furthest, for a graceful stop.
  // Returns false when there is none.
  bool TransferLeadership(TimePoint now);

  RaftReady TakeReady();

  // True while no other node can have been elected: what this leader has
  // committed is the newest there is.
  bool LeaseValid(TimePoint now) const;

  RaftRole role() const { return role_; }
  uint64_t term() const { return hard_state_.term; }
  // The node that leads the present term, or empty.
  const std::string& leader() const { return leader_; }
  const std::string& node() const { return node_; }
  uint64_t commit_index() const { return commit_; }
  uint64_t first_index() const { return log_.first_index(); }
  uint64_t last_index() const { return log_.last_index(); }
  const SnapshotMark& snapshot() const { return log_.snapshot(); }
  // Returns the mark of a snapshot that covers the log up to an applied entry.
  SnapshotMark MarkAt(uint64_t index) const { return log_.MarkAt(index); }
  const proto::Membership& membership() const { return log_.membership(); }
  // True when the newest membership is committed.
  bool membership_settled() const { return log_.membership_index() <= commit_; }
  // The last entry that a node is known to hold; for leaders.
  uint64_t MatchIndex(const std::string& node) const;

  // A leader has had an answer of the node within the last few heartbeats.
  bool IsActive(const std::string& node) const;

 private:
  enum class ProgressState : uint8_t { kProbe, kReplicate, kSnapshot };

  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    ProgressState state = ProgressState::kProbe;
    bool probe_sent = false;
    size_t in_flight = 0;
    uint64_t acked_round = 0;
  };

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
  uint64_t applying_index_ = 0;
  uint64_t persisted_ = 0;

  RaftRole role_ = RaftRole::kFollower;
  std::string leader_;
  TimePoint election_deadline_;
  TimePoint heartbeat_due_;
  // Until then a vote for another node could break the leader's lease.
  TimePoint reject_votes_until_;

  std::set<std::string> votes_;
  bool transferring_ = false;

  std::map<std::string, Progress> progress_;
  uint64_t round_ = 0;
  std::deque<Round> rounds_;
  TimePoint quorum_confirmed_at_;
  uint64_t term_start_index_ = 0;

  RaftReady ready_;
};

}  // namespace sequoialb
