#include "group/consensus_group.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "base/check.h"
#include "base/hash.h"
#include "consensus/group_formation.h"
#include "consensus/snapshot_file.h"
#include "observe/log.h"
#include "proto/storage.pb.h"

namespace sequoialb {
namespace {

constexpr const char* kIdentityFile = "identity";
// Delay between a disk failure and the exit of the process.
constexpr milliseconds kDiskFailureExitDelay{2'000};
// Delay before a failed snapshot is retried.
constexpr milliseconds kSnapshotRetryDelay{2'000};
// A learner whose log is at most this many entries behind the leader's commit
// index may be promoted to voter.
constexpr uint64_t kCaughtUpEntries = 64;

// Timing for a region with a few milliseconds of network latency: a new leader
// is elected within about a second after the old one fails.
RaftOptions MakeRaftOptions() {
  RaftOptions options;
  options.heartbeat_interval = milliseconds(100);
  options.min_election_timeout = milliseconds(500);
  options.max_election_timeout = milliseconds(900);
  // After a start the whole log may become committed at once. Committed entries
  // are handed out in batches of this size, so that each batch can be dropped
  // from memory once it is applied.
  options.max_committed_bytes = 1U << 20U;
  return options;
}

// Loads the parts of a snapshot into the state and returns their total size.
Result<uint64_t> LoadParts(std::string_view data, const std::string& origin,
                           GroupState& state) {
  state.Clear();
  Status loaded;
  uint64_t bytes = 0;
  const auto mark =
      DecodeSnapshot(data, origin, [&](const proto::SnapshotPart& part) {
        if (loaded) {
          loaded = state.LoadPart(part.group_state());
          bytes += part.group_state().size();
        }
      });
  if (!mark) {
    return tl::unexpected<Error>(mark.error());
  }
  if (!loaded) {
    return tl::unexpected<Error>(loaded.error());
  }
  return bytes;
}

}  // namespace

ConsensusGroup::ConsensusGroup(GroupOptions options, FileSystem& files,
                               GroupState& state, Metrics& metrics, Send send)
    : options_(std::move(options)),
      files_(files),
      state_(state),
      send_(std::move(send)),
      writer_(files, options_.folder, options_.background_snapshots),
      committed_(metrics.counter("sequoialb_group_committed_total",
                                 "group=\"" + options_.name + "\"")),
      voters_(metrics.gauge("sequoialb_group_voters",
                            "group=\"" + options_.name + "\"")),
      learners_(metrics.gauge("sequoialb_group_learners",
                              "group=\"" + options_.name + "\"")),
      leading_(metrics.gauge("sequoialb_group_leads",
                             "group=\"" + options_.name + "\"")),
      sync_latency_(metrics.latency("sequoialb_group_sync_seconds",
                                    "group=\"" + options_.name + "\"")) {}

Result<std::unique_ptr<ConsensusGroup>> ConsensusGroup::Open(
    GroupOptions options, FileSystem& files, GroupState& state,
    Metrics& metrics, Send send, TimePoint now) {
  std::unique_ptr<ConsensusGroup> group(new ConsensusGroup(
      std::move(options), files, state, metrics, std::move(send)));
  const Status opened = group->OpenDisk(now);
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  return group;
}

Status ConsensusGroup::LoadIdentity() {
  Status made = files_.MakeFolder(options_.folder);
  if (!made) {
    return made;
  }
  const auto names = files_.List(options_.folder);
  if (!names) {
    return tl::unexpected<Error>(names.error());
  }
  const bool has_identity =
      std::find(names->begin(), names->end(), kIdentityFile) != names->end();
  if (!has_identity) {
    fresh_disk_ = true;
    node_ = options_.make_node_name(options_.host);
    founding_seeds_ = options_.founding_seeds;
    WriteIdentity();
    return {};
  }
  const auto data = files_.Read(options_.folder + "/" + kIdentityFile);
  if (!data) {
    return tl::unexpected<Error>(data.error());
  }
  proto::DiskIdentity identity;
  if (!identity.ParseFromString(*data) || identity.node().empty()) {
    return Fail(ErrorCode::kCorrupt, options_.folder + "/" + kIdentityFile +
                                         ": not a valid disk identity record");
  }
  node_ = identity.node();
  initial_members_.assign(identity.founders().begin(),
                          identity.founders().end());
  founding_seeds_.assign(identity.founding_seeds().begin(),
                         identity.founding_seeds().end());
  return {};
}

void ConsensusGroup::WriteIdentity() {
  proto::DiskIdentity identity;
  identity.set_node(node_);
  for (const std::string& member : initial_members_) {
    identity.add_founders(member);
  }
  for (const std::string& seed : founding_seeds_) {
    identity.add_founding_seeds(seed);
  }
  const Status written = WriteFileDurably(
      files_, options_.folder, kIdentityFile, identity.SerializeAsString());
  if (!written) {
    DiskFailed(written.error());
  }
}

std::string ConsensusGroup::SnapshotPath(uint64_t index) const {
  return options_.folder + "/" + SnapshotFileName(index);
}

Status ConsensusGroup::LoadSnapshot(RaftPersistentState& persistent) {
  snapshot_index_ = persistent.snapshot.index;
  const std::string path = SnapshotPath(snapshot_index_);
  const auto data = files_.Read(path);
  if (!data) {
    return tl::unexpected<Error>(data.error());
  }
  const auto bytes = LoadParts(*data, path, state_);
  if (!bytes) {
    return tl::unexpected<Error>(bytes.error());
  }
  applied_ = snapshot_index_;
  state_bytes_ = *bytes;
  return RemoveOtherSnapshots(files_, options_.folder, snapshot_index_);
}

Status ConsensusGroup::OpenDisk(TimePoint now) {
  Status identified = LoadIdentity();
  if (!identified) {
    return identified;
  }
  RaftPersistentState persistent;
  auto storage =
      RaftStorage::Open(files_, options_.folder + "/log", persistent);
  if (!storage) {
    return tl::unexpected<Error>(storage.error());
  }
  storage_ = std::move(*storage);
  if (persistent.snapshot.index > 0) {
    Status loaded = LoadSnapshot(persistent);
    if (!loaded) {
      return loaded;
    }
  } else {
    for (const std::string& member : initial_members_) {
      persistent.snapshot.membership.add_voters(member);
    }
  }
  for (const proto::LogEntry& entry : persistent.entries) {
    log_bytes_ += entry.command().size();
  }
  LogInfo("group_opened",
          {{"group", options_.name},
           {"node", node_},
           {"fresh_disk", fresh_disk_ ? "yes" : "no"},
           {"snapshot", std::to_string(persistent.snapshot.index)},
           {"entries", std::to_string(persistent.entries.size())}});
  raft_ = std::make_unique<Raft>(node_, MakeRaftOptions(),
                                 std::move(persistent), now, Hash64(node_));
  return {};
}

void ConsensusGroup::Bootstrap(const std::vector<std::string>& initial_members,
                               TimePoint now) {
  initial_members_ = initial_members;
  WriteIdentity();
  // The Raft instance created below would discard a log or hard state that is
  // already on the disk. If there is one, the process aborts here, and its next
  // start reads both that and the identity written above.
  SEQ_CHECK(
      raft_->last_index() == 0 && raft_->term() == 0,
      options_.name << ": cannot bootstrap on a disk that already holds a "
                       "term or a log ("
                    << raft_->last_index() << " entries)");
  RaftPersistentState persistent;
  for (const std::string& member : initial_members) {
    persistent.snapshot.membership.add_voters(member);
  }
  raft_ = std::make_unique<Raft>(node_, MakeRaftOptions(), persistent, now,
                                 Hash64(node_));
  LogInfo("group_founded",
          {{"group", options_.name},
           {"founders", std::to_string(initial_members.size())}});
}

std::vector<std::string> ConsensusGroup::PendingFoundingSeeds() const {
  const bool holds_group =
      is_member() || raft_->last_index() > 0 || raft_->term() > 0;
  return holds_group ? std::vector<std::string>() : founding_seeds_;
}

void ConsensusGroup::Receive(const proto::RaftMessage& message, TimePoint now) {
  if (message.to_node() != node_) {
    return;
  }
  if (message.kind_case() == proto::RaftMessage::kSnapshotChunk) {
    OnChunk(message, now);
  } else if (message.kind_case() == proto::RaftMessage::kSnapshotReply) {
    OnChunkReply(message, now);
  } else {
    raft_->Receive(message, now);
  }
}

void ConsensusGroup::Tick(TimePoint now) {
  raft_->Tick(now);
  if (leads()) {
    SendChunks(now);
  }
}

void ConsensusGroup::Flush(TimePoint now) {
  // In a group with a single member, persisting an entry commits it at once,
  // which produces more work.
  while (true) {
    HandleRoleChange(now);
    RaftReady ready = raft_->TakeReady();
    SendAll(ready.messages);
    StartTransfers(ready.nodes_needing_snapshot, now);
    if (ready.needs_persist()) {
      const TimePoint begin = Clock::now();
      const Status persisted =
          storage_->Persist(ready.hard_state, ready.entries);
      if (!persisted) {
        DiskFailed(persisted.error());
      }
      sync_latency_.Observe(Clock::now() - begin);
      for (const proto::LogEntry& entry : ready.entries) {
        log_bytes_ += entry.command().size();
      }
    }
    SendAll(ready.after_persist);
    if (!ready.entries.empty()) {
      const proto::LogEntry& last = ready.entries.back();
      raft_->Persisted(last.index(), last.term(), now);
    }
    if (!ready.committed.empty()) {
      Apply(ready.committed);
      raft_->LimitLogSize(options_.log_memory_bytes);
    }
    if (ready.entries.empty() && ready.committed.empty()) {
      break;
    }
  }
  SetGauges();
  FinishSnapshot(now);
  MaybeSnapshot(now);
}

void ConsensusGroup::Propose(const std::string& command, TimePoint now,
                             DoneCallback done) {
  const auto index = raft_->Propose(command, now);
  if (!index) {
    done(tl::unexpected<Error>(index.error()));
    return;
  }
  pending_[*index] = {raft_->term(), std::move(done)};
}

void ConsensusGroup::Apply(const std::vector<proto::LogEntry>& entries) {
  for (const proto::LogEntry& entry : entries) {
    SEQ_CHECK(entry.index() > applied_,
              "entry " << entry.index() << " after " << applied_);
    applied_ = entry.index();
    committed_.Add();
    Status outcome;
    if (!entry.command().empty()) {
      outcome = state_.Apply(entry.command());
    }
    const auto found = pending_.find(entry.index());
    if (found == pending_.end()) {
      continue;
    }
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    if (pending.term == entry.term()) {
      pending.done(outcome);
    } else {
      pending.done(Fail(ErrorCode::kNoQuorum, "another leader took over",
                        RunState::kUnknown));
    }
  }
}

// A node that lost the leadership cannot know whether its proposals will be
// committed, so they fail with an unknown outcome.
void ConsensusGroup::FailPendingProposals() {
  std::map<uint64_t, Pending> dropped;
  dropped.swap(pending_);
  for (const auto& [index, pending] : dropped) {
    pending.done(Fail(ErrorCode::kNoQuorum, "this node no longer leads",
                      RunState::kUnknown));
  }
}

void ConsensusGroup::HandleRoleChange(TimePoint now) {
  const bool was_leader = last_role_ == RaftRole::kLeader;
  if (was_leader && (!leads() || raft_->term() != last_term_)) {
    sender_.Clear();
    awaiting_snapshot_.clear();
    FailPendingProposals();
  }
  if (raft_->role() != last_role_ || raft_->leader() != last_leader_) {
    LogInfo("group_role", {{"group", options_.name},
                           {"leads", leads() ? "yes" : "no"},
                           {"leader", raft_->leader()},
                           {"term", std::to_string(raft_->term())}});
  }
  if (leads() && (!was_leader || raft_->term() != last_term_)) {
    leads_since_ = now;
  }
  last_role_ = raft_->role();
  last_term_ = raft_->term();
  last_leader_ = raft_->leader();
}

// Updates the member gauges only when the newest membership is committed.
void ConsensusGroup::SetGauges() {
  if (raft_->membership_committed()) {
    voters_.Set(raft_->membership().voters_size());
    learners_.Set(raft_->membership().learners_size());
  }
  leading_.Set(leads() ? 1 : 0);
}

bool ConsensusGroup::IsConfirmedLeader(TimePoint now) const {
  return raft_->LeaseValid(now) && applied_ == raft_->commit_index();
}

std::string ConsensusGroup::leader_host() const {
  return HostOfNode(raft_->leader());
}

proto::GroupStatus ConsensusGroup::status() const {
  proto::GroupStatus status;
  status.set_member(is_member());
  status.set_leads(leads());
  status.set_leader_host(leader_host());
  status.set_term(raft_->term());
  *status.mutable_membership() = raft_->membership();
  status.set_settled(raft_->membership_committed());
  return status;
}

bool ConsensusGroup::StepDown(TimePoint now,
                              const std::set<std::string>& avoid) {
  const bool offered = raft_->TransferLeadership(now, avoid);
  if (leads()) {
    LogInfo("leadership_transfer",
            {{"group", options_.name},
             {"term", std::to_string(raft_->term())},
             {"outcome", offered ? "offered" : "no active voter"}});
  }
  return offered;
}

void ConsensusGroup::SendAll(const std::vector<OutgoingRaftMessage>& messages) {
  for (const OutgoingRaftMessage& outgoing : messages) {
    send_(HostOfNode(outgoing.to), outgoing.message);
  }
}

void ConsensusGroup::MaintainMembership(
    const std::map<std::string, GroupCandidate>& candidates,
    const std::set<std::string>& retiring, TimePoint now) {
  if (!leads() || !raft_->membership_committed()) {
    return;
  }
  PlannerInput input;
  input.membership = raft_->membership();
  input.candidates = candidates;
  input.retiring = retiring;
  input.leader = node_;
  input.max_voters = options_.max_voters;
  input.standbys = options_.standbys;
  input.leads_since = leads_since_;
  input.now = now;
  for (const std::string& learner : input.membership.learners()) {
    const uint64_t match = raft_->MatchIndex(learner);
    if (raft_->IsActive(learner) && match > 0 &&
        match + kCaughtUpEntries >= raft_->commit_index()) {
      input.caught_up.insert(learner);
    }
  }
  for (const auto* members :
       {&input.membership.voters(), &input.membership.learners()}) {
    for (const std::string& member : *members) {
      input.last_replies[member] = raft_->LastReply(member);
    }
  }
  if (retiring.count(options_.host) > 0) {
    std::set<std::string> retiring_voters;
    for (const std::string& voter : input.membership.voters()) {
      if (retiring.count(HostOfNode(voter)) > 0) {
        retiring_voters.insert(voter);
      }
    }
    // Without a voter to hand over to, this leader first replaces the others
    // that are lost or retire.
    if (StepDown(now, retiring_voters)) {
      return;
    }
  }
  const auto next = PlanMembership(input);
  if (!next) {
    return;
  }
  const auto proposed = raft_->ProposeMembership(*next, now);
  std::string voters;
  for (const std::string& voter : next->voters()) {
    voters += (voters.empty() ? "" : " ") + voter;
  }
  LogInfo("membership_change",
          {{"group", options_.name},
           {"voters", voters},
           {"learners", std::to_string(next->learners_size())},
           {"outcome", proposed ? "proposed" : proposed.error().detail}});
}

void ConsensusGroup::MaybeSnapshot(TimePoint now) {
  // Some members lag so far that the last snapshot and the log in memory cannot
  // bring them up to date.
  const bool wanted = !awaiting_snapshot_.empty();
  const bool log_too_large =
      log_bytes_ >= options_.snapshot_log_bytes && log_bytes_ >= state_bytes_;
  if (writer_.busy() || now < snapshot_retry_at_ ||
      applied_ <= snapshot_index_ || (!wanted && !log_too_large)) {
    return;
  }
  log_bytes_at_snapshot_ = log_bytes_;
  writer_.Start(raft_->MarkAt(applied_), state_.Save());
}

void ConsensusGroup::FinishSnapshot(TimePoint now) {
  const auto finished = writer_.TakeFinished();
  if (!finished) {
    return;
  }
  if (!*finished) {
    // The log still holds every entry, so nothing is lost and the write can be
    // retried, for example once a full disk has space again.
    LogWarn("snapshot_not_written",
            {{"group", options_.name}, {"reason", finished->error().detail}});
    snapshot_retry_at_ = now + kSnapshotRetryDelay;
    return;
  }
  const WrittenSnapshot& written = **finished;
  // A newer snapshot may have been installed from the leader in the meantime.
  if (written.mark.index > snapshot_index_) {
    const Status marked = storage_->MarkSnapshot(written.mark, false);
    if (!marked) {
      DiskFailed(marked.error());
    }
    snapshot_index_ = written.mark.index;
    state_bytes_ = written.bytes;
    log_bytes_ -= std::min(log_bytes_, log_bytes_at_snapshot_);
  }
  const Status removed =
      RemoveOtherSnapshots(files_, options_.folder, snapshot_index_);
  if (!removed) {
    LogWarn("old_snapshot_stays", {{"reason", removed.error().detail}});
  }
  LogInfo("snapshot_written", {{"group", options_.name},
                               {"index", std::to_string(written.mark.index)},
                               {"bytes", std::to_string(written.bytes)}});
  const std::set<std::string> waiting = std::move(awaiting_snapshot_);
  awaiting_snapshot_.clear();
  if (leads()) {
    StartTransfers({waiting.begin(), waiting.end()}, now);
  }
}

void ConsensusGroup::StartTransfers(const std::vector<std::string>& nodes,
                                    TimePoint now) {
  if (nodes.empty()) {
    return;
  }
  // The entries that follow the snapshot must still be in memory; otherwise the
  // nodes wait for a newer snapshot.
  if (snapshot_index_ + 1 < raft_->first_index()) {
    awaiting_snapshot_.insert(nodes.begin(), nodes.end());
    return;
  }
  const auto data = files_.Read(SnapshotPath(snapshot_index_));
  if (!data) {
    LogWarn("snapshot_unreadable", {{"reason", data.error().detail}});
    awaiting_snapshot_.insert(nodes.begin(), nodes.end());
    return;
  }
  const auto shared = std::make_shared<const std::string>(*data);
  for (const std::string& node : nodes) {
    LogInfo("snapshot_sent", {{"group", options_.name},
                              {"to", node},
                              {"index", std::to_string(snapshot_index_)},
                              {"bytes", std::to_string(shared->size())}});
    sender_.Start(node, snapshot_index_, shared, now);
  }
}

void ConsensusGroup::SendChunks(TimePoint now) {
  std::vector<OutgoingRaftMessage> chunks = sender_.TakeChunks(now);
  for (OutgoingRaftMessage& outgoing : chunks) {
    outgoing.message.set_from_node(node_);
    outgoing.message.set_to_node(outgoing.to);
    outgoing.message.mutable_snapshot_chunk()->set_term(raft_->term());
  }
  SendAll(chunks);
}

void ConsensusGroup::OnChunk(const proto::RaftMessage& message, TimePoint now) {
  const proto::SnapshotChunk& chunk = message.snapshot_chunk();
  if (chunk.term() < raft_->term() || message.from_node() != raft_->leader()) {
    return;
  }
  uint64_t received = 0;
  const auto snapshot = receiver_.OnChunk(chunk);
  if (snapshot) {
    Install(message, *snapshot, now);
    received = snapshot->size();
  } else {
    received = receiver_.received_bytes();
  }
  OutgoingRaftMessage answer;
  answer.to = message.from_node();
  answer.message.set_from_node(node_);
  answer.message.set_to_node(message.from_node());
  proto::SnapshotReply& reply = *answer.message.mutable_snapshot_reply();
  reply.set_term(chunk.term());
  reply.set_last_index(chunk.last_index());
  reply.set_next_offset(received);
  SendAll({answer});
}

void ConsensusGroup::OnChunkReply(const proto::RaftMessage& message,
                                  TimePoint now) {
  if (message.snapshot_reply().term() != raft_->term()) {
    return;
  }
  const auto delivered =
      sender_.OnReply(message.from_node(), message.snapshot_reply(), now);
  if (delivered) {
    raft_->SnapshotDelivered(message.from_node(), *delivered);
  }
}

void ConsensusGroup::Install(const proto::RaftMessage& message,
                             const std::string& data, TimePoint now) {
  const std::string origin = "snapshot from the leader";
  const auto decoded = DecodeSnapshot(data, origin, [](const auto&) {});
  if (!decoded) {
    LogWarn("snapshot_rejected", {{"reason", decoded.error().detail},
                                  {"from", message.from_node()}});
    return;
  }
  const SnapshotMark& mark = *decoded;
  if (!raft_->InstallSnapshot(mark, now)) {
    return;
  }
  Status done = WriteFileDurably(files_, options_.folder,
                                 SnapshotFileName(mark.index), data);
  if (done) {
    done = storage_->MarkSnapshot(mark, true);
  }
  if (!done) {
    DiskFailed(done.error());
  }
  const auto bytes = LoadParts(data, origin, state_);
  if (!bytes) {
    DiskFailed(bytes.error());
  }
  applied_ = mark.index;
  snapshot_index_ = mark.index;
  state_bytes_ = *bytes;
  log_bytes_ = 0;
  LogInfo("snapshot_installed",
          {{"group", options_.name}, {"index", std::to_string(mark.index)}});
}

void ConsensusGroup::DiskFailed(const Error& error) const {
  LogError("disk_failed", {{"group", options_.name},
                           {"error", std::string(ErrorName(error.code))},
                           {"reason", error.detail}});
  options_.end_process();
  std::abort();
}

// After a failed write it is unknown what reached the disk, so the process
// exits and restarts from the durable data. It waits before it exits because a
// full or broken disk does not recover within seconds, and a rapid restart loop
// would not help.
void EndProcessAfterDiskFailure() {
  std::this_thread::sleep_for(kDiskFailureExitDelay);
  std::_Exit(1);
}

}  // namespace sequoialb
