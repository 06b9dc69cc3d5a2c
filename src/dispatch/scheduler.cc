#include "dispatch/scheduler.h"

#include <algorithm>
#include <cmath>

#include "base/check.h"

namespace sequoialb {
namespace {

constexpr double kHoldSmoothing = 0.05;
constexpr double kFirstTokenSmoothing = 0.1;
// Initial estimates of the time to first token, with a cached prefix and
// without.
constexpr double kInitialHitMs = 20;
constexpr double kInitialMissMs = 50;
constexpr int64_t kMinRetryAfterMs = 50;
// A server whose time to first byte is more than kSlowFactor times that of the
// fastest server is treated as if it ran kSlowPenalty more requests.
constexpr double kSlowFactor = 3.0;
constexpr double kSlowPenalty = 2.0;
// One of every kServersPerSoloReservation servers, but at least one, may be
// reserved for solo requests.
constexpr size_t kServersPerSoloReservation = 4;

// How many slots of a server batch work may take.
struct BatchLimitOf {
  uint32_t slots;

  uint32_t operator()(const OnlineFirst& policy) const {
    const auto headroom =
        static_cast<uint32_t>(std::ceil(policy.headroom * slots));
    return slots > headroom ? slots - headroom : 0;
  }
  uint32_t operator()(const FixedReserve& policy) const {
    return static_cast<uint32_t>(policy.batch_share * slots);
  }
  uint32_t operator()(const FirstCome& /*policy*/) const { return slots; }
};

// How many slots of a server online work may take.
struct OnlineLimitOf {
  uint32_t slots;

