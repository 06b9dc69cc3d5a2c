#include "fleet/control_service.h"

#include <algorithm>

#include "base/hash.h"
#include "fleet/boot_clock.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

// The number of store hosts must not have changed for this long before the
// store group is bootstrapped; all hosts start within 0.3 s of each other.
constexpr milliseconds kStoresSettled{1'500};
constexpr milliseconds kMaintainInterval{200};
// A leader owns the rate limits for this long after a quorum last confirmed it;
// less than the time in which another leader can be elected.
constexpr milliseconds kRateLease{100};
// A call fails after this time. Operators wait one second for an answer before
// they try another host.
constexpr milliseconds kCallTimeout{900};
constexpr milliseconds kCallRetry{150};
// The time of kCallTimeout in which an order of evacuation is committed, and
// that in which it is acknowledged.
constexpr milliseconds kEvacuationTimeout =
    kCallTimeout + EvacuationAcks::kMaxWait;
// Forwarded calls are remembered for several times as long as they are sent
// again.
constexpr milliseconds kForwardedCallMemory{10'000};
// This long after its start or a pause, a control host has received a heartbeat
// or an announcement from every host and backend server in contact: servers
// announce themselves about every 1,200 ms, and one announcement may be lost.
constexpr milliseconds kDirectoryFillTime{3'000};
// A process that has not run for this long was paused.
constexpr milliseconds kPaused{1'000};
// A front without a heartbeat for this long (four missed) is no longer listed
// as live, and its backend servers are assigned to other fronts.
constexpr milliseconds kFrontTimeout{1'000};
// A store host with a heartbeat within this time counts as present when another
// one is retired, and may join the store group.
constexpr milliseconds kRecentContact{2'000};

proto::ControlAnswer ErrorAnswer(const Error& error) {
  proto::ControlAnswer answer;
  answer.set_error_name(std::string(ErrorName(error.code)));
  answer.set_detail(error.detail);
  return answer;
}

// Returns the addresses of the seeds if this host is one of them, otherwise
// nothing.
std::vector<std::string> FoundingSeeds(const ControlOptions& options) {
  std::vector<std::string> seeds;
  for (const Address& seed : options.seeds) {
    seeds.push_back(seed.ToString());
  }
  const bool founds = std::find(seeds.begin(), seeds.end(),
                                options.self.peer_address()) != seeds.end();
  return founds ? seeds : std::vector<std::string>();
}

proto::ControlAnswer OutcomeAnswer(const Status& outcome) {
  return outcome ? proto::ControlAnswer() : ErrorAnswer(outcome.error());
}

}  // namespace

ControlService::ControlService(ControlOptions options, HostLinks& links,
                               Metrics& metrics)
    : options_(std::move(options)),
      links_(links),
      registry_(options_.self.incarnation()),
      quarantines_(state_, metrics),
      rates_(
          options_.self.host(), RateOptions{},
          [this](const std::string& account) { return RateLimitOf(account); }),
      hellos_(metrics.counter("sequoialb_hellos_total")),
      announcements_(metrics.counter("sequoialb_announcements_total")),
      evacuated_domains_(metrics.gauge("sequoialb_evacuated_domains")) {}

Result<std::unique_ptr<ControlService>> ControlService::Open(
    ControlOptions options, FileSystem& files, HostLinks& links,
    Metrics& metrics, TimePoint now) {
  std::unique_ptr<ControlService> service(
      new ControlService(std::move(options), links, metrics));
  GroupOptions group;
  group.name = "control";
  group.host = service->options_.self.host();
  group.folder = service->options_.data_folder + "/control";
  group.max_voters = 2 * service->options_.tolerated_losses + 1;
  if (service->options_.first_start) {
    group.founding_seeds = FoundingSeeds(service->options_);
  }
  auto opened = ConsensusGroup::Open(
      group, files, service->state_, metrics,
      [&links](const std::string& host, const proto::RaftMessage& message) {
        proto::FleetMessage wrapped;
        wrapped.mutable_group()->set_group("control");
        *wrapped.mutable_group()->mutable_raft() = message;
        links.Send(host, wrapped);
      },
      now);
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  service->group_ = std::move(*opened);
  service->listening_since_ = now;
  service->last_tick_at_ = now;
  service->founding_seeds_ = service->group_->PendingFoundingSeeds();
  if (!service->founding_seeds_.empty()) {
    LogInfo("founding_pending",
            {{"group", "control"},
             {"seeds", std::to_string(service->founding_seeds_.size())}});
  }
  return service;
}

void ControlService::OnHello(const std::string& from,
                             const proto::HostHello& hello, TimePoint now) {
  hellos_.Add();
  const auto address = ParseAddress(hello.info().peer_address());
  if (!address || hello.info().host() != from) {
    LogWarn("hello_refused", {{"from", from}});
    return;
  }
  links_.SetAddress(from, *address);
  if (!directory_.Update(hello.info(), now)) {
    LogInfo("hello_of_ended_process", {{"from", from}});
    return;
  }
  quarantines_.OnHello(from, hello, now);
  if (hello.info().front()) {
    evacuation_acks_.OnReport(hello.info().host(), hello.evacuations_version());
  }
  proto::FleetMessage message;
  FillReply(hello, *message.mutable_hello_reply(), now);
  links_.Send(from, message);
}

void ControlService::FillReply(const proto::HostHello& hello,
                               proto::HelloReply& reply, TimePoint now) const {
  reply.set_sent_at_us(hello.sent_at_us());
  reply.set_leader_host(group_->leader_host());
  reply.set_confirmed(group_->IsConfirmedLeader(now));
  reply.set_has_catalog(state_.has_catalog());
  reply.set_catalog_version(state_.catalog_version());
  if (state_.has_catalog() &&
      (!hello.has_catalog() ||
       hello.catalog_version() < state_.catalog_version())) {
    reply.set_catalog(state_.catalog());
  }
  reply.set_directory_hash(directory_.Hash());
  reply.set_directory_cursor(directory_.cursor());
  if (reply.directory_hash() != hello.directory_hash()) {
    const bool same_process =
        hello.registry_incarnation() == options_.self.incarnation();
    directory_.FillChanges(same_process ? hello.directory_cursor() : 0, reply);
  }
  if (hello.wants_backends()) {
    registry_.FillChanges(hello.registry_incarnation(), hello.registry_cursor(),
                          reply, now);
  }
  if (hello.info().front()) {
    reply.set_crash_cursor(quarantines_.CrashCursor(hello.info()));
  }
  if (!reply.confirmed()) {
    return;
  }
  quarantines_.FillReply(hello, reply);
  for (const std::string& domain : state_.evacuated_domains()) {
    reply.add_evacuated_domains(domain);
  }
  reply.set_evacuations_version(state_.evacuations_version());
  for (const std::string& node : state_.initial_store_members()) {
    reply.add_store_founders(node);
  }
  for (const std::string& host : state_.retiring_hosts()) {
    reply.add_retiring_hosts(host);
  }
  if (hello.info().store()) {
    for (const auto& [host, known] : directory_.hosts()) {
      if (known.info.store() && now - known.last_contact < kRecentContact) {
        reply.add_live_stores(host);
      }
    }
  }
  if (!hello.info().front()) {
    return;
  }
  reply.set_live_fronts_hash(live_fronts_hash_);
  if (hello.live_fronts_hash() == live_fronts_hash_) {
    reply.set_live_fronts_unchanged(true);
  } else {
    *reply.mutable_live_fronts() = live_fronts_;
  }
}

void ControlService::UpdateLiveFronts(TimePoint now) {
  live_fronts_.Clear();
  std::string text;
  for (const auto& [host, known] : directory_.hosts()) {
    if (known.info.front() && !known.info.leaving() &&
        now - known.last_contact < kFrontTimeout) {
      proto::LiveFront& front = *live_fronts_.Add();
      front.set_host(host);
      front.set_failure_domain(known.info.failure_domain());
      text += host + " " + known.info.failure_domain() + "\n";
    }
  }
  live_fronts_hash_ = Hash64(text);
}

void ControlService::OnRaftMessage(const proto::RaftMessage& message,
                                   TimePoint now) {
  // Before its bootstrap an initial member does not know the group's voters, so
  // it must not accept log entries.
  if (founding_seeds_.empty()) {
    group_->Receive(message, now);
  }
}

std::optional<std::vector<std::string>> ControlService::FoundingMembers()
    const {
  std::vector<std::string> initial_members;
  for (const std::string& seed : founding_seeds_) {
    const auto found =
        std::find_if(directory_.hosts().begin(), directory_.hosts().end(),
                     [&](const auto& entry) {
                       return entry.second.info.peer_address() == seed;
                     });
    if (found == directory_.hosts().end()) {
      return std::nullopt;
    }
    const proto::HostInfo& info = found->second.info;
    if (!info.first_start() || info.node().empty()) {
      return std::nullopt;
    }
    initial_members.push_back(info.node());
  }
  std::sort(initial_members.begin(), initial_members.end());
  return initial_members;
}

// Bootstraps the control group once all seeds have reported that they wait for
// this, on disks that have held no group. When another host is already a member
// of the group, adopts the membership of that one if it includes this host.
void ControlService::MaybeBootstrapControlGroup(TimePoint now) {
  for (const auto& [host, known] : directory_.hosts()) {
    if (!known.info.control() || !known.info.group().member()) {
      continue;
    }
    const auto& voters = known.info.group().membership().voters();
    const bool includes =
        std::find(voters.begin(), voters.end(), node()) != voters.end();
    LogInfo("founding_ended", {{"group", "control"},
                               {"founded_by", host},
                               {"member", includes ? "yes" : "no"}});
    founding_seeds_.clear();
    if (includes) {
      group_->Bootstrap({voters.begin(), voters.end()}, now);
    }
    return;
  }
  const auto initial_members = FoundingMembers();
  if (initial_members) {
    founding_seeds_.clear();
    group_->Bootstrap(*initial_members, now);
  }
}

void ControlService::FillInfo(proto::HostInfo& info) const {
  info.set_node(node());
  *info.mutable_group() = status();
  info.set_first_start(!founding_seeds_.empty());
}

std::map<std::string, GroupCandidate> ControlService::Candidates(
    bool control, TimePoint now) const {
  std::map<std::string, GroupCandidate> candidates;
  for (const auto& [host, known] : directory_.hosts()) {
    const bool fits = control ? known.info.control() : known.info.store();
    if (fits && !known.info.node().empty()) {
      candidates[host] = {known.info.node(), known.info.failure_domain(),
                          known.last_contact};
    }
  }
  if (control) {
    candidates[options_.self.host()] = {node(), options_.self.failure_domain(),
                                        now};
  }
  return candidates;
}

void ControlService::MaybeBootstrapStoreGroup(TimePoint now) {
  const auto stores = Candidates(false, now);
  if (stores.size() != stores_seen_) {
    stores_seen_ = stores.size();
    stores_changed_at_ = now;
  }
  if (stores.empty() || !state_.initial_store_members().empty() ||
      stores_proposed_ || now < stores_changed_at_ + kStoresSettled ||
      !group_->IsConfirmedLeader(now)) {
    return;
  }
  // No store group has been founded yet, so a store host with a term holds the
  // log of another deployment.
  std::vector<GroupCandidate> fresh;
  for (const auto& [host, candidate] : stores) {
    const proto::GroupStatus& group = directory_.hosts().at(host).info.group();
    if (!group.member() && group.term() == 0) {
      fresh.push_back(candidate);
    }
  }
  if (fresh.empty()) {
    return;
  }
  proto::ControlCommand command;
  for (const std::string& node :
       PickInitialMembers(fresh, 2 * options_.tolerated_losses + 1)) {
    command.mutable_found_stores()->add_nodes(node);
  }
  stores_proposed_ = true;
  group_->Propose(
      command.SerializeAsString(), now, [this](const Status& outcome) {
        stores_proposed_ = false;
        LogInfo("stores_founded",
                {{"outcome", outcome ? "committed" : outcome.error().detail}});
      });
}

void ControlService::Tick(TimePoint now) {
  if (now - last_tick_at_ > kPaused) {
    listening_since_ = now;
  }
  last_tick_at_ = now;
  group_->Tick(now);
  if (!founding_seeds_.empty()) {
    MaybeBootstrapControlGroup(now);
  }
  directory_.Expire(now);
  UpdateLiveFronts(now);
  registry_.Expire(now);
  UpdateEvacuations(now);
  RetryCalls(now);
  UpdateRateOwnership(now);
  if (!group_->leads()) {
    retire_proposed_.clear();
  }
  quarantines_.Tick(
      group_->IsConfirmedLeader(now), now,
      [this, now](const proto::ControlCommand& command,
                  const std::function<void(const Status&)>& done) {
        group_->Propose(command.SerializeAsString(), now, done);
      });
  if (group_->leads() && now >= maintain_at_) {
    maintain_at_ = now + kMaintainInterval;
    group_->MaintainMembership(Candidates(true, now), {}, now);
    MaybeBootstrapStoreGroup(now);
  }
}

std::optional<RateLimit> ControlService::RateLimitOf(
    const std::string& account) {
  const bool stale =
      catalog_ == nullptr || catalog_->version() != state_.catalog_version();
  if (stale && state_.has_catalog()) {
    auto decoded = options_.decode_catalog(state_.catalog());
    if (!decoded) {
      LogError("catalog_unreadable", {{"reason", decoded.error().detail}});
      return std::nullopt;
    }
    catalog_ = std::make_unique<CatalogIndex>(std::move(*decoded));
  }
  const Account* found =
      catalog_ == nullptr ? nullptr : catalog_->AccountNamed(account);
  if (found == nullptr) {
    return std::nullopt;
  }
  return RateLimit{found->rate, found->burst};
}

void ControlService::SetRateOwner(uint64_t epoch, const std::string& owner,
                                  TimePoint now) {
  proto::HostView view;
  view.set_epoch(epoch);
  view.set_settled_epoch(epoch);
  if (!owner.empty()) {
    view.add_members()->set_host(owner);
  }
  rates_.SetView(view, now);
}

// The leader owns the buckets of all accounts: RateOwner gets a view whose only
// host is the leader. Each term begins with a view without a host, because its
// leader is not known at first, and because leaders of terms that this host has
// not seen may have leased tokens.
void ControlService::UpdateRateOwnership(TimePoint now) {
  const proto::GroupStatus status = group_->status();
  const uint64_t epoch = 2 * status.term();
  SetRateOwner(epoch, "", now);
  if (!status.leader_host().empty()) {
    SetRateOwner(epoch + 1, status.leader_host(), now);
  }
  if (group_->IsConfirmedLeader(now)) {
    rates_.SetAuthorityLeaseEnd(now + kRateLease);
  }
  rates_.Tick(now);
  SendRateMessages();
}

void ControlService::OnTokenRequest(const std::string& from,
                                    const proto::TokenRequest& request,
                                    TimePoint now) {
  rates_.OnRequest(from, request, now);
  SendRateMessages();
}

void ControlService::SendRateMessages() {
  for (RateMessage& message : rates_.TakeMessages()) {
    proto::FleetMessage wrapped;
    if (message.envelope.has_token_reply()) {
      *wrapped.mutable_token_reply() = message.envelope.token_reply();
    } else {
      *wrapped.mutable_token_recall() = message.envelope.token_recall();
    }
    links_.Send(message.to, wrapped);
  }
}

void ControlService::Flush(TimePoint now) { group_->Flush(now); }

void ControlService::Announce(const proto::BackendRecord& record,
                              TimePoint now) {
  announcements_.Add();
  if (registry_.Announce(record, now)) {
    ForwardBackend(record);
  }
}

void ControlService::DeregisterBackend(const std::string& id, TimePoint now) {
  announcements_.Add();
  ForwardBackend(registry_.Deregister(id, UnixMs(), now));
}

void ControlService::OnBackendRecord(const proto::BackendRecord& record,
                                     TimePoint now) {
  registry_.Announce(record, now);
}

void ControlService::OnReply(const std::string& from,
                             const proto::HelloReply& reply, TimePoint now) {
  for (const proto::BackendRecord& record : reply.backends()) {
    if (registry_.Merge(record, now)) {
      LogInfo("backend_record_merged",
              {{"backend", record.id()},
               {"started_unix_ms", std::to_string(record.started_unix_ms())},
               {"leaving", record.leaving() ? "yes" : "no"},
               {"gone", record.gone() ? "yes" : "no"},
               {"told_by", from}});
    }
  }
}

// Sends a change to the other control hosts, because this host may be lost
// right after it has acknowledged the change. Hosts that miss the message learn
// of the change with the next reply to their heartbeats.
void ControlService::ForwardBackend(const proto::BackendRecord& record) {
  proto::FleetMessage message;
  *message.mutable_backend() = record;
  for (const auto& [host, known] : directory_.hosts()) {
    if (known.info.control() && host != options_.self.host()) {
      links_.Send(host, message);
    }
  }
}

void ControlService::Call(proto::ControlCall call, TimePoint now,
                          CallDone done) {
  const uint64_t number = next_call_++;
  call.set_call(number);
  const milliseconds timeout =
      call.has_set_evacuation() ? kEvacuationTimeout : kCallTimeout;
  calls_[number] = {std::move(call), std::move(done), now + timeout, now};
  RetryCalls(now);
}

void ControlService::RetryCalls(TimePoint now) {
  std::vector<uint64_t> expired;
  std::vector<uint64_t> due;
  for (const auto& [number, pending] : calls_) {
    if (now >= pending.deadline) {
      expired.push_back(number);
    } else if (now >= pending.send_at) {
      due.push_back(number);
    }
  }
  for (const uint64_t number : expired) {
    proto::ControlAnswer answer = ErrorAnswer(
        {ErrorCode::kNoQuorum, "no leader has confirmed the call in time"});
    FinishCall(number, answer);
  }
  for (const uint64_t number : due) {
    PendingCall& pending = calls_[number];
    pending.send_at = now + kCallRetry;
    if (pending.call.has_set_evacuation()) {
      pending.call.set_evacuations_version(state_.evacuations_version());
    }
    if (group_->leads()) {
      // Not sent again: the answer follows once the entry is committed.
      pending.send_at = pending.deadline;
      ExecuteCall(pending.call, now,
                  [this, number](const proto::ControlAnswer& answer) {
                    FinishOrRetryCall(number, answer);
                  });
      continue;
    }
    const std::string leader = group_->leader_host();
    if (!leader.empty() && leader != options_.self.host()) {
      proto::FleetMessage message;
      *message.mutable_control_call() = pending.call;
      links_.Send(leader, message);
    }
  }
}

void ControlService::FinishCall(uint64_t call,
                                const proto::ControlAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  const CallDone done = std::move(found->second.done);
  calls_.erase(found);
  done(answer);
}

void ControlService::OnAnswer(const proto::ControlAnswer& answer) {
  FinishOrRetryCall(answer.call(), answer);
}

// A call that reached no leader is retried until its deadline.
void ControlService::FinishOrRetryCall(uint64_t call,
                                       const proto::ControlAnswer& answer) {
  if (answer.error_name() != ErrorName(ErrorCode::kNoQuorum)) {
    FinishCall(call, answer);
    return;
  }
  const auto found = calls_.find(call);
  if (found != calls_.end()) {
    found->second.send_at =
        std::min(found->second.send_at, BootNow() + kCallRetry);
  }
}

void ControlService::Answer(const std::string& to, uint64_t call,
                            proto::ControlAnswer answer) {
  answer.set_call(call);
  proto::FleetMessage message;
  *message.mutable_control_answer() = std::move(answer);
  links_.Send(to, message);
}

void ControlService::OnCall(const std::string& from,
                            const proto::ControlCall& call, TimePoint now) {
  const uint64_t number = call.call();
  if (!call.has_set_evacuation()) {
    ExecuteCall(call, now,
                [this, from, number](const proto::ControlAnswer& answer) {
                  Answer(from, number, answer);
                });
    return;
  }
  const std::pair<std::string, uint64_t> key(from, number);
  const auto [entry, added] = forwarded_calls_.try_emplace(key);
  if (!added) {
    if (entry->second.succeeded) {
      Answer(from, number, {});
    }
    return;
  }
  entry->second.forget_at = now + kForwardedCallMemory;
  ExecuteCall(call, now, [this, key](const proto::ControlAnswer& answer) {
    if (!answer.error_name().empty()) {
      forwarded_calls_.erase(key);
    } else if (const auto found = forwarded_calls_.find(key);
               found != forwarded_calls_.end()) {
      found->second.succeeded = true;
    }
    Answer(key.first, key.second, answer);
  });
}

void ControlService::ExecuteCall(const proto::ControlCall& call, TimePoint now,
                                 const Reply& reply) {
  if (!group_->IsConfirmedLeader(now)) {
    reply(ErrorAnswer(
        {ErrorCode::kNoQuorum, "this host is not the control group's leader"}));
    return;
  }
  switch (call.kind_case()) {
    case proto::ControlCall::kPutCatalog: {
      proto::ControlCommand command;
      *command.mutable_put_catalog() = call.put_catalog();
      group_->Propose(
          command.SerializeAsString(), now,
          [reply](const Status& outcome) { reply(OutcomeAnswer(outcome)); });
      return;
    }
    case proto::ControlCall::kReadCatalog: {
      proto::ControlAnswer answer;
      if (state_.has_catalog()) {
        answer.set_catalog(state_.catalog());
      } else {
        answer = ErrorAnswer(
            {ErrorCode::kStaleConfig, "no catalog has been committed yet"});
      }
      reply(answer);
      return;
    }
    case proto::ControlCall::kSetEvacuation:
      SetEvacuation(call, now, reply);
      return;
    case proto::ControlCall::kRetireHost:
      Retire(call.retire_host(), now, reply);
      return;
    case proto::ControlCall::kRetireStatus: {
      proto::ControlAnswer answer;
      if (state_.retiring_hosts().count(call.retire_status()) == 0) {
        answer = ErrorAnswer(
            {ErrorCode::kNotFound, "the host is not being retired"});
      } else {
        answer.set_retired(Retired(call.retire_status(), now));
      }
      reply(answer);
      return;
    }
    default:
      reply(
          ErrorAnswer({ErrorCode::kMalformed, "unknown kind of control call"}));
  }
}

bool ControlService::IsKnownDomain(const std::string& failure_domain) const {
  return state_.evacuated_domains().count(failure_domain) > 0 ||
         options_.self.failure_domain() == failure_domain ||
         registry_.HasFailureDomain(failure_domain) ||
         std::any_of(directory_.hosts().begin(), directory_.hosts().end(),
                     [&](const auto& entry) {
                       return entry.second.info.failure_domain() ==
                              failure_domain;
                     });
}

ErrorCode ControlService::RefusalByDirectory(ErrorCode refusal,
                                             TimePoint now) const {
  return now < listening_since_ + kDirectoryFillTime ? ErrorCode::kNoQuorum
                                                     : refusal;
}

// The order is proposed also when it is in effect already: an opposite order
// may have been proposed and not committed yet.
void ControlService::SetEvacuation(const proto::ControlCall& call,
                                   TimePoint now, const Reply& reply) {
  const proto::ControlCommand::SetEvacuation& order = call.set_evacuation();
  const std::string& domain = order.failure_domain();
  if (!IsKnownDomain(domain)) {
    reply(ErrorAnswer({RefusalByDirectory(ErrorCode::kNotFound, now),
                       "no failure domain " + domain}));
    return;
  }
  if (call.evacuations_version() < state_.LastEvacuationChange(domain)) {
    // An order that was delayed by a partition would undo later ones. The host
    // that forwarded it sends it again while its operator waits.
    reply(ErrorAnswer({ErrorCode::kNoQuorum,
                       "the failure domain has changed since the order"}));
    return;
  }
  proto::ControlCommand command;
  *command.mutable_set_evacuation() = order;
  group_->Propose(
      command.SerializeAsString(), now,
      [this, order, reply](const Status& outcome) {
        if (!outcome) {
          reply(OutcomeAnswer(outcome));
          return;
        }
        evacuation_acks_.Await(
            state_.evacuations_version(),
            [order, reply](bool all_fronts_reported) {
              LogInfo("evacuation_acknowledged",
                      {{"domain", order.failure_domain()},
                       {"evacuated", order.evacuated() ? "yes" : "no"},
                       {"all_fronts", all_fronts_reported ? "yes" : "no"}});
              reply(proto::ControlAnswer());
            });
      });
}

void ControlService::UpdateEvacuations(TimePoint now) {
  evacuated_domains_.Set(
      static_cast<double>(state_.evacuated_domains().size()));
  std::vector<std::string> fronts;
  for (const proto::LiveFront& front : live_fronts_) {
    fronts.push_back(front.host());
  }
  evacuation_acks_.Tick(fronts, state_.evacuations_version(), now);
  for (auto it = forwarded_calls_.begin(); it != forwarded_calls_.end();) {
    it = now >= it->second.forget_at ? forwarded_calls_.erase(it)
                                     : std::next(it);
  }
}

size_t ControlService::StoresLeftWithout(const std::string& host,
                                         TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(directory_.hosts().begin(), directory_.hosts().end(),
                    [&](const auto& entry) {
                      const DirectoryEntry& known = entry.second;
                      return known.info.store() && entry.first != host &&
                             now - known.last_contact < kRecentContact &&
                             state_.retiring_hosts().count(entry.first) == 0 &&
                             retire_proposed_.count(entry.first) == 0;
                    }));
}

void ControlService::Retire(const std::string& host, TimePoint now,
                            const Reply& reply) {
  if (state_.retiring_hosts().count(host) > 0) {
    reply(proto::ControlAnswer());
    return;
  }
  if (retire_proposed_.count(host) > 0) {
    reply(ErrorAnswer({ErrorCode::kNoQuorum, "the call is not committed yet"}));
    return;
  }
  const auto found = directory_.hosts().find(host);
  if (found == directory_.hosts().end() || !found->second.info.store()) {
    reply(ErrorAnswer({RefusalByDirectory(ErrorCode::kNotFound, now),
                       "no store host " + host}));
    return;
  }
  const size_t left = StoresLeftWithout(host, now);
  if (left < 2 * options_.tolerated_losses + 1) {
    reply(ErrorAnswer({RefusalByDirectory(ErrorCode::kConflict, now),
                       std::to_string(left) +
                           " store hosts would remain, too few to "
                           "tolerate the configured number of losses"}));
    return;
  }
  proto::ControlCommand command;
  command.mutable_retire_host()->set_host(host);
  retire_proposed_.insert(host);
  group_->Propose(command.SerializeAsString(), now,
                  [this, host, reply](const Status& outcome) {
                    retire_proposed_.erase(host);
                    reply(OutcomeAnswer(outcome));
                  });
}

// A host is retired once the store group's leader reports a settled membership
// that does not contain the host and has a full set of voters.
bool ControlService::Retired(const std::string& host, TimePoint now) const {
  for (const auto& [name, known] : directory_.hosts()) {
    const proto::GroupStatus& group = known.info.group();
    const bool is_store_leader = known.info.store() && group.leads() &&
                                 now - known.last_contact < kRecentContact;
    if (!is_store_leader || !group.settled() || name == host) {
      continue;
    }
    const auto names_host = [&](const std::string& node) {
      return node.substr(0, node.find('@')) == host;
    };
    const auto& voters = group.membership().voters();
    const auto& learners = group.membership().learners();
    return std::none_of(voters.begin(), voters.end(), names_host) &&
           std::none_of(learners.begin(), learners.end(), names_host) &&
           voters.size() >= static_cast<int>(2 * options_.tolerated_losses + 1);
  }
  return false;
}

}  // namespace sequoialb
