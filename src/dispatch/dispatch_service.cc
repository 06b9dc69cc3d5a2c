#include "dispatch/dispatch_service.h"

#include <algorithm>

#include "base/hash.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kPingInterval{200};
constexpr milliseconds kHostTimeout{700};
constexpr milliseconds kHeldSlotsInterval{300};
constexpr milliseconds kLoadReportInterval{250};
constexpr milliseconds kDispatcherCheckInterval{100};
// A request is repeated to the same dispatcher in case the request, or its
// forwarding to another domain, was sent to a host that had just failed. The
// interval allows several repetitions within the default limit of 1.2 s for a
// first token and is longer than the round trips of a reply. A dispatcher that
// still has the request queued ignores the repetition.
constexpr milliseconds kRequestRepeatInterval{300};
constexpr milliseconds kAbandonedCheckInterval{250};
// The dispatcher refuses requests at their deadline; this host fails a request
// that has had no reply for this long after it.
constexpr milliseconds kReplyMargin{200};

// The dispatcher of a failure domain and its standby.
constexpr size_t kDispatcherCandidates = 2;

std::string DispatcherKey(const std::string& failure_domain) {
  return "dispatcher " + failure_domain;
}

SchedulerOptions OptionsFrom(const Settings& settings) {
  SchedulerOptions options;
  options.dispatch = settings.policies.dispatch;
  options.routing = settings.policies.routing;
  options.seed = Hash64(settings.host);
  return options;
}

std::string PoolOf(const SlotNeed& need) {
  return need.service + '\n' + (need.plain ? "" : need.model);
}

}  // namespace

DispatchService::DispatchService(const Settings& settings, uint64_t incarnation,
                                 PeerSender& sender, Metrics& metrics,
                                 Post post)
    : settings_(settings),
      incarnation_(incarnation),
      sender_(sender),
      metrics_(metrics),
      post_(std::move(post)),
      // Slot numbers must differ between dispatchers and their incarnations.
      scheduler_(OptionsFrom(settings), Hash64(settings.host, incarnation)) {
  for (const HostEntry& entry : settings.hosts) {
    domains_.insert(entry.failure_domain);
  }
}

std::vector<std::string> DispatchService::LiveDomainHosts(
    const std::string& failure_domain) const {
  std::vector<std::string> hosts;
  const TimePoint now = Clock::now();
  for (const HostEntry& entry : settings_.hosts) {
    if (entry.failure_domain != failure_domain) {
      continue;
    }
    const auto last_ping = last_ping_at_.find(entry.host);
    const bool self = entry.host == settings_.host && !leaving_;
    if (self || (last_ping != last_ping_at_.end() &&
                 now < last_ping->second + kHostTimeout)) {
      hosts.push_back(entry.host);
    }
  }
  return hosts;
}

std::string DispatchService::DispatcherHost(
    const std::string& failure_domain) const {
  return RendezvousOwner(DispatcherKey(failure_domain),
                         LiveDomainHosts(failure_domain));
}

Result<std::shared_ptr<SlotLease>> DispatchService::Acquire(
    const SlotNeed& need, TimePoint deadline,
    const std::function<bool()>& abandoned) {
  auto pending = std::make_shared<PendingAcquire>();
  pending->deadline = deadline;
  proto::SlotRequest& request = pending->request;
  request.set_service(need.service);
  request.set_model(need.model);
  request.set_account(need.account);
  request.set_batch(need.batch);
  request.set_plain(need.plain);
  request.set_solo(need.solo);
  request.set_urgent(need.urgent);
  request.set_prefix_hash(need.prefix_hash);
  request.set_prompt_tokens(need.prompt_tokens);
  request.set_weight(need.weight);
  request.set_origin(settings_.host);
  for (const auto& [backend, domain] : need.avoid) {
    request.add_avoid(backend);
    request.add_avoid_domains(domain);
  }
  post_([this, pending] { StartAcquire(pending); });
  std::unique_lock<std::mutex> lock(mutex_);
  while (!pending->done) {
    pending->changed.wait_for(lock, kAbandonedCheckInterval);
    if (!pending->done && abandoned && abandoned()) {
      pending->done = true;
      pending->outcome =
          Fail(ErrorCode::kCancelled, "the request was abandoned");
      post_([this, pending] {
        proto::Envelope envelope;
        envelope.mutable_slot_cancel()->set_request_id(
            pending->request.request_id());
        envelope.mutable_slot_cancel()->set_origin(settings_.host);
        sender_.Send(pending->dispatcher, std::move(envelope));
        pending_acquires_.erase(pending->request.request_id());
      });
    }
  }
  if (pending->outcome) {
    const std::shared_ptr<SlotLease>& lease = *pending->outcome;
    held_[{lease->dispatcher(), lease->slot()}].need = need;
  }
  return pending->outcome;
}