  uint32_t operator()(const OnlineFirst& /*policy*/) const { return slots; }
  uint32_t operator()(const FixedReserve& policy) const {
    return slots - static_cast<uint32_t>(policy.batch_share * slots);
  }
  uint32_t operator()(const FirstCome& /*policy*/) const { return slots; }
};

bool IsAvoided(const proto::SlotRequest& request, const std::string& backend) {
  return std::find(request.avoid().begin(), request.avoid().end(), backend) !=
         request.avoid().end();
}

}  // namespace

Scheduler::Scheduler(SchedulerOptions options, uint64_t first_slot)
    : options_(options), backends_(options_.backends), next_slot_(first_slot) {
  routing_.random.seed(options_.seed);
  routing_.hit_ms = kInitialHitMs;
  routing_.miss_ms = kInitialMissMs;
}

std::string Scheduler::PoolName(const proto::SlotRequest& request) {
  return request.service() + '\n' + (request.plain() ? "" : request.model());
}

bool Scheduler::Serves(const BackendState& state,
                       const proto::SlotRequest& request) const {
  if (state.info.service() != request.service() ||
      state.info.plain() != request.plain()) {
    return false;
  }
  const auto& models = state.info.models();
  return request.plain() || std::find(models.begin(), models.end(),
                                      request.model()) != models.end();
}

uint32_t Scheduler::BatchLimit(const BackendState& state) const {
  return std::visit(BatchLimitOf{state.info.slots()}, options_.dispatch);
}

bool Scheduler::HasCapacity(const BackendState& state,
                            const proto::SlotRequest& request,
                            TimePoint now) const {
  const uint32_t slots = state.info.slots();
  if (!backends_.Usable(state, now) || state.load() >= slots) {
    return false;
  }
  if (!request.batch()) {
    return state.online < std::visit(OnlineLimitOf{slots}, options_.dispatch);
  }
  if (request.solo()) {
    return state.batch == 0;
  }
  return state.solo == 0 && !state.reserved_for_solo &&
         state.batch < BatchLimit(state) &&
         (!std::holds_alternative<OnlineFirst>(options_.dispatch) ||
          state.load() < BatchLimit(state));
}

void Scheduler::OnRequest(PendingRequest pending, TimePoint now) {
  if (waiting_.count(RequestKey(pending)) > 0) {
    return;  // A repetition; the first copy is still queued.
  }
  const std::string name = PoolName(pending.request);
  Pool& pool = pools_[name];
  host_last_contact_.try_emplace(pending.request.origin(), now);
  int64_t wait_ms = 0;
  const bool queue_empty =
      pool.online.empty() && (!pending.request.batch() || pool.batch.empty());
  if (queue_empty && TryGrant(pending, now)) {
    return;
  }
  if (TryForward(pending, now)) {
    return;
  }
  if (pending.request.hops() > 0 && !AnyServes(pending.request, now)) {
    // Forwarded to this domain, which has no usable server for it any more.
    Refuse(pending, ErrorCode::kNotFound,
           "no server of this failure domain can run the request", 0);
    return;
  }
  if (!pending.request.batch() &&
      CannotMeetDeadline(pool, pending, now, wait_ms)) {
    Refuse(pending, ErrorCode::kOverloaded,
           "the queue is too long for the request's deadline; nothing was run",
           wait_ms);
    return;
  }
  const std::string account = pending.request.account();
  const double weight =
      pending.request.weight() > 0 ? pending.request.weight() : 1;
  waiting_.insert(RequestKey(pending));
  auto& queue =
      !pending.request.batch()
          ? pool.online
          : (pending.request.urgent() ? pool.urgent_batch : pool.batch);
  if (std::holds_alternative<FirstCome>(options_.dispatch)) {
    // A single queue for all requests, in the order of arrival.
    pool.online.Push("", 1, std::move(pending));
  } else {
    // A solo request may wait long for a server without other batch work. Its
    // own queue keeps it from blocking the other requests of the account.
    const std::string queue_key =
        pending.request.solo() ? account + "\nsolo" : account;
    queue.Push(queue_key, weight, std::move(pending));
  }
  DispatchPool(pool, now);
}

bool Scheduler::AnyServes(const proto::SlotRequest& request,
                          TimePoint now) const {
  return std::any_of(backends_.all().begin(), backends_.all().end(),
                     [&](const auto& entry) {
                       return Serves(entry.second, request) &&
                              !IsAvoided(request, entry.first) &&
                              backends_.Usable(entry.second, now);
                     });
}

uint32_t Scheduler::PoolSlots(const proto::SlotRequest& request,
                              TimePoint now) const {
  uint32_t slots = 0;
  for (const auto& [id, state] : backends_.all()) {
    if (Serves(state, request) && backends_.Usable(state, now)) {
      slots += state.info.slots();
    }
  }
  return slots;
}

// Estimates the wait from the queue's length and how long slots are held.
bool Scheduler::CannotMeetDeadline(const Pool& pool,
                                   const PendingRequest& pending, TimePoint now,
                                   int64_t& wait_ms) {
  const uint32_t slots = PoolSlots(pending.request, now);
  if (slots == 0) {
    // No usable server: one may announce itself, so wait until the deadline.
    return false;
  }
  const double wait_s =
      pool.hold_s * static_cast<double>(pool.online.size() + 1) / slots;
  const auto estimate =
      std::chrono::duration_cast<milliseconds>(FromSeconds(wait_s));
  if (now + estimate <= pending.deadline) {
    return false;
  }
  wait_ms = std::max<int64_t>(
      kMinRetryAfterMs, (now + estimate - pending.deadline) / milliseconds(1));
  return true;
}

bool Scheduler::TryGrant(const PendingRequest& pending, TimePoint now) {
  std::vector<RoutingCandidate> candidates;
  std::vector<BackendState*> states;
  double quickest_ms = 0;
  for (auto& [id, state] : backends_.all()) {
    if (!Serves(state, pending.request) || IsAvoided(pending.request, id)) {
      continue;
    }
    RoutingCandidate& candidate = candidates.emplace_back();
    candidate.backend = id;
    candidate.in_flight = state.load();
    candidate.reported = state.info.running() + state.info.waiting();
    candidate.has_capacity = HasCapacity(state, pending.request, now);
    candidate.holds_prefix =
        backends_.HoldsPrefix(state, pending.request.prefix_hash(), now);
    candidate.backlog_ms =
        static_cast<double>(RemainingMs(state.prefills_done_at, now));
    states.push_back(&state);
    if (state.first_byte_ms > 0 &&
        (quickest_ms == 0 || state.first_byte_ms < quickest_ms)) {
      quickest_ms = state.first_byte_ms;
    }
  }
  for (size_t i = 0; i < candidates.size(); ++i) {
    const bool slow = states[i]->first_byte_ms > kSlowFactor * quickest_ms;
    candidates[i].penalty = quickest_ms > 0 && slow ? kSlowPenalty : 0;
  }
  const std::optional<size_t> chosen = ChooseBackend(
      options_.routing, candidates, pending.request.prefix_hash(), routing_);
  if (!chosen) {
    return false;
  }
  stats_.prefix_hits += candidates[*chosen].holds_prefix ? 1 : 0;
  Grant(pending, *states[*chosen], candidates[*chosen].holds_prefix, now);
  return true;
}

void Scheduler::Grant(const PendingRequest& pending, BackendState& state,
                      bool prefix_hit, TimePoint now) {
  waiting_.erase(RequestKey(pending));
  const uint64_t number = next_slot_++;
  Slot& slot = slots_[number];
  slot.host = pending.request.origin();
  slot.backend = state.info.id();
  slot.pool = PoolName(pending.request);
  slot.batch = pending.request.batch();
  slot.solo = pending.request.solo();
  slot.granted_at = now;
  slot.prefix_hit = prefix_hit;
  slot.was_idle = state.in_flight() == 0;
  const double prefill_ms = prefix_hit ? routing_.hit_ms : routing_.miss_ms;
  state.prefills_done_at =
      std::max(now, state.prefills_done_at) + FromSeconds(prefill_ms / 1'000);
  state.pending_prefixes[pending.request.prefix_hash()] = now;
  (slot.batch ? state.batch : state.online) += 1;
  state.solo += slot.solo ? 1 : 0;
  state.reserved_for_solo = state.reserved_for_solo && !slot.solo;
  state.probing = true;
  (slot.batch ? stats_.granted_batch : stats_.granted_online) += 1;
  SEQ_CHECK(state.in_flight() <= state.info.slots(),
            state.info.id() << " runs " << state.in_flight()
                            << " requests, slots: " << state.info.slots());
  actions_.emplace_back(
      GrantSlot{slot.host, pending.request.request_id(), number, state.info});
}

void Scheduler::Refuse(const PendingRequest& pending, ErrorCode code,
                       const std::string& detail, int64_t retry_after_ms) {
  ++stats_.refused;
  waiting_.erase(RequestKey(pending));
  Error error{code, detail, RunState::kNotRun, retry_after_ms};
  actions_.emplace_back(RefuseSlot{pending.request.origin(),
                                   pending.request.request_id(),
                                   std::move(error)});
}

bool Scheduler::TryForward(const PendingRequest& pending, TimePoint now) {
  if (pending.request.hops() > 0) {
    return false;
  }
  const std::string pool = PoolName(pending.request);
  RemoteLoad* best = nullptr;
  const std::string* best_domain = nullptr;
  for (auto& [key, load] : remote_loads_) {
    const auto& failed_domains = pending.request.avoid_domains();
    const auto failed_servers = static_cast<uint32_t>(
        std::count(failed_domains.begin(), failed_domains.end(), key.first));
    const bool valid = key.second == pool && failed_servers < load.servers &&
                       now < load.received_at + options_.remote_load_validity;
    // Batch leaves the same headroom in other domains as in its own.
    const uint32_t reserved = pending.request.batch() ? load.slots / 4 : 0;
    if (valid && load.free_slots > reserved &&
        (best == nullptr || load.free_slots > best->free_slots)) {
      best = &load;
      best_domain = &key.first;
    }
  }
  if (best == nullptr) {
    return false;
  }
  // A forwarded request takes a free slot until that domain's next load report.
  best->free_slots -= 1;
  ++stats_.forwarded;
  waiting_.erase(RequestKey(pending));
  ForwardRequest forward{*best_domain, pending.request};
  forward.request.set_hops(1);
  forward.request.set_remaining_ms(RemainingMs(pending.deadline, now));
  actions_.emplace_back(std::move(forward));
  return true;
}

void Scheduler::DispatchQueued(TimePoint now) {
  for (auto& [name, pool] : pools_) {
    DispatchPool(pool, now);
  }
}

void Scheduler::DispatchPool(Pool& pool, TimePoint now) {
  const auto grant = [this, now](const PendingRequest& pending) {
    return TryGrant(pending, now);
  };
  while (pool.online.TakeFirst(grant)) {
  }
  if (!pool.online.empty()) {
    RevokeBatchForOnline(pool, now);
    return;
  }
  while (pool.urgent_batch.TakeFirst(grant)) {
  }
  while (pool.batch.TakeFirst(grant)) {
  }
}

// Revokes one batch slot for each queued online request.
void Scheduler::RevokeBatchForOnline(Pool& pool, TimePoint now) {
  if (!std::holds_alternative<OnlineFirst>(options_.dispatch)) {
    return;
  }
  std::string name;
  for (const auto& [pool_name, candidate] : pools_) {
    if (&candidate == &pool) {
      name = pool_name;
    }
  }
  while (pool.revoking < pool.online.size() && RevokeOneBatchSlot(name, now)) {
    ++pool.revoking;
  }
}

// Revokes the youngest batch slot on the server that runs the most batch work:
// the youngest has the least progress to lose.
bool Scheduler::RevokeOneBatchSlot(const std::string& pool_name,
                                   TimePoint now) {
  Slot* youngest = nullptr;
  uint64_t number = 0;
  uint32_t most_batch = 0;
  for (auto& [id, slot] : slots_) {
    if (!slot.batch || slot.revoking || slot.pool != pool_name) {
      continue;
    }
    const BackendState* state = backends_.Find(slot.backend);
    if (state == nullptr || !backends_.Usable(*state, now)) {
      continue;
    }
    const uint32_t batch = state->batch - state->revoking;
    const bool better =
        youngest == nullptr || batch > most_batch ||
        (batch == most_batch && slot.granted_at >= youngest->granted_at);
    if (better) {
      youngest = &slot;
      number = id;
      most_batch = batch;
    }
  }
  if (youngest == nullptr) {
    return false;
  }
  youngest->revoking = true;
  backends_.Find(youngest->backend)->revoking += 1;
  ++stats_.revoked;
  actions_.emplace_back(RevokeSlot{youngest->host, number});
  return true;
}

void Scheduler::FreeSlot(std::map<uint64_t, Slot>::iterator slot,
                         TimePoint now) {
  const Slot& held = slot->second;
  BackendState* state = backends_.Find(held.backend);
  if (state != nullptr) {
    uint32_t& count = held.batch ? state->batch : state->online;
    SEQ_CHECK(count > 0, held.backend << " has no request in flight to end");
    --count;
    state->solo -= held.solo ? 1 : 0;
    state->revoking -= held.revoking ? 1 : 0;
  }
  const auto pool = pools_.find(held.pool);
  if (pool != pools_.end()) {
    if (held.revoking && pool->second.revoking > 0) {
      --pool->second.revoking;
    }
    if (!held.batch) {
      const double held_s = ToSeconds(now - held.granted_at);
      pool->second.hold_s += kHoldSmoothing * (held_s - pool->second.hold_s);
    }
  }
  slots_.erase(slot);
}

void Scheduler::OnRelease(const proto::SlotRelease& release, TimePoint now) {
  backends_.OnOutcome(release, now);
  const auto slot = slots_.find(release.slot());
  if (slot == slots_.end()) {
    return;
  }
  UpdateFirstTokenEstimate(slot->second, release);
  FreeSlot(slot, now);
  DispatchQueued(now);
}

// Updates the estimated times to first token, separately for cached prefixes
// and others, from requests that were granted on an idle server.
void Scheduler::UpdateFirstTokenEstimate(const Slot& slot,
                                         const proto::SlotRelease& release) {
  if (!slot.was_idle || release.failed() || release.first_byte_ms() == 0) {
    return;
  }
  double& estimate = slot.prefix_hit ? routing_.hit_ms : routing_.miss_ms;
  estimate += kFirstTokenSmoothing * (release.first_byte_ms() - estimate);
}

void Scheduler::OnCancel(const std::string& origin, uint64_t request_id,
                         TimePoint now) {
  const auto matches = [&](const PendingRequest& pending) {
    return pending.request.request_id() == request_id &&
           pending.request.origin() == origin;
  };
  for (auto& [name, pool] : pools_) {
    for (auto* queue : {&pool.online, &pool.urgent_batch, &pool.batch}) {
      queue->RemoveIf(matches, [this](const PendingRequest& pending) {
        waiting_.erase(RequestKey(pending));
      });
    }
  }
  (void)now;
}

void Scheduler::OnHeldSlots(const std::string& host,
                            const proto::SlotsHeld& held, TimePoint now) {
  host_last_contact_[host] = now;
  std::map<uint64_t, const proto::SlotsHeld::Held*> listed;
  for (const auto& slot : held.held()) {
    listed[slot.slot()] = &slot;
  }
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    const auto current = slot++;
    const bool young = now < current->second.granted_at + options_.slot_grace;
    if (current->second.host == host && !young &&
        listed.count(current->first) == 0) {
      FreeSlot(current, now);
    }
  }
  // Slots granted by an earlier dispatcher of this domain are adopted.
  for (const auto& [number, entry] : listed) {
    BackendState* state = backends_.Find(entry->backend());
    if (slots_.count(number) > 0 || state == nullptr) {
      continue;
    }
    if (state->in_flight() >= state->info.slots()) {
      continue;
    }
    Slot& slot = slots_[number];
    slot.host = host;
    slot.backend = entry->backend();
    slot.pool = entry->service();
    slot.batch = entry->batch();
    slot.solo = entry->solo();
    slot.granted_at = now;
    (slot.batch ? state->batch : state->online) += 1;
    state->solo += slot.solo ? 1 : 0;
  }
  DispatchQueued(now);
}

void Scheduler::OnAnnounce(const proto::Backend& backend, TimePoint now) {
  if (backends_.OnAnnounce(backend, now)) {
    // The earlier process of this server has ended, with all its requests.
    for (auto slot = slots_.begin(); slot != slots_.end();) {
      const auto current = slot++;
      if (current->second.backend == backend.id()) {
        FreeSlot(current, now);
      }
    }
  }
  DispatchQueued(now);
}

void Scheduler::OnRemoteLoad(const proto::DomainLoad& load, TimePoint now) {
  for (const auto& service : load.services()) {
    const std::string model = service.models().empty() ? "" : service.models(0);
    const std::string pool = service.service() + '\n' + model;
    remote_loads_[{load.failure_domain(), pool}] = RemoteLoad{
        service.free_slots(), service.slots(), service.servers(), now};
  }
}

void Scheduler::DropExpired(Pool& pool, TimePoint now) {
  const auto expired = [now](const PendingRequest& pending) {
    return now >= pending.deadline;
  };
  const auto refuse = [this, &pool](const PendingRequest& pending) {
    const auto hold_ms = static_cast<int64_t>(pool.hold_s * 1000);
    Refuse(pending, ErrorCode::kOverloaded,
           "no backend server had a free slot before the request's deadline; "
           "nothing was run",
           std::max(kMinRetryAfterMs, hold_ms));
  };
  pool.online.RemoveIf(expired, refuse);
  pool.urgent_batch.RemoveIf(expired, refuse);
  pool.batch.RemoveIf(expired, refuse);
}

void Scheduler::Tick(TimePoint now) {
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    const auto current = slot++;
    const auto last_contact = host_last_contact_.find(current->second.host);
    const bool unresponsive =
        last_contact == host_last_contact_.end() ||
        now >= last_contact->second + options_.host_timeout;
    if (unresponsive &&
        now >= current->second.granted_at + options_.host_timeout) {
      FreeSlot(current, now);
    }
  }
  for (auto& [name, pool] : pools_) {
    DropExpired(pool, now);
    // Other domains may have free slots by now for requests queued here.
    const auto forward = [this, now](const PendingRequest& pending) {
      return TryForward(pending, now);
    };
    while (pool.online.TakeFirst(forward)) {
    }
    while (pool.batch.TakeFirst(forward)) {
    }
  }
  backends_.RemoveExpired(now);
  ReserveForSolo(now);
  DispatchQueued(now);
}

