#include "consensus/raft.h"

#include <algorithm>
#include <functional>

#include "base/check.h"

namespace sequoialb {
namespace {

// A node counts as active unless it has missed more heartbeats than this.
constexpr uint64_t kMaxUnansweredRounds = 5;

}  // namespace

Raft::Raft(std::string node, RaftOptions options,
           RaftPersistentState persistent, TimePoint now, uint64_t seed)
    : node_(std::move(node)),
      options_(options),
      random_(seed),
      hard_state_(persistent.hard_state),
      log_(persistent.snapshot, std::move(persistent.entries)),
      commit_(persistent.snapshot.index),
      applying_index_(persistent.snapshot.index),
      persisted_(log_.last_index()) {
  // Before its restart, this node may have acknowledged a heartbeat of a leader
  // whose lease has not expired. It therefore rejects vote requests as if it
  // had just received a heartbeat.
  reject_votes_until_ = now + options_.min_election_timeout;
  quorum_confirmed_at_ = now;
  heartbeat_due_ = now;
  ResetElectionDeadline(now);
}

bool Raft::IsVoter(const std::string& node) const {
  return Contains(log_.membership().voters(), node);
}

size_t Raft::QuorumSize() const {
  return static_cast<size_t>(log_.membership().voters_size()) / 2 + 1;
}

std::vector<std::string> Raft::OtherMembers() const {
  std::vector<std::string> nodes;
  for (const auto* names :
       {&log_.membership().voters(), &log_.membership().learners()}) {
    for (const std::string& name : *names) {
      if (name != node_) {
        nodes.push_back(name);
      }
    }
  }
  return nodes;
}

void Raft::ResetElectionDeadline(TimePoint now) {
  std::uniform_int_distribution<int64_t> draw(
      options_.min_election_timeout.count(),
      options_.max_election_timeout.count());
  election_deadline_ = now + milliseconds(draw(random_));
}

void Raft::SetTerm(uint64_t term) {
  SEQ_CHECK(term > hard_state_.term,
            "new term " << term << " is not above the current term "
                        << hard_state_.term);
  hard_state_ = HardState{term, ""};
  ready_.hard_state = hard_state_;
}

void Raft::BecomeFollower(uint64_t term, const std::string& leader,
                          TimePoint now) {
  if (term > hard_state_.term) {
    SetTerm(term);
  }
  role_ = RaftRole::kFollower;
  leader_ = leader;
  transfer_deadline_.reset();
  progress_.clear();
  rounds_.clear();
  ResetElectionDeadline(now);
}

void Raft::Tick(TimePoint now) {
  if (role_ == RaftRole::kLeader) {
    // The other voter may still act on the offer, so the lease must not be used
    // again in this term. Without a leader the voters begin a new one, in which
    // the offer is void.
    const bool transfer_failed =
        transfer_deadline_ && now >= *transfer_deadline_;
    if (transfer_failed ||
        now >= quorum_confirmed_at_ + options_.max_election_timeout) {
      BecomeFollower(hard_state_.term, "", now);
      return;
    }
    if (now >= heartbeat_due_) {
      BroadcastAppend(now, true);
    }
    return;
  }
  if (now >= election_deadline_) {
    ResetElectionDeadline(now);
    if (IsVoter(node_)) {
      StartElection(true, false, now);
    }
  }
}

void Raft::StartElection(bool pre_vote, bool transfer, TimePoint now) {
  role_ = pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  leader_.clear();
  votes_ = {node_};
  if (!pre_vote) {
    SetTerm(hard_state_.term + 1);
    hard_state_.voted_for = node_;
    ready_.hard_state = hard_state_;
  }
  if (votes_.size() >= QuorumSize()) {
    if (pre_vote) {
      StartElection(false, false, now);
    } else {
      BecomeLeader(now);
    }
    return;
  }
  proto::RaftMessage message;
  proto::VoteRequest& request = *message.mutable_vote_request();
  request.set_term(pre_vote ? hard_state_.term + 1 : hard_state_.term);
  request.set_last_index(log_.last_index());
  request.set_last_term(log_.last_term());
  request.set_pre_vote(pre_vote);
  request.set_transfer(transfer);
  for (const std::string& voter : log_.membership().voters()) {
    if (voter == node_) {
      continue;
    }
    // The candidate's vote for itself must be durable before it requests the
    // votes of others. A pre-vote has no vote to persist.
    if (pre_vote) {
      Send(voter, message);
    } else {
      SendAfterPersist(voter, message);
    }
  }
}

void Raft::BecomeLeader(TimePoint now) {
  role_ = RaftRole::kLeader;
  leader_ = node_;
  transfer_deadline_.reset();
  progress_.clear();
  rounds_.clear();
  quorum_confirmed_at_ = now;
  term_start_index_ = log_.last_index() + 1;
  // Append an empty entry of the new term: entries of earlier terms are
  // committed only together with an entry of the current term.
  proto::LogEntry entry;
  entry.set_index(term_start_index_);
  entry.set_term(hard_state_.term);
  AppendLocal(std::move(entry));
  SyncProgressWithMembership();
  // The lease starts with the first heartbeat round that a quorum answers, not
  // with the election.
  quorum_confirmed_at_ = now - options_.min_election_timeout;
  BroadcastAppend(now, true);
}

void Raft::AppendLocal(proto::LogEntry entry) {
  ready_.entries.push_back(entry);
  log_.Append(std::move(entry));
}

void Raft::SyncProgressWithMembership() {
  const std::vector<std::string> others = OtherMembers();
  for (const std::string& node : others) {
    auto [entry, added] = progress_.try_emplace(node);
    if (added) {
      entry->second.next = log_.last_index();
    }
  }
  for (auto entry = progress_.begin(); entry != progress_.end();) {
    const bool kept =
        std::find(others.begin(), others.end(), entry->first) != others.end();
    entry = kept ? std::next(entry) : progress_.erase(entry);
  }
}

Result<uint64_t> Raft::Propose(std::string command, TimePoint now) {
  if (role_ != RaftRole::kLeader || transfer_deadline_) {
    return Fail(ErrorCode::kNoQuorum, "this node does not lead the group");
  }
  (void)now;
  proto::LogEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(hard_state_.term);
  entry.set_command(std::move(command));
  const uint64_t index = entry.index();
  AppendLocal(std::move(entry));
  return index;
}

Result<uint64_t> Raft::ProposeMembership(proto::Membership membership,
                                         TimePoint now) {
  if (role_ != RaftRole::kLeader || transfer_deadline_) {
    return Fail(ErrorCode::kNoQuorum, "this node does not lead the group");
  }
  if (!membership_committed() || commit_ < term_start_index_) {
    return Fail(ErrorCode::kConflict,
                "an earlier membership change is still in progress");
  }
  size_t changed = 0;
  for (const std::string& voter : membership.voters()) {
    changed += Contains(log_.membership().voters(), voter) ? 0 : 1;
  }
  for (const std::string& voter : log_.membership().voters()) {
    changed += Contains(membership.voters(), voter) ? 0 : 1;
  }
  if (changed > 1 || membership.voters().empty()) {
    return Fail(ErrorCode::kInvalidField,
                "only one voter may change at a time");
  }
  proto::LogEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(hard_state_.term);
  *entry.mutable_membership() = std::move(membership);
  const uint64_t index = entry.index();
  AppendLocal(std::move(entry));
  SyncProgressWithMembership();
  BroadcastAppend(now, false);
  return index;
}

void Raft::Receive(const proto::RaftMessage& message, TimePoint now) {
  // Ignore messages addressed to an earlier node of this host: a host that
  // lost its disk gets a new node name.
  if (message.to_node() != node_) {
    return;
  }
  const std::string& from = message.from_node();
  switch (message.kind_case()) {
    case proto::RaftMessage::kVoteRequest:
      return OnVoteRequest(from, message.vote_request(), now);
    case proto::RaftMessage::kVoteReply:
      return OnVoteReply(from, message.vote_reply(), now);
    case proto::RaftMessage::kAppendRequest:
      return OnAppendRequest(from, message.append_request(), now);
    case proto::RaftMessage::kAppendReply:
      return OnAppendReply(from, message.append_reply(), now);
    case proto::RaftMessage::kTimeoutNow:
      return OnTimeoutNow(message.timeout_now(), now);
    default:
      return;  // The driver handles snapshot chunks.
  }
}

void Raft::OnVoteRequest(const std::string& from,
                         const proto::VoteRequest& request, TimePoint now) {
  const bool in_lease = now < reject_votes_until_ && !request.transfer();
  const bool is_leader = role_ == RaftRole::kLeader && !request.transfer();
  proto::RaftMessage message;
  proto::VoteReply& reply = *message.mutable_vote_reply();
  reply.set_pre_vote(request.pre_vote());
  if (request.term() < hard_state_.term || in_lease || is_leader) {
    reply.set_term(hard_state_.term);
    Send(from, message);
    return;
  }
  if (!request.pre_vote() && request.term() > hard_state_.term) {
    BecomeFollower(request.term(), "", now);
  }
  const bool up_to_date = request.last_term() > log_.last_term() ||
                          (request.last_term() == log_.last_term() &&
                           request.last_index() >= log_.last_index());
  const bool can_vote = request.pre_vote() || hard_state_.voted_for.empty() ||
                        hard_state_.voted_for == from;
  const bool newer_term =
      !request.pre_vote() || request.term() > hard_state_.term;
  reply.set_granted(up_to_date && can_vote && newer_term);
  reply.set_term(request.pre_vote() && reply.granted() ? request.term()
                                                       : hard_state_.term);
  if (request.pre_vote() || !reply.granted()) {
    Send(from, message);
    return;
  }
  if (hard_state_.voted_for.empty()) {
    hard_state_.voted_for = from;
    ready_.hard_state = hard_state_;
  }
  ResetElectionDeadline(now);
  SendAfterPersist(from, message);
}

void Raft::OnVoteReply(const std::string& from, const proto::VoteReply& reply,
                       TimePoint now) {
  const bool pre_vote = role_ == RaftRole::kPreCandidate;
  if (!reply.granted()) {
    if (reply.term() > hard_state_.term) {
      BecomeFollower(reply.term(), "", now);
    }
    return;
  }
  if (reply.pre_vote() != pre_vote ||
      (!pre_vote && role_ != RaftRole::kCandidate)) {
    return;
  }
  const uint64_t requested_term =
      pre_vote ? hard_state_.term + 1 : hard_state_.term;
  if (reply.term() != requested_term || !IsVoter(from)) {
    return;
  }
  votes_.insert(from);
  if (votes_.size() < QuorumSize()) {
    return;
  }
  if (pre_vote) {
    StartElection(false, false, now);
  } else {
    BecomeLeader(now);
  }
}

void Raft::OnTimeoutNow(const proto::TimeoutNow& message, TimePoint now) {
  if (message.term() == hard_state_.term && role_ == RaftRole::kFollower &&
      IsVoter(node_)) {
    StartElection(false, true, now);
  }
}

void Raft::OnAppendRequest(const std::string& from,
                           const proto::AppendRequest& request, TimePoint now) {
  proto::RaftMessage message;
  proto::AppendReply& reply = *message.mutable_append_reply();
  reply.set_round(request.round());
  if (request.term() < hard_state_.term) {
    reply.set_term(hard_state_.term);
    Send(from, message);
    return;
  }
  SEQ_CHECK(role_ != RaftRole::kLeader || request.term() > hard_state_.term,
            "two leaders in term " << request.term());
  if (request.term() > hard_state_.term || role_ != RaftRole::kFollower ||
      leader_ != from) {
    BecomeFollower(request.term(), from, now);
  }
  ResetElectionDeadline(now);
  reject_votes_until_ = now + options_.min_election_timeout;
  reply.set_term(hard_state_.term);
  if (!AppendFrom(request)) {
    reply.set_match_index(RejectHint(request));
    Send(from, message);
    return;
  }
  const uint64_t match =
      request.previous_index() + static_cast<uint64_t>(request.entries_size());
  reply.set_success(true);
  reply.set_match_index(match);
  CommitTo(std::min(request.commit(), match));
  SendAfterPersist(from, message);
}

// Appends the request's entries. Returns false when the log does not hold the
// entry before them. Entries that the log already holds are skipped and not
// truncated, because a delayed request must not remove entries that a later one
// has added.
bool Raft::AppendFrom(const proto::AppendRequest& request) {
  const uint64_t snapshot_index = log_.snapshot().index;
  if (request.previous_index() > log_.last_index()) {
    return false;
  }
  if (request.previous_index() >= snapshot_index &&
      log_.TermAt(request.previous_index()) != request.previous_term()) {
    return false;
  }
  for (const proto::LogEntry& entry : request.entries()) {
    if (entry.index() <= snapshot_index ||
        log_.TermAt(entry.index()) == entry.term()) {
      continue;
    }
    if (entry.index() <= log_.last_index()) {
      SEQ_CHECK(entry.index() > commit_,
                "committed entry " << entry.index() << " of term "
                                   << log_.TermAt(entry.index())
                                   << " conflicts with an entry of term "
                                   << entry.term());
      log_.TruncateFrom(entry.index());
      persisted_ = std::min(persisted_, entry.index() - 1);
      auto& pending = ready_.entries;
      pending.erase(std::remove_if(pending.begin(), pending.end(),
                                   [&](const auto& e) {
                                     return e.index() >= entry.index();
                                   }),
                    pending.end());
    }
    AppendLocal(entry);
  }
  return true;
}

// Returns the last entry that may match the leader's log, after which the
// leader continues. It skips all entries of the conflicting term at once.
uint64_t Raft::RejectHint(const proto::AppendRequest& request) const {
  if (request.previous_index() > log_.last_index()) {
    return log_.last_index();
  }
  const uint64_t conflicting = log_.TermAt(request.previous_index());
  uint64_t index = request.previous_index();
  while (index > commit_ && log_.TermAt(index) == conflicting) {
    --index;
  }
  return index;
}

void Raft::OnAppendReply(const std::string& from,
                         const proto::AppendReply& reply, TimePoint now) {
  if (reply.term() > hard_state_.term) {
    BecomeFollower(reply.term(), "", now);
    return;
  }
  const auto found = progress_.find(from);
  if (role_ != RaftRole::kLeader || reply.term() != hard_state_.term ||
      found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.acked_round = std::max(progress.acked_round, reply.round());
  progress.last_reply = now;
  ConfirmRounds();
  progress.in_flight -= progress.in_flight > 0 ? 1 : 0;
  progress.probe_sent = false;
  if (progress.state == ProgressState::kSnapshot) {
    return;
  }
  if (!reply.success()) {
    // A delayed rejection of an earlier request carries no new information.
    if (reply.match_index() < progress.match) {
      return;
    }
    progress.next = std::min(reply.match_index() + 1, progress.next);
    progress.state = ProgressState::kProbe;
    progress.in_flight = 0;
    SendAppends(from, progress, false);
    return;
  }
  SEQ_CHECK(reply.match_index() <= log_.last_index(),
            "node " << from << " reports match index " << reply.match_index()
                    << " beyond the last entry " << log_.last_index());
  progress.match = std::max(progress.match, reply.match_index());
  progress.next = std::max(progress.next, progress.match + 1);
  progress.state = ProgressState::kReplicate;
  AdvanceCommit();
  if (progress.next <= log_.last_index()) {
    SendAppends(from, progress, false);
  }
}

// Extends the lease after a quorum has answered a newer heartbeat round. The
// lease counts from the time at which the round was sent.
void Raft::ConfirmRounds() {
  std::vector<uint64_t> acked;
  for (const std::string& voter : log_.membership().voters()) {
    const auto found = progress_.find(voter);
    acked.push_back(
        voter == node_
            ? round_
            : (found == progress_.end() ? 0 : found->second.acked_round));
  }
  std::sort(acked.begin(), acked.end(), std::greater<>());
  const uint64_t confirmed = acked[QuorumSize() - 1];
  while (!rounds_.empty() && rounds_.front().number <= confirmed) {
    quorum_confirmed_at_ =
        std::max(quorum_confirmed_at_, rounds_.front().sent_at);
    rounds_.pop_front();
  }
}

bool Raft::LeaseValid(TimePoint now) const {
  return role_ == RaftRole::kLeader && !transfer_deadline_ &&
         commit_ >= term_start_index_ &&
         now < quorum_confirmed_at_ + options_.min_election_timeout -
                   options_.clock_margin;
}

void Raft::BroadcastAppend(TimePoint now, bool heartbeat) {
  if (heartbeat) {
    ++round_;
    rounds_.push_back(Round{round_, now});
    heartbeat_due_ = now + options_.heartbeat_interval;
    if (QuorumSize() == 1) {
      ConfirmRounds();
    }
  }
  for (auto& [node, progress] : progress_) {
    SendAppends(node, progress, heartbeat);
  }
}

size_t Raft::FillAppend(proto::AppendRequest& request, uint64_t next) const {
  size_t bytes = 0;
  size_t count = 0;
  for (uint64_t i = next;
       i <= log_.last_index() && bytes < options_.max_append_bytes; ++i) {
    const proto::LogEntry& entry = log_.At(i);
    bytes += entry.command().size();
    *request.add_entries() = entry;
    ++count;
  }
  return count;
}

// Sends the entries that a node lacks, as far as its flow-control window
// allows. With `heartbeat`, it sends at least one request, so that the node can
// answer the round.
void Raft::SendAppends(const std::string& to, Progress& progress,
                       bool heartbeat) {
  bool must_send = heartbeat;
  if (heartbeat) {
    // Requests or replies may have been lost, so each heartbeat reopens the
    // window.
    progress.probe_sent = false;
    progress.in_flight = 0;
  }
  if (progress.next < log_.first_index() &&
      progress.state != ProgressState::kSnapshot) {
    progress.state = ProgressState::kSnapshot;
    ready_.nodes_needing_snapshot.push_back(to);
  }
  while (true) {
    const bool snapshotting = progress.state == ProgressState::kSnapshot;
    const bool window_open = progress.state == ProgressState::kReplicate
                                 ? progress.in_flight < options_.max_in_flight
                                 : !progress.probe_sent;
    const bool has_entries =
        !snapshotting && window_open && progress.next <= log_.last_index();
    if (!must_send && !has_entries) {
      return;
    }
    proto::RaftMessage message;
    proto::AppendRequest& request = *message.mutable_append_request();
    const uint64_t next = snapshotting ? log_.first_index() : progress.next;
    request.set_term(hard_state_.term);
    request.set_previous_index(next - 1);
    request.set_previous_term(log_.TermAt(next - 1));
    request.set_commit(commit_);
    request.set_round(round_);
    const size_t count = has_entries ? FillAppend(request, next) : 0;
    if (progress.state == ProgressState::kReplicate) {
      progress.next += count;
      progress.in_flight += count > 0 ? 1 : 0;
    } else {
      progress.probe_sent = true;
    }
    Send(to, std::move(message));
    must_send = false;
  }
}

void Raft::AdvanceCommit() {
  std::vector<uint64_t> matches;
  for (const std::string& voter : log_.membership().voters()) {
    matches.push_back(voter == node_ ? persisted_ : MatchIndex(voter));
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t index = matches[QuorumSize() - 1];
  // Entries of earlier terms are committed only together with an entry of the
  // current term.
  if (index > commit_ && log_.TermAt(index) == hard_state_.term) {
    CommitTo(index);
  }
}

void Raft::CommitTo(uint64_t index) { commit_ = std::max(commit_, index); }

void Raft::Persisted(uint64_t index, uint64_t term, TimePoint now) {
  (void)now;
  // The entry may have been truncated and replaced while it was being written.
  if (log_.TermAt(index) != term || index <= persisted_) {
    return;
  }
  persisted_ = index;
  if (role_ == RaftRole::kLeader) {
    AdvanceCommit();
  }
}

void Raft::SnapshotDelivered(const std::string& node, uint64_t index) {
  const auto found = progress_.find(node);
  if (found == progress_.end() ||
      found->second.state != ProgressState::kSnapshot) {
    return;
  }
  found->second.match = std::max(found->second.match, index);
  found->second.next = found->second.match + 1;
  found->second.state = ProgressState::kProbe;
  found->second.probe_sent = false;
}

void Raft::CompactTo(uint64_t index) {
  SEQ_CHECK(index <= applying_index_,
            "cannot compact up to entry "
                << index << ": the last applied entry is " << applying_index_);
  log_.CompactTo(index);
}

void Raft::LimitLogSize(uint64_t max_bytes) {
  log_.CompactTo(log_.CompactionIndexForSize(max_bytes, applying_index_));
}

bool Raft::InstallSnapshot(SnapshotMark snapshot, TimePoint now) {
  ResetElectionDeadline(now);
  if (snapshot.index <= commit_) {
    return false;
  }
  const uint64_t index = snapshot.index;
  log_.Reset(std::move(snapshot));
  ready_.entries.clear();
  ready_.committed.clear();
  commit_ = index;
  applying_index_ = index;
  persisted_ = index;
  return true;
}

bool Raft::TransferLeadership(TimePoint now,
                              const std::set<std::string>& avoid) {
  if (role_ != RaftRole::kLeader) {
    return false;
  }
  const std::string* best = nullptr;
  for (const std::string& voter : log_.membership().voters()) {
    const bool eligible =
        voter != node_ && avoid.count(voter) == 0 && IsActive(voter);
    if (eligible &&
        (best == nullptr || MatchIndex(voter) > MatchIndex(*best))) {
      best = &voter;
    }
  }
  if (best == nullptr) {
    return false;
  }
  BroadcastAppend(now, false);
  // This gives up the lease, because the other voter may become leader at any
  // time.
  if (!transfer_deadline_) {
    transfer_deadline_ = now + options_.min_election_timeout;
  }
  proto::RaftMessage message;
  message.mutable_timeout_now()->set_term(hard_state_.term);
  Send(*best, std::move(message));
  return true;
}

bool Raft::IsActive(const std::string& node) const {
  const auto found = progress_.find(node);
  return node == node_ ||
         (found != progress_.end() &&
          found->second.acked_round + kMaxUnansweredRounds >= round_);
}

TimePoint Raft::LastReply(const std::string& node) const {
  const auto found = progress_.find(node);
  return found == progress_.end() ? TimePoint() : found->second.last_reply;
}

uint64_t Raft::MatchIndex(const std::string& node) const {
  const auto found = progress_.find(node);
  return found == progress_.end() ? 0 : found->second.match;
}

void Raft::Send(const std::string& to, proto::RaftMessage message) {
  message.set_from_node(node_);
  message.set_to_node(to);
  ready_.messages.push_back(OutgoingRaftMessage{to, std::move(message)});
}

void Raft::SendAfterPersist(const std::string& to, proto::RaftMessage message) {
  message.set_from_node(node_);
  message.set_to_node(to);
  ready_.after_persist.push_back(OutgoingRaftMessage{to, std::move(message)});
}

RaftReady Raft::TakeReady() {
  if (role_ == RaftRole::kLeader && !ready_.entries.empty()) {
    for (auto& [node, progress] : progress_) {
      SendAppends(node, progress, false);
    }
  }
  for (uint64_t bytes = 0;
       applying_index_ < commit_ && bytes < options_.max_committed_bytes;) {
    ++applying_index_;
    ready_.committed.push_back(log_.At(applying_index_));
    bytes += ready_.committed.back().command().size();
  }
  RaftReady out = std::move(ready_);
  ready_ = RaftReady{};
  return out;
}

}  // namespace sequoialb