void DispatchService::StartAcquire(
    const std::shared_ptr<PendingAcquire>& pending) {
  pending->request.set_request_id(next_request_++);
  pending_acquires_[pending->request.request_id()] = pending;
  SendSlotRequest(*pending, Clock::now());
}

void DispatchService::SendSlotRequest(PendingAcquire& pending, TimePoint now) {
  const std::string dispatcher = DispatcherHost(settings_.failure_domain);
  const bool same = dispatcher == pending.dispatcher;
  if (dispatcher.empty() || (same && now < pending.repeat_at)) {
    pending.dispatcher_check_at = now + kDispatcherCheckInterval;
    return;
  }
  pending.dispatcher_check_at = now + kDispatcherCheckInterval;
  pending.repeat_at = now + kRequestRepeatInterval;
  pending.dispatcher = dispatcher;
  pending.request.set_remaining_ms(RemainingMs(pending.deadline, now));
  proto::Envelope envelope;
  *envelope.mutable_slot_request() = pending.request;
  sender_.Send(dispatcher, std::move(envelope));
}

void DispatchService::Finish(const std::shared_ptr<PendingAcquire>& pending,
                             Result<std::shared_ptr<SlotLease>> outcome) {
  bool abandoned = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    abandoned = pending->done;
    if (outcome && !abandoned) {
      held_[{(*outcome)->dispatcher(), (*outcome)->slot()}].lease = *outcome;
    }
    if (!abandoned) {
      pending->done = true;
      pending->outcome = outcome;
    }
  }
  if (abandoned && outcome) {
    Release(*outcome, SlotOutcome{});
    return;
  }
  pending->changed.notify_all();
}

void DispatchService::OnSlotReply(const std::string& from,
                                  const proto::SlotReply& reply) {
  const auto found = pending_acquires_.find(reply.request_id());
  if (found == pending_acquires_.end()) {
    // No longer pending, for example because its caller abandoned it: the slot
    // is released at once.
    if (reply.error_name().empty()) {
      proto::Envelope envelope;
      envelope.mutable_slot_release()->set_slot(reply.slot());
      envelope.mutable_slot_release()->set_backend(reply.backend().id());
      sender_.Send(from, std::move(envelope));
    }
    return;
  }
  const std::shared_ptr<PendingAcquire> pending = found->second;
  if (!reply.error_name().empty()) {
    const ErrorCode code = ErrorCodeFromName(reply.error_name());
    // After a short pause the request goes to this dispatcher's successor, or
    // through a dispatcher to another domain.
    if (code == ErrorCode::kShuttingDown || code == ErrorCode::kNotFound) {
      pending->dispatcher.clear();
      return;
    }
    pending_acquires_.erase(found);
    Finish(pending,
           tl::unexpected<Error>(Error{code, reply.detail(), RunState::kNotRun,
                                       reply.retry_after_ms()}));
    return;
  }
  pending_acquires_.erase(found);
  Finish(pending,
         std::make_shared<SlotLease>(from, reply.slot(), reply.backend()));
}

void DispatchService::Release(const std::shared_ptr<SlotLease>& lease,
                              SlotOutcome outcome) {
  lease->SetInterrupt(nullptr);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_.erase({lease->dispatcher(), lease->slot()});
  }
  post_([this, lease, outcome] {
    proto::Envelope envelope;
    proto::SlotRelease& release = *envelope.mutable_slot_release();
    release.set_slot(lease->slot());
    release.set_backend(lease->backend().id());
    release.set_failed(outcome.failed);
    release.set_unreachable(outcome.unreachable);
    release.set_first_byte_ms(outcome.first_byte_ms);
    sender_.Send(lease->dispatcher(), std::move(envelope));
  });
}

void DispatchService::OnRevoke(const proto::SlotRevoke& revoke) {
  std::shared_ptr<SlotLease> lease;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [key, held] : held_) {
      if (key.second == revoke.slot()) {
        lease = held.lease;
      }
    }
  }
  if (lease != nullptr) {
    lease->Revoke();
  }
}