// Reserves one server for each queued solo request, so that no other batch work
// is granted there. At most a quarter of the servers, but at least one, can be
// reserved at a time.
void Scheduler::ReserveForSolo(TimePoint now) {
  for (auto& [id, state] : backends_.all()) {
    state.reserved_for_solo = false;
  }
  size_t remaining =
      std::max<size_t>(1, backends_.all().size() / kServersPerSoloReservation);
  const auto reserve = [this, now, &remaining](const PendingRequest& pending) {
    if (!pending.request.solo() || remaining == 0) {
      return;
    }
    BackendState* emptiest = nullptr;
    for (auto& [id, state] : backends_.all()) {
      const bool fits =
          Serves(state, pending.request) && !IsAvoided(pending.request, id) &&
          backends_.Usable(state, now) && !state.reserved_for_solo;
      if (fits && (emptiest == nullptr || state.batch < emptiest->batch)) {
        emptiest = &state;
      }
    }
    if (emptiest != nullptr) {
      emptiest->reserved_for_solo = true;
      --remaining;
    }
  };
  for (auto& [name, pool] : pools_) {
    pool.urgent_batch.ForEach(reserve);
    pool.batch.ForEach(reserve);
  }
}

void Scheduler::RefuseQueued(TimePoint now) {
  (void)now;
  const auto all = [](const PendingRequest& /*pending*/) { return true; };
  const auto refuse = [this](const PendingRequest& pending) {
    Refuse(pending, ErrorCode::kShuttingDown,
           "the dispatcher is stopping; repeat the request", 0);
  };
  for (auto& [name, pool] : pools_) {
    pool.online.RemoveIf(all, refuse);
    pool.urgent_batch.RemoveIf(all, refuse);
    pool.batch.RemoveIf(all, refuse);
  }
}

