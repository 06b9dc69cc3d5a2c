#include "consensus/replica.h"

#include <algorithm>
#include <cstdlib>

#include "base/check.h"
#include "base/hash.h"
#include "ledger/command_results.h"
#include "observe/log.h"
#include "proto/storage.pb.h"

namespace sequoialb {
namespace {

constexpr milliseconds kHelloInterval{200};
constexpr seconds kExpiryInterval{10};
constexpr seconds kAssignmentResendInterval{2};
// Log entries before a snapshot that stay in memory, so that a replica slightly
// behind catches up without a snapshot transfer.
constexpr uint64_t kTrailingEntries = 5'000;
constexpr size_t kMaxTakeOverIds = 500;
constexpr size_t kMaxPending = 50'000;
constexpr uint64_t kCaughtUpEntries = 100;
constexpr int kDiskFailedExitCode = 70;
constexpr char kIdentityFile[] = "identity";

void RemoveName(google::protobuf::RepeatedPtrField<std::string>* names,
                const std::string& name) {
  names->erase(std::remove(names->begin(), names->end(), name), names->end());
}

}  // namespace

Replica::Replica(const Settings& settings, FileSystem& files,
                 PeerSender& sender, Metrics& metrics, Post post)
    : settings_(settings),
      files_(files),
      sender_(sender),
      post_(std::move(post)),
      folder_(settings.data_folder + "/replica"),
      replica_hosts_(settings.replica_hosts()),
      committed_(metrics.counter("sequoialb_log_committed_total")),
      persist_latency_(metrics.latency("sequoialb_log_sync_seconds")) {}

Replica::~Replica() {
  snapshots_.reset();
  disk_.reset();
}

Result<std::unique_ptr<Replica>> Replica::Open(const Settings& settings,
                                               FileSystem& files,
                                               PeerSender& sender,
                                               Metrics& metrics, Post post,
                                               TimePoint now) {
  std::unique_ptr<Replica> replica(
      new Replica(settings, files, sender, metrics, std::move(post)));
  const Status opened = replica->OpenDisk(now);
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  return replica;
}

// Reads this disk's node name and initial members from the identity file, or
// creates the node name if the folder is new.
Status Replica::LoadIdentity() {
  Status made = files_.MakeFolder(folder_);
  if (!made) {
    return made;
  }
  const auto names = files_.List(folder_);
  if (!names) {
    return tl::unexpected<Error>(names.error());
  }
  const bool exists =
      std::find(names->begin(), names->end(), kIdentityFile) != names->end();
  if (!exists) {
    if (std::find(names->begin(), names->end(), "log") != names->end()) {
      return Fail(ErrorCode::kCorrupt,
                  folder_ +
                      ": has a log but no identity file; restore the "
                      "data folder or replace this host");
    }
    node_ = NewNodeName(settings_.host);
    proto::DiskIdentity identity;
    identity.set_node(node_);
    return WriteFileDurably(files_, folder_, kIdentityFile,
                            identity.SerializeAsString());
  }
  const auto bytes = files_.Read(folder_ + "/" + kIdentityFile);
  if (!bytes) {
    return tl::unexpected<Error>(bytes.error());
  }
  proto::DiskIdentity identity;
  if (!identity.ParseFromString(*bytes) ||
      HostOfNode(identity.node()) != settings_.host) {
    return Fail(ErrorCode::kCorrupt, folder_ + "/" + kIdentityFile +
                                         ": is not the identity of host " +
                                         settings_.host);
  }
  node_ = identity.node();
  initial_members_.assign(identity.founders().begin(),
                          identity.founders().end());
  return {};
}

Status Replica::OpenDisk(TimePoint now) {
  Status identified = LoadIdentity();
  if (!identified) {
    return identified;
  }
  RaftPersistentState persistent;
  auto storage = RaftStorage::Open(files_, folder_ + "/log", persistent);
  if (!storage) {
    return tl::unexpected<Error>(storage.error());
  }
  storage_ = std::move(*storage);
  if (persistent.snapshot.index > 0) {
    const auto mark = LoadSnapshot(
        files_, folder_, persistent.snapshot.index,
        [this](const proto::SnapshotPart& part) { ledger_.LoadPart(part); });
    if (!mark) {
      return tl::unexpected<Error>(mark.error());
    }
    ledger_.EndLoad(persistent.snapshot.index);
    snapshot_index_ = persistent.snapshot.index;
  } else {
    for (const std::string& member : initial_members_) {
      persistent.snapshot.membership.add_voters(member);
    }
  }
  raft_ = std::make_unique<Raft>(node_, RaftOptions{}, persistent, now,
                                 Hash64(node_));
  if (!has_membership() && initial_members_.empty()) {
    formation_ = std::make_unique<GroupFormation>(node_, replica_hosts_);
  }
  disk_ = std::make_unique<TaskThread>();
  snapshots_ = std::make_unique<TaskThread>();
  LogInfo("replica_opened",
          {{"node", node_},
           {"snapshot", std::to_string(persistent.snapshot.index)},
           {"entries", std::to_string(persistent.entries.size())}});
  return {};
}

void Replica::DiskFailed(const Error& error) {
  // After a disk failure it is unknown what was stored. Continuing could
  // acknowledge records that are not on the disk, so the process exits and
  // recovers from the disk's contents when it restarts.
  LogError("disk_failed", {{"reason", error.detail}});
  std::_Exit(kDiskFailedExitCode);
}

void Replica::Bootstrap(const std::vector<std::string>& initial_members,
                        TimePoint now) {
  initial_members_ = initial_members;
  proto::DiskIdentity identity;
  identity.set_node(node_);
  RaftPersistentState persistent;
  for (const std::string& member : initial_members) {
    identity.add_founders(member);
    persistent.snapshot.membership.add_voters(member);
  }
  const Status written = WriteFileDurably(files_, folder_, kIdentityFile,
                                          identity.SerializeAsString());
  if (!written) {
    DiskFailed(written.error());
  }
  raft_ = std::make_unique<Raft>(node_, RaftOptions{}, persistent, now,
                                 Hash64(node_));
  formation_.reset();
  SendGroupHello(replica_hosts_);
  LogInfo("group_founded",
          {{"founders", std::to_string(initial_members.size())}});
}

bool Replica::OnEnvelope(const proto::Envelope& envelope, TimePoint now) {
  switch (envelope.body_case()) {
    case proto::Envelope::kRaft:
      OnRaftMessage(envelope.raft(), now);
      return true;
    case proto::Envelope::kPropose:
      OnPropose(envelope.from(), envelope.propose(), now);
      return true;
    case proto::Envelope::kQuery:
      OnQuery(envelope.from(), envelope.query(), now);
      return true;
    case proto::Envelope::kHeartbeat:
      OnHeartbeat(envelope.from(), envelope.heartbeat(), now);
      return true;
    case proto::Envelope::kGroupHello:
      OnGroupHello(envelope.from(), envelope.group_hello(), now);
      return true;
    default:
      return false;
  }
}

void Replica::OnRaftMessage(const proto::RaftMessage& message, TimePoint now) {
  if (message.kind_case() == proto::RaftMessage::kSnapshotChunk) {
    OnSnapshotChunk(message, now);
  } else if (message.kind_case() == proto::RaftMessage::kSnapshotReply) {
    OnSnapshotReply(message, now);
  } else {
    raft_->Receive(message, now);
  }
}

void Replica::OnGroupHello(const std::string& from,
                           const proto::GroupHello& hello, TimePoint now) {
  if (!hello.initialised()) {
    new_nodes_[from] = hello.node();
  } else {
    new_nodes_.erase(from);
  }
  if (formation_ == nullptr) {
    // This replica has a group. It replies to one without a group, which learns
    // the initial members from the reply.
    if (!hello.initialised()) {
      SendGroupHello({from});
    }
    return;
  }
  const auto initial_members = formation_->OnHello(from, hello);
  if (initial_members) {
    Bootstrap(*initial_members, now);
  }
}

void Replica::AdvanceFormation(TimePoint now) {
  if (now < hello_due_) {
    return;
  }
  hello_due_ = now + kHelloInterval;
  if (formation_ != nullptr) {
    const auto initial_members = formation_->SingleNodeMembers();
    if (initial_members) {
      Bootstrap(*initial_members, now);
    }
  }
  if (formation_ != nullptr && has_membership()) {
    formation_.reset();  // Joined an existing group as a learner.
    SendGroupHello(replica_hosts_);
  }
  if (formation_ != nullptr) {
    SendGroupHello(replica_hosts_);
  }
}

void Replica::SendGroupHello(const std::vector<std::string>& hosts) {
  proto::Envelope envelope;
  proto::GroupHello& hello = *envelope.mutable_group_hello();
  hello.set_node(node_);
  hello.set_initialised(formation_ == nullptr);
  for (const std::string& member : initial_members_) {
    hello.add_founders(member);
  }
  for (const std::string& host : hosts) {
    if (host != settings_.host) {
      sender_.Send(host, envelope);
    }
  }
}

std::string Replica::LeaderHost() const {
  return raft_->leader().empty() ? "" : HostOfNode(raft_->leader());
}

void Replica::OnPropose(const std::string& from, const proto::Propose& propose,
                        TimePoint now) {
  proto::Envelope envelope;
  proto::ProposeReply& reply = *envelope.mutable_propose_reply();
  reply.set_request_id(propose.request_id());
  if (!leads()) {
    reply.set_not_leader(true);
    reply.set_leader(LeaderHost());
    sender_.Send(from, std::move(envelope));
    return;
  }
  if (proposals_.size() >= kMaxPending) {
    *reply.mutable_result() = Refused(
        ErrorCode::kOverloaded, "too many changes are pending; retry later");
    sender_.Send(from, std::move(envelope));
    return;
  }
  // A repeated proposal is ignored while the first one is pending.
  if (!pending_requests_.emplace(from, propose.request_id()).second) {
    return;
  }
  const Result<uint64_t> index =
      raft_->Propose(propose.command().SerializeAsString(), now);
  if (!index) {
    pending_requests_.erase({from, propose.request_id()});
    reply.set_not_leader(true);
    sender_.Send(from, std::move(envelope));
    return;
  }
  proposals_[*index] =
      PendingProposal{from, propose.request_id(), raft_->term()};
}

void Replica::OnQuery(const std::string& from, const proto::Query& query,
                      TimePoint now) {
  proto::Envelope envelope;
  proto::QueryReply& reply = *envelope.mutable_query_reply();
  reply.set_request_id(query.request_id());
  // A valid leader lease makes a local read as current as one confirmed by a
  // quorum.
  if (!raft_->LeaseValid(now)) {
    reply.set_not_leader(true);
    reply.set_leader(leads() ? "" : LeaderHost());
    sender_.Send(from, std::move(envelope));
    return;
  }
  AnswerQuery(query, reply, now);
  sender_.Send(from, std::move(envelope));
}

void Replica::AnswerQuery(const proto::Query& query, proto::QueryReply& reply,
                          TimePoint now) {
  const ItemTable::Record item = ledger_.items().Find(query.item_id());
  if (item != nullptr &&
      (query.account().empty() || item->account() == query.account())) {
    reply.set_found(true);
    *reply.mutable_item() = *item;
  }
  const BatchTable::Batch batch = ledger_.batches().FindBatch(query.lot_id());
  if (batch != nullptr &&
      (query.account().empty() || batch->account() == query.account())) {
    reply.set_found(true);
    *reply.mutable_lot() = *batch;
  }
  const BatchTable::File file = ledger_.batches().FindFile(query.file_id());
  if (file != nullptr &&
      (query.account().empty() || file->account() == query.account())) {
    reply.set_found(true);
    *reply.mutable_file() = *file;
  }
  if (query.lots()) {
    for (const auto& [id, record] : ledger_.batches().batches()) {
      if (record->account() == query.account()) {
        *reply.add_lots() = *record;
        reply.mutable_lots()->rbegin()->clear_done_bitmap();
      }
    }
  }
  if (query.documents()) {
    for (const auto& [service, document] : ledger_.documents().current()) {
      *reply.add_documents() = document;
    }
  }
  if (!query.history_of().empty()) {
    for (const proto::Document& document :
         ledger_.documents().History(query.history_of())) {
      *reply.add_documents() = document;
    }
  }
  if (!query.replace_host().empty()) {
    const Status status =
        ReplaceReplica(query.replace_host(), query.replace_with(), now);
    if (!status) {
      reply.set_error_name(std::string(ErrorName(status.error().code)));
      reply.set_detail(status.error().detail);
    }
  }
  if (query.replicas()) {
    FillReplicaStatus(*reply.mutable_replicas());
  }
}

void Replica::FillReplicaStatus(proto::ReplicaStatus& status) const {
  status.set_leader(raft_->leader());
  status.set_term(raft_->term());
  status.set_commit(raft_->commit_index());
  *status.mutable_membership() = raft_->membership();
  for (const auto& [host, node] : new_nodes_) {
    status.add_unformed(node);
  }
  status.set_items(ledger_.items().records().size());
  status.set_lots(ledger_.batches().batches().size());
  status.set_snapshot_index(snapshot_index_);
}

// Starts replacing a host's lost replica: the new node is added as a learner
// and becomes a voter once it has caught up, and only then is the lost node
// removed.
Status Replica::ReplaceReplica(const std::string& lost_host,
                               const std::string& replacement_host,
                               TimePoint now) {
  const auto next = replacements_.Plan(
      lost_host, replacement_host, raft_->membership(), new_nodes_,
      [this](const std::string& node) { return raft_->IsActive(node); });
  if (!next) {
    return tl::unexpected<Error>(next.error());
  }
  if (!*next) {
    return {};  // The replacement is already in progress or done.
  }
  const Result<uint64_t> index = raft_->ProposeMembership(**next, now);
  if (!index) {
    return tl::unexpected<Error>(index.error());
  }
  const std::string& new_node = *(*next)->learners().rbegin();
  replacements_.MarkStarted(lost_host, replacement_host, new_node);
  LogInfo("replica_replacement",
          {{"lost_host", lost_host}, {"with", new_node}});
  return {};
}

void Replica::OnHeartbeat(const std::string& from,
                          const proto::HostHeartbeat& heartbeat,
                          TimePoint now) {
  proto::Envelope envelope;
  proto::HeartbeatReply& reply = *envelope.mutable_heartbeat_reply();
  reply.set_sent_at(heartbeat.sent_at());
  reply.set_term(raft_->term());
  if (!leads()) {
    reply.set_not_leader(true);
    reply.set_leader(LeaderHost());
    sender_.Send(from, std::move(envelope));
    return;
  }
  if (!raft_->LeaseValid(now)) {
    return;
  }
  sessions_.OnHeartbeat(from, heartbeat, now);
  host_blobs_[from] =
      BlobsMissing{heartbeat.missing_blobs(), heartbeat.blobs_checked_index()};
  reported_configs_[from] =
      ReportedConfig{heartbeat.sent_at(), heartbeat.config_index()};
  reply.set_confirmed(true);
  reply.set_config_index(ledger_.config_index());
  reply.set_in_view(ledger_.view().Contains(from, heartbeat.incarnation()));
  if (heartbeat.config_index() < ledger_.config_index()) {
    *reply.mutable_config() = ledger_.ConfigSince(heartbeat.config_index());
  }
  sender_.Send(from, std::move(envelope));
}

// Sends a configuration change to every known host immediately, as a further
// reply to its latest heartbeat. A host that misses the message gets the change
// in the reply to its next heartbeat.
void Replica::PushConfig() {
  config_changed_ = false;
  for (const auto& [host, reported] : reported_configs_) {
    proto::Envelope envelope;
    proto::HeartbeatReply& reply = *envelope.mutable_heartbeat_reply();
    reply.set_sent_at(reported.sent_at);
    reply.set_term(raft_->term());
    reply.set_config_index(ledger_.config_index());
    *reply.mutable_config() = ledger_.ConfigSince(reported.index);
    sender_.Send(host, std::move(envelope));
  }
}

void Replica::Tick(TimePoint now) {
  AdvanceFormation(now);
  raft_->Tick(now);
  HandleRoleChange(now);
  if (leads()) {
    RunLeaderTasks(now);
  }
  SendSnapshotChunks(now);
}

void Replica::HandleRoleChange(TimePoint now) {
  if (raft_->role() == last_role_ && raft_->term() == last_term_) {
    return;
  }
  const bool became_leader = leads();
  const bool was_leader = last_role_ == RaftRole::kLeader;
  last_role_ = raft_->role();
  last_term_ = raft_->term();
  if (became_leader) {
    LogInfo("leader_elected",
            {{"node", node_}, {"term", std::to_string(last_term_)}});
    sessions_.Reset(ledger_.view().view(), now);
  }
  if (became_leader || was_leader) {
    proposals_.clear();
    pending_requests_.clear();
    own_proposals_.clear();
    reported_configs_.clear();
    replacements_.Clear();
    snapshot_sender_.Clear();
    if (was_leader && !became_leader) {
      LogInfo("leadership_lost",
              {{"node", node_}, {"term", std::to_string(last_term_)}});
    }
  }
}

bool Replica::OwnProposalPending() const { return !own_proposals_.empty(); }

void Replica::ProposeOwn(const proto::Command& command, TimePoint now) {
  const Result<uint64_t> index =
      raft_->Propose(command.SerializeAsString(), now);
  if (index) {
    own_proposals_.insert(*index);
  }
}

void Replica::RunLeaderTasks(TimePoint now) {
  MaintainMembership(now);
  // Each task decides from the state that the previous one left, so the next
  // starts only once the leader's own proposals are applied.
  if (!raft_->LeaseValid(now) || OwnProposalPending()) {
    return;
  }
  MaintainView(now);
  if (!OwnProposalPending()) {
    TakeOverLostWork(now);
  }
  if (!OwnProposalPending()) {
    ExpireOldRecords(now);
  }
  ResendAssignments(now);
}

void Replica::MaintainView(TimePoint now) {
  const proto::HostView& present = ledger_.view().view();
  const auto next = sessions_.NextView(present, now);
  proto::Command command;
  if (next) {
    *command.mutable_set_view()->mutable_view() = *next;
    ProposeOwn(command, now);
  } else if (sessions_.CanSettle(present, now)) {
    command.mutable_settle_view()->set_epoch(present.epoch());
    ProposeOwn(command, now);
  }
}

// Returns a learner whose log and blobs have both caught up.
std::optional<std::string> Replica::CaughtUpLearner() const {
  for (const std::string& learner : raft_->membership().learners()) {
    const uint64_t match = raft_->MatchIndex(learner);
    const bool has_log =
        match > 0 && match + kCaughtUpEntries >= raft_->commit_index();
    const auto blobs = host_blobs_.find(HostOfNode(learner));
    const bool has_blobs =
        blobs != host_blobs_.end() && blobs->second.count == 0 &&
        blobs->second.index + kCaughtUpEntries >= raft_->commit_index();
    if (has_log && has_blobs) {
      return learner;
    }
  }
  return std::nullopt;
}

void Replica::MaintainMembership(TimePoint now) {
  proto::Membership membership = raft_->membership();
  if (!raft_->membership_committed()) {
    return;
  }
  const std::optional<std::string> ready = CaughtUpLearner();
  if (ready) {
    RemoveName(membership.mutable_learners(), *ready);
    membership.add_voters(*ready);
    LogInfo("learner_promoted", {{"node", *ready}});
    raft_->ProposeMembership(membership, now);
    return;
  }
  if (!membership.learners().empty() || membership.retiring().empty()) {
    return;
  }
  const std::string lost = membership.retiring(0);
  RemoveName(membership.mutable_retiring(), lost);
  RemoveName(membership.mutable_voters(), lost);
  LogInfo("voter_removed", {{"node", lost}});
  raft_->ProposeMembership(membership, now);
}

// Assigns running items and batches whose owner is not in the view to hosts in
// the view.
void Replica::TakeOverLostWork(TimePoint now) {
  const proto::HostView& view = ledger_.view().view();
  if (view.settled_epoch() != view.epoch() || view.members().empty()) {
    return;
  }
  std::vector<std::string> hosts;
  std::map<std::string, uint64_t> incarnations;
  for (const proto::ViewMember& member : view.members()) {
    hosts.push_back(member.host());
    incarnations[member.host()] = member.incarnation();
  }
  // Keyed by lost owner and new owner.
  std::map<std::pair<OwnerId, std::string>, proto::TakeOver> commands;
  size_t count = 0;
  const auto command_for = [&](const OwnerId& owner,
                               const std::string& id) -> proto::TakeOver& {
    const std::string to = RendezvousOwner(id, hosts);
    proto::TakeOver& command = commands[{owner, to}];
    command.set_from(owner.first);
    command.set_from_incarnation(owner.second);
    command.set_owner(to);
    command.set_owner_incarnation(incarnations[to]);
    command.set_unix_ms(UnixMs());
    ++count;
    return command;
  };
  for (const auto& [owner, ids] : ledger_.items().running()) {
    const bool lost = !ledger_.view().Contains(owner.first, owner.second);
    for (auto id = ids.begin();
         lost && id != ids.end() && count < kMaxTakeOverIds; ++id) {
      command_for(owner, *id).add_item_ids(*id);
    }
  }
  for (const auto& [owner, ids] : ledger_.batches().running()) {
    const bool lost = !ledger_.view().Contains(owner.first, owner.second);
    for (auto id = ids.begin();
         lost && id != ids.end() && count < kMaxTakeOverIds; ++id) {
      command_for(owner, *id).add_lot_ids(*id);
    }
  }
  for (const auto& [owners, take_over] : commands) {
    proto::Command command;
    *command.mutable_take_over() = take_over;
    ProposeOwn(command, now);
    LogInfo("take_over",
            {{"from", owners.first.first},
             {"to", owners.second},
             {"items", std::to_string(take_over.item_ids_size())},
             {"batches", std::to_string(take_over.lot_ids_size())}});
  }
}

void Replica::ExpireOldRecords(TimePoint now) {
  if (now < expiry_due_) {
    return;
  }
  expiry_due_ = now + kExpiryInterval;
  proto::Command command;
  command.mutable_expire_records()->set_finished_before_unix_ms(
      UnixMs() - settings_.retention.count());
  ProposeOwn(command, now);
}

// Resends assignments, because the first message may have been lost. An owner
// identifies its work by id and generation and ignores assignments that it
// already has.
void Replica::ResendAssignments(TimePoint now) {
  if (now < resend_due_) {
    return;
  }
  resend_due_ = now + kAssignmentResendInterval;
  for (const auto& [owner, ids] : ledger_.items().running()) {
    for (const std::string& id : ids) {
      if (ledger_.items().Find(id)->generation() > 1) {
        SendAssignment(id, "");
      }
    }
  }
  for (const auto& [owner, ids] : ledger_.batches().running()) {
    for (const std::string& id : ids) {
      // An owner that missed the reply to its creation of a batch does not know
      // the batch; an owner that has made progress on it does.
      const BatchTable::Batch lot = ledger_.batches().FindBatch(id);
      if (lot->generation() > 1 || lot->done() == 0) {
        SendAssignment("", id);
      }
    }
  }
}

void Replica::SendAssignment(const std::string& item_id,
                             const std::string& batch_id) {
  proto::Envelope envelope;
  proto::Assignment& assignment = *envelope.mutable_assignment();
  std::string owner;
  const ItemTable::Record item = ledger_.items().Find(item_id);
  const BatchTable::Batch batch = ledger_.batches().FindBatch(batch_id);
  if (item != nullptr && item->state() == proto::ITEM_RUNNING) {
    *assignment.mutable_item() = *item;
    owner = item->owner();
  }
  if (batch != nullptr && batch->state() == proto::LOT_RUNNING) {
    *assignment.mutable_lot() = *batch;
    owner = batch->owner();
  }
  if (!owner.empty()) {
    sender_.Send(owner, std::move(envelope));
  }
}

void Replica::Flush(TimePoint now) {
  HandleRoleChange(now);
  RaftReady ready = raft_->TakeReady();
  SendRaft(ready.messages);
  StartTransfers(ready.nodes_needing_snapshot, now);
  if (ready.needs_persist() || !ready.after_persist.empty()) {
    Persist(ready);
  }
  if (!ready.committed.empty()) {
    ApplyCommitted(ready.committed, now);
  }
  if (config_changed_ && leads()) {
    PushConfig();
  }
  MaybeSnapshot(now);
}

void Replica::SendRaft(const std::vector<OutgoingRaftMessage>& messages) {
  for (const OutgoingRaftMessage& outgoing : messages) {
    proto::Envelope envelope;
    *envelope.mutable_raft() = outgoing.message;
    sender_.Send(HostOfNode(outgoing.to), std::move(envelope));
  }
}

// Queues a write on the disk thread. Replies that wait for earlier writes go
// through the same queue, which keeps them in order.
void Replica::Persist(RaftReady& ready) {
  auto step = std::make_shared<RaftReady>();
  step->hard_state = std::move(ready.hard_state);
  step->entries = std::move(ready.entries);
  step->after_persist = std::move(ready.after_persist);
  disk_->Add([this, step] {
    if (step->needs_persist()) {
      const TimePoint begin = Clock::now();
      const Status persisted =
          storage_->Persist(step->hard_state, step->entries);
      if (!persisted) {
        DiskFailed(persisted.error());
      }
      persist_latency_.Observe(Clock::now() - begin);
    }
    post_([this, step] {
      SendRaft(step->after_persist);
      if (!step->entries.empty()) {
        const proto::LogEntry& last = step->entries.back();
        raft_->Persisted(last.index(), last.term(), Clock::now());
      }
    });
  });
}

void Replica::ApplyCommitted(const std::vector<proto::LogEntry>& entries,
                             TimePoint now) {
  (void)now;
  for (const proto::LogEntry& entry : entries) {
    committed_.Add();
    if (entry.index() <= ledger_.applied_index()) {
      continue;
    }
    proto::Command command;
    if (!command.ParseFromString(entry.command())) {
      SEQ_CHECK(false,
                "committed entry " << entry.index() << " cannot be decoded");
    }
    const uint64_t config_before = ledger_.config_index();
    const proto::CommandResult result = ledger_.Apply(entry.index(), command);
    config_changed_ =
        config_changed_ || ledger_.config_index() != config_before;
    own_proposals_.erase(entry.index());
    if (leads()) {
      // Before the answer, so that a key is in force at the host that answers
      // the operator.
      if (config_changed_) {
        PushConfig();
      }
      AnswerProposal(entry, result);
      NotifyOwners(command);
    }
  }
}

void Replica::AnswerProposal(const proto::LogEntry& entry,
                             const proto::CommandResult& result) {
  const auto found = proposals_.find(entry.index());
  if (found == proposals_.end()) {
    return;
  }
  const PendingProposal pending = found->second;
  proposals_.erase(found);
  pending_requests_.erase({pending.host, pending.request_id});
  if (pending.term != entry.term()) {
    return;  // Another leader's entry has this index; the proposer retries.
  }
  proto::Envelope envelope;
  proto::ProposeReply& reply = *envelope.mutable_propose_reply();
  reply.set_request_id(pending.request_id);
  *reply.mutable_result() = result;
  sender_.Send(pending.host, std::move(envelope));
}

void Replica::NotifyOwners(const proto::Command& command) {
  if (command.has_take_over()) {
    for (const std::string& id : command.take_over().item_ids()) {
      SendAssignment(id, "");
    }
    for (const std::string& id : command.take_over().lot_ids()) {
      SendAssignment("", id);
    }
  }
  if (command.has_cancel_lot()) {
    const BatchTable::Batch batch =
        ledger_.batches().FindBatch(command.cancel_lot().lot_id());
    if (batch != nullptr && batch->state() == proto::LOT_CANCELLED) {
      proto::Envelope envelope;
      envelope.mutable_stop_lot()->set_lot_id(batch->id());
      sender_.Send(batch->owner(), std::move(envelope));
    }
  }
}

bool Replica::StepDown(TimePoint now) { return raft_->TransferLeadership(now); }

void Replica::MaybeSnapshot(TimePoint now) {
  (void)now;
  const uint64_t applied = ledger_.applied_index();
  if (snapshot_running_ ||
      applied < snapshot_index_ + settings_.snapshot_entries) {
    return;
  }
  snapshot_running_ = true;
  // The membership as of the applied entry, not a newer one in the log.
  SnapshotMark mark = raft_->MarkAt(applied);
  const SnapshotSource source = ledger_.MakeSnapshotSource();
  snapshots_->Add([this, mark, source] {
    const auto written = WriteSnapshot(files_, folder_, mark, source);
    if (!written) {
      DiskFailed(written.error());
    }
    disk_->Add([this, mark] {
      const Status marked = storage_->MarkSnapshot(mark, false);
      if (!marked) {
        DiskFailed(marked.error());
      }
      const Status removed = RemoveOtherSnapshots(files_, folder_, mark.index);
      if (!removed) {
        DiskFailed(removed.error());
      }
      post_([this, mark] {
        snapshot_running_ = false;
        snapshot_index_ = std::max(snapshot_index_, mark.index);
        const uint64_t trailing =
            std::min(kTrailingEntries, settings_.snapshot_entries);
        raft_->CompactTo(mark.index > trailing ? mark.index - trailing : 0);
        LogInfo("snapshot_written", {{"index", std::to_string(mark.index)}});
      });
    });
  });
}

void Replica::StartTransfers(const std::vector<std::string>& nodes,
                             TimePoint now) {
  for (const std::string& node : nodes) {
    const Result<std::string> data =
        files_.Read(folder_ + "/" + SnapshotFileName(snapshot_index_));
    if (!data) {
      LogWarn("snapshot_unreadable", {{"reason", data.error().detail}});
      continue;
    }
    LogInfo("snapshot_transfer",
            {{"to", node}, {"index", std::to_string(snapshot_index_)}});
    snapshot_sender_.Start(node, snapshot_index_,
                           std::make_shared<const std::string>(*data), now);
  }
}

void Replica::SendSnapshotChunks(TimePoint now) {
  std::vector<OutgoingRaftMessage> chunks = snapshot_sender_.TakeChunks(now);
  for (OutgoingRaftMessage& outgoing : chunks) {
    outgoing.message.set_from_node(node_);
    outgoing.message.set_to_node(outgoing.to);
    outgoing.message.mutable_snapshot_chunk()->set_term(raft_->term());
  }
  SendRaft(chunks);
}

OutgoingRaftMessage Replica::MakeSnapshotReply(const proto::RaftMessage& chunk,
                                               uint64_t next_offset) const {
  OutgoingRaftMessage outgoing;
  outgoing.to = chunk.from_node();
  outgoing.message.set_from_node(node_);
  outgoing.message.set_to_node(chunk.from_node());
  proto::SnapshotReply& reply = *outgoing.message.mutable_snapshot_reply();
  reply.set_term(chunk.snapshot_chunk().term());
  reply.set_last_index(chunk.snapshot_chunk().last_index());
  reply.set_next_offset(next_offset);
  return outgoing;
}

void Replica::OnSnapshotChunk(const proto::RaftMessage& message,
                              TimePoint now) {
  const proto::SnapshotChunk& chunk = message.snapshot_chunk();
  if (message.to_node() != node_ || chunk.term() < raft_->term() ||
      message.from_node() != raft_->leader()) {
    return;
  }
  const std::optional<std::string> snapshot = snapshot_receiver_.OnChunk(chunk);
  if (snapshot) {
    InstallReceived(message, *snapshot, now);
    return;
  }
  SendRaft({MakeSnapshotReply(message, snapshot_receiver_.received_bytes())});
}

// Writes a received snapshot durably, replaces the ledger by it, and replies to
// the sender. The control thread blocks on the disk here, because the replica
// has nothing else to do until the snapshot is durable.
void Replica::InstallReceived(const proto::RaftMessage& message,
                              const std::string& data, TimePoint now) {
  const std::string name =
      SnapshotFileName(message.snapshot_chunk().last_index());
  Ledger loaded;
  const auto mark = DecodeSnapshot(
      data, name,
      [&loaded](const proto::SnapshotPart& part) { loaded.LoadPart(part); });
  if (!mark) {
    LogWarn("snapshot_rejected", {{"reason", mark.error().detail}});
    return;
  }
  if (raft_->InstallSnapshot(*mark, now)) {
    const Status written = WriteFileDurably(files_, folder_, name, data);
    if (!written) {
      DiskFailed(written.error());
    }
    loaded.EndLoad(mark->index);
    ledger_ = std::move(loaded);
    snapshot_index_ = mark->index;
    disk_->Add([this, durable = *mark] {
      const Status marked = storage_->MarkSnapshot(durable, true);
      if (!marked) {
        DiskFailed(marked.error());
      }
    });
    formation_.reset();
    LogInfo("snapshot_installed", {{"index", std::to_string(mark->index)}});
  }
  const std::vector<OutgoingRaftMessage> answer = {
      MakeSnapshotReply(message, data.size())};
  disk_->Add([this, answer] { post_([this, answer] { SendRaft(answer); }); });
}

void Replica::OnSnapshotReply(const proto::RaftMessage& message,
                              TimePoint now) {
  if (message.snapshot_reply().term() != raft_->term()) {
    return;
  }
  const std::optional<uint64_t> delivered = snapshot_sender_.OnReply(
      message.from_node(), message.snapshot_reply(), now);
  if (delivered) {
    raft_->SnapshotDelivered(message.from_node(), *delivered);
  }
}

}  // namespace sequoialb