void DispatchService::Announce(proto::Backend backend) {
  post_([this, backend = std::move(backend)] {
    // The standby receives announcements too, so that it knows the servers when
    // it takes over.
    const std::vector<std::string> hosts =
        LiveDomainHosts(backend.failure_domain());
    const std::vector<size_t> order =
        RendezvousOrder(DispatcherKey(backend.failure_domain()), hosts);
    for (size_t i = 0; i < std::min(order.size(), kDispatcherCandidates); ++i) {
      proto::Envelope envelope;
      *envelope.mutable_backend() = backend;
      sender_.Send(hosts[order[i]], std::move(envelope));
    }
  });
}

bool DispatchService::OnEnvelope(const proto::Envelope& envelope,
                                 TimePoint now) {
  const std::string& from = envelope.from();
  switch (envelope.body_case()) {
    case proto::Envelope::kPing:
      OnPing(from, envelope.ping(), now);
      break;
    case proto::Envelope::kBackend:
      scheduler_.OnAnnounce(envelope.backend(), now);
      break;
    case proto::Envelope::kSlotRequest: {
      const milliseconds remaining(envelope.slot_request().remaining_ms());
      scheduler_.OnRequest(
          PendingRequest{envelope.slot_request(), now + remaining, now}, now);
      break;
    }
    case proto::Envelope::kSlotCancel:
      scheduler_.OnCancel(envelope.slot_cancel().origin(),
                          envelope.slot_cancel().request_id(), now);
      break;
    case proto::Envelope::kSlotRelease:
      scheduler_.OnRelease(envelope.slot_release(), now);
      break;
    case proto::Envelope::kSlotsHeld:
      scheduler_.OnHeldSlots(from, envelope.slots_held(), now);
      break;
    case proto::Envelope::kDomainLoad:
      scheduler_.OnRemoteLoad(envelope.domain_load(), now);
      break;
    case proto::Envelope::kSlotReply:
      OnSlotReply(from, envelope.slot_reply());
      break;
    case proto::Envelope::kSlotRevoke:
      OnRevoke(envelope.slot_revoke());
      break;
    default:
      return false;
  }
  PerformActions();
  return true;
}

void DispatchService::OnPing(const std::string& from,
                             const proto::DomainPing& ping, TimePoint now) {
  if (ping.leaving()) {
    last_ping_at_.erase(from);
  } else {
    last_ping_at_[from] = now;
  }
}

void DispatchService::PerformActions() {
  for (const DispatchAction& action : scheduler_.TakeActions()) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
}

void DispatchService::Perform(const GrantSlot& action) {
  proto::Envelope envelope;
  proto::SlotReply& reply = *envelope.mutable_slot_reply();
  reply.set_request_id(action.request_id);
  reply.set_slot(action.slot);
  *reply.mutable_backend() = action.backend;
  reply.mutable_backend()->clear_cached_prefixes();
  sender_.Send(action.to, std::move(envelope));
}

void DispatchService::Perform(const RefuseSlot& action) {
  proto::Envelope envelope;
  proto::SlotReply& reply = *envelope.mutable_slot_reply();
  reply.set_request_id(action.request_id);
  reply.set_error_name(std::string(ErrorName(action.error.code)));
  reply.set_detail(action.error.detail);
  reply.set_retry_after_ms(action.error.retry_after_ms.value_or(0));
  sender_.Send(action.to, std::move(envelope));
}

void DispatchService::Perform(const RevokeSlot& action) {
  proto::Envelope envelope;
  envelope.mutable_slot_revoke()->set_slot(action.slot);
  sender_.Send(action.to, std::move(envelope));
}

void DispatchService::Perform(const ForwardRequest& action) {
  const std::string dispatcher = DispatcherHost(action.failure_domain);
  proto::Envelope envelope;
  *envelope.mutable_slot_request() = action.request;
  sender_.Send(dispatcher.empty() ? settings_.host : dispatcher,
               std::move(envelope));
}