std::vector<DispatchAction> Scheduler::TakeActions() {
  std::vector<DispatchAction> out = std::move(actions_);
  actions_.clear();
  return out;
}

proto::DomainLoad Scheduler::Load(TimePoint now) const {
  std::map<std::string, proto::DomainLoad::ServiceLoad> loads;
  for (const auto& [id, state] : backends_.all()) {
    if (!backends_.Usable(state, now)) {
      continue;
    }
    std::vector<std::string> models(state.info.models().begin(),
                                    state.info.models().end());
    if (models.empty()) {
      models.emplace_back();
    }
    for (const std::string& model : models) {
      auto& load = loads[state.info.service() + '\n' + model];
      load.set_service(state.info.service());
      if (load.models().empty() && !model.empty()) {
        load.add_models(model);
      }
      const uint32_t slots = state.info.slots();
      load.set_servers(load.servers() + 1);
      load.set_slots(load.slots() + slots);
      load.set_free_slots(load.free_slots() +
                          (slots > state.load() ? slots - state.load() : 0));
    }
  }
  proto::DomainLoad out;
  for (auto& [pool, load] : loads) {
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
      load.set_queued(static_cast<uint32_t>(found->second.online.size()));
    }
    *out.add_services() = load;
  }
  return out;
}

size_t Scheduler::queued_online() const {
  size_t sum = 0;
  for (const auto& [name, pool] : pools_) {
    sum += pool.online.size();
  }
  return sum;
}

size_t Scheduler::queued_batch() const {
  size_t sum = 0;
  for (const auto& [name, pool] : pools_) {
    sum += pool.batch.size() + pool.urgent_batch.size();
  }
  return sum;
}

}  // namespace sequoialb