void DispatchService::SendPings(TimePoint now) {
  if (now < ping_due_) {
    return;
  }
  ping_due_ = now + kPingInterval;
  for (const HostEntry& entry : settings_.hosts) {
    // Every host pings the hosts of its own domain. Only dispatchers also ping
    // other domains, so that dispatchers know each other.
    const bool same_domain = entry.failure_domain == settings_.failure_domain;
    if (entry.host == settings_.host || (!same_domain && !dispatching())) {
      continue;
    }
    proto::Envelope envelope;
    envelope.mutable_ping()->set_incarnation(incarnation_);
    envelope.mutable_ping()->set_leaving(leaving_);
    sender_.Send(entry.host, std::move(envelope));
  }
}

void DispatchService::SendHeldSlots(TimePoint now) {
  if (now < held_due_) {
    return;
  }
  held_due_ = now + kHeldSlotsInterval;
  std::map<std::string, proto::SlotsHeld> lists;
  lists[DispatcherHost(settings_.failure_domain)];
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [key, held] : held_) {
      const std::string& domain = held.lease->backend().failure_domain();
      const std::string dispatcher = DispatcherHost(domain);
      auto& entry =
          *lists[dispatcher.empty() ? key.first : dispatcher].add_held();
      entry.set_slot(key.second);
      entry.set_backend(held.lease->backend().id());
      entry.set_service(PoolOf(held.need));
      entry.set_account(held.need.account);
      entry.set_batch(held.need.batch);
      entry.set_solo(held.need.solo);
    }
  }
  for (auto& [dispatcher, list] : lists) {
    if (dispatcher.empty()) {
      continue;
    }
    list.set_incarnation(incarnation_);
    proto::Envelope envelope;
    *envelope.mutable_slots_held() = std::move(list);
    sender_.Send(dispatcher, std::move(envelope));
  }
}

void DispatchService::SendLoadReport(TimePoint now) {
  if (now < load_due_ || !dispatching()) {
    return;
  }
  load_due_ = now + kLoadReportInterval;
  proto::DomainLoad load = scheduler_.Load(now);
  load.set_failure_domain(settings_.failure_domain);
  for (const std::string& domain : domains_) {
    const std::string dispatcher = DispatcherHost(domain);
    if (domain == settings_.failure_domain || dispatcher.empty()) {
      continue;
    }
    proto::Envelope envelope;
    *envelope.mutable_domain_load() = load;
    sender_.Send(dispatcher, std::move(envelope));
  }
}

void DispatchService::Tick(TimePoint now) {
  SendPings(now);
  SendHeldSlots(now);
  SendLoadReport(now);
  scheduler_.Tick(now);
  PerformActions();
  for (auto entry = pending_acquires_.begin();
       entry != pending_acquires_.end();) {
    const auto current = entry++;
    const std::shared_ptr<PendingAcquire> pending = current->second;
    if (now >= pending->deadline + kReplyMargin) {
      pending_acquires_.erase(current);
      Finish(pending,
             tl::unexpected<Error>(Error{ErrorCode::kOverloaded,
                                         "no dispatcher answered before the "
                                         "request's deadline; nothing was "
                                         "run",
                                         RunState::kNotRun, 500}));
    } else if (now >= pending->dispatcher_check_at) {
      SendSlotRequest(*pending, now);
    }
  }
  PublishMetrics();
}

void DispatchService::PublishMetrics() {
  const SchedulerStats& stats = scheduler_.stats();
  metrics_.gauge("sequoialb_dispatch_granted", "class=\"online\"")
      .Set(static_cast<double>(stats.granted_online));
  metrics_.gauge("sequoialb_dispatch_granted", "class=\"batch\"")
      .Set(static_cast<double>(stats.granted_batch));
  metrics_.gauge("sequoialb_dispatch_revoked")
      .Set(static_cast<double>(stats.revoked));
  metrics_.gauge("sequoialb_dispatch_refused")
      .Set(static_cast<double>(stats.refused));
  metrics_.gauge("sequoialb_dispatch_forwarded")
      .Set(static_cast<double>(stats.forwarded));
  metrics_.gauge("sequoialb_dispatch_queued", "class=\"online\"")
      .Set(static_cast<double>(scheduler_.queued_online()));
  metrics_.gauge("sequoialb_dispatch_queued", "class=\"batch\"")
      .Set(static_cast<double>(scheduler_.queued_batch()));
  metrics_.gauge("sequoialb_dispatching").Set(dispatching() ? 1 : 0);
}

void DispatchService::Leave(TimePoint now) {
  leaving_ = true;
  ping_due_ = now;
  SendPings(now);
  scheduler_.RefuseQueued(now);
  PerformActions();
}

}  // namespace sequoialb
