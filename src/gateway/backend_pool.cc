#include "gateway/backend_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gateway/stall_policy.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

// The load that a server reports counts in full for kReportFresh, then with a
// weight that falls to zero at kReportExpiry.
constexpr milliseconds kReportFresh{50};
constexpr milliseconds kReportExpiry{1'500};
// Slots that batch items leave free on all assigned servers together, for
// online requests that arrive while an item is being stopped.
constexpr double kItemReserve = 2;
// Slots that stay free on an unassigned server, for requests that other fronts
// have just sent there.
constexpr double kUnassignedReserve = 1;
// The same while requests wait at several fronts, of which more than one may
// send there before the next load reports. Of 1, 2 and 3 slots, 2 gave the most
// timely answers in contention_test.
constexpr double kContendedReserve = 2;
// Other fronts learn of a slot that this front's request has freed with the
// next load reports, which are at most this old when they arrive.
constexpr milliseconds kOwnSlotTime{100};
// Servers that have left are remembered up to this number; ids are rarely used
// again.
constexpr size_t kMaxLeaving = 4'096;
// Observations of speeds are taken in this often: the first gaps of a change
// are known after 40 to 160 ms. Each time costs one pass over all servers.
constexpr milliseconds kSpeedRefreshInterval{100};
// A change of a server's speed is logged at most this often for each server.
constexpr milliseconds kSpeedLogInterval{5'000};
// The newest gap changes the mean gap by one part in this many.
constexpr int kMeanGapDivisor = 8;

Choice ChoiceOf(const UsableBackend& backend, bool stop_item) {
  return {backend.id, backend.address, stop_item, backend.started_unix_ms};
}

}  // namespace

void BackendPool::SetUsable(const std::vector<UsableBackend>& usable) {
  for (auto& [id, load] : loads_) {
    load.usable = false;
  }
  for (const UsableBackend& backend : usable) {
    Load& load = loads_[backend.id];
    const bool restarted =
        load.backend.started_unix_ms != 0 &&
        load.backend.started_unix_ms != backend.started_unix_ms;
    if (restarted && load.backoff.RecordRestart()) {
      LogInfo("backend_used_again",
              {{"backend", backend.id}, {"reason", "it has started again"}});
    }
    if (restarted) {
      load.speed = ServerSpeed();
    }
    load.backend = backend;
    load.usable = true;
    cold_.Update(backend.id, backend.started_unix_ms, backend.cold_server);
    // A process with another start time, also an earlier one after its clock
    // was set back, has not said that it leaves.
    const auto left = leaving_.find(backend.id);
    load.leaving =
        left != leaving_.end() && left->second == backend.started_unix_ms;
  }
  for (auto it = loads_.begin(); it != loads_.end();) {
    const Load& load = it->second;
    const bool done = !load.usable && load.online + load.items == 0;
    it = done ? loads_.erase(it) : std::next(it);
  }
}

double BackendPool::RequestsOfOthers(const Load& load, TimePoint now) const {
  peer_loads_.Expire(now);
  const double peer_requests = peer_loads_.RequestsAt(load.backend.id);
  const auto age = now - load.reported_at;
  double reported = load.others;
  if (age > kReportFresh) {
    const double weight = ToSeconds(kReportExpiry - age) /
                          ToSeconds(kReportExpiry - kReportFresh);
    reported = peer_loads_.fronts() >= peers_
                   ? 0
                   : load.others * std::max(0.0, weight);
  }
  return std::max(peer_requests, reported);
}

double BackendPool::BusySlots(const Load& load, TimePoint now) const {
  return static_cast<double>(load.online + load.items) +
         RequestsOfOthers(load, now);
}

bool BackendPool::HasOwnSlot(const Load& load, TimePoint now) {
  return load.own_slots > 0 && now < load.own_slot_until;
}

double BackendPool::UnassignedReserve(const Load& load, SlotUse slots_to_use,
                                      TimePoint now) {
  if (slots_to_use == SlotUse::kOwn) {
    return HasOwnSlot(load, now) ? 0 : kContendedReserve;
  }
  return slots_to_use == SlotUse::kLast ? 0 : kUnassignedReserve;
}

bool BackendPool::HoldsSlots() const {
  return std::any_of(loads_.begin(), loads_.end(),
                     [](const auto& entry) { return entry.second.online > 0; });
}

bool BackendPool::IsEligible(const Load& load, const std::string& service,
                             TimePoint now) const {
  return load.usable && !load.leaving && load.backend.service == service &&
         !load.backoff.IsActive(now) && !HasStalled(load, now) &&
         cold_.MaySend(load.backend.id, now);
}

double BackendPool::UsableSlots(const Load& load, TimePoint now) const {
  const double slots = load.backend.slots;
  return cold_.IsCold(load.backend.id, now) ? std::min(1.0, slots) : slots;
}

BackendPool::Tier BackendPool::TierOf(const Load& load) {
  const bool cold = load.backend.cold;
  if (load.backend.assigned) {
    return cold ? Tier::kAssignedCold : Tier::kAssigned;
  }
  if (load.backend.local) {
    return cold ? Tier::kLocalCold : Tier::kLocal;
  }
  return cold ? Tier::kRemoteCold : Tier::kRemote;
}

std::optional<Choice> BackendPool::ChooseOnline(
    const std::string& service, const std::set<std::string>& avoid,
    TimePoint now, SlotUse slots_to_use) {
  RefreshSpeeds(now);
  std::vector<const Load*> best;
  Rank best_rank;
  std::vector<double> free_slots;
  const Load* stoppable = nullptr;
  bool stoppable_refuses = false;
  for (const auto& [id, load] : loads_) {
    if (!IsEligible(load, service, now) || avoid.count(id) > 0) {
      continue;
    }
    const double slots = CapacityOf(load);
    const double busy = BusySlots(load, now);
    const Rank rank = RankOf(load, now);
    const double reserve =
        load.backend.assigned ? 0 : UnassignedReserve(load, slots_to_use, now);
    const double free = slots - busy - reserve;
    if (free < 1) {
      const bool fits =
          load.items > 0 && busy - static_cast<double>(load.items) + 1 <= slots;
      if (fits && (stoppable == nullptr || rank.refuses < stoppable_refuses ||
                   (rank.refuses == stoppable_refuses &&
                    load.items > stoppable->items))) {
        stoppable = &load;
        stoppable_refuses = rank.refuses;
      }
      continue;
    }
    if (!best.empty() && best_rank < rank) {
      continue;
    }
    if (!best.empty() && rank < best_rank) {
      best.clear();
      free_slots.clear();
    }
    best_rank = rank;
    best.push_back(&load);
    free_slots.push_back(free * SpeedOf(load, now));
  }
  // Stopping a batch item is preferred to using a remote server.
  const bool remote = !best.empty() && !best.front()->backend.local;
  if (stoppable != nullptr &&
      (best.empty() || (best_rank.refuses && !stoppable_refuses) ||
       (remote && best_rank.refuses == stoppable_refuses))) {
    return ChoiceOf(stoppable->backend, true);
  }
  if (best.empty()) {
    return std::nullopt;
  }
  // The load of its assigned servers is known to the front.
  const bool assigned = best_rank.tier <= Tier::kAssignedCold;
  const Load& chosen = *best[PickServer(
      assigned ? SpreadPolicy(MostFreeSlots{}) : spread_, free_slots, random_)];
  return ChoiceOf(chosen.backend, false);
}

void BackendPool::RecordPeerLoad(const std::string& source, LoadReport report,
                                 TimePoint now) {
  peer_loads_.Record(source, std::move(report), now);
}

// The slots that a front waits for are divided equally among its peers.
double BackendPool::ItemReserve(TimePoint now) const {
  const double wanted = peer_loads_.Waiting(now);
  double slots = 0;
  for (const auto& [id, load] : loads_) {
    slots += load.usable && load.backend.assigned ? UsableSlots(load, now) : 0;
  }
  // One slot is left to items: where all servers together have no more slots
  // than the reserve, no item would ever run.
  return std::min(kItemReserve, std::max(0.0, slots - 1)) +
         std::ceil(wanted / static_cast<double>(std::max<size_t>(1, peers_)));
}

double BackendPool::AssignedFreeSlots(TimePoint now) const {
  double free = 0;
  for (const auto& [id, load] : loads_) {
    if (load.backend.assigned && IsEligible(load, load.backend.service, now)) {
      free += std::clamp(CapacityOf(load) - BusySlots(load, now), 0.0,
                         UsableSlots(load, now));
    }
  }
  return free;
}

std::vector<std::string> BackendPool::ItemsToStop(TimePoint now) const {
  std::vector<std::string> to_stop;
  if (peer_loads_.Waiting(now) == 0) {
    return to_stop;
  }
  double shortage = ItemReserve(now) - AssignedFreeSlots(now);
  std::map<std::string, uint32_t> remaining_items;
  // Stops one item at a time at the server that has the most items left.
  while (shortage >= 1) {
    const Load* most = nullptr;
    uint32_t most_items = 0;
    for (const auto& [id, load] : loads_) {
      const uint32_t items =
          remaining_items.count(id) > 0 ? remaining_items[id] : load.items;
      // A slot freed at a cold server could not be used at once.
      if (load.usable && load.backend.assigned && items > most_items &&
          !cold_.IsCold(id, now)) {
        most = &load;
        most_items = items;
      }
    }
    if (most == nullptr) {
      break;
    }
    remaining_items[most->backend.id] = most_items - 1;
    to_stop.push_back(most->backend.id);
    shortage -= 1;
  }
  return to_stop;
}

std::map<std::string, uint32_t> BackendPool::OwnRequests() const {
  std::map<std::string, uint32_t> own;
  for (const auto& [id, load] : loads_) {
    if (load.online + load.items > 0) {
      own[id] = load.online + load.items;
    }
  }
  return own;
}

std::optional<Choice> BackendPool::ChooseItem(const std::string& service,
                                              TimePoint now) const {
  if (AssignedFreeSlots(now) < ItemReserve(now) + 1) {
    return std::nullopt;
  }
  const Load* best = nullptr;
  double best_weight = 0;
  for (const auto& [id, load] : loads_) {
    if (!IsEligible(load, service, now) || !load.backend.assigned) {
      continue;
    }
    const double free = CapacityOf(load) - BusySlots(load, now);
    const double weight = free * SpeedOf(load, now);
    if (free >= 1 && (best == nullptr || weight > best_weight)) {
      best = &load;
      best_weight = weight;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return ChoiceOf(best->backend, false);
}

size_t BackendPool::FreeItemSlots(TimePoint now) const {
  return static_cast<size_t>(
      std::max(0.0, AssignedFreeSlots(now) - ItemReserve(now)));
}

std::string BackendPool::Summary(TimePoint now) const {
  size_t usable = 0;
  size_t assigned = 0;
  size_t avoided = 0;
  size_t leaving = 0;
  uint32_t online = 0;
  uint32_t items = 0;
  double assigned_free = 0;
  double all_free = 0;
  for (const auto& [id, load] : loads_) {
    if (!load.usable) {
      continue;
    }
    ++usable;
    leaving += load.leaving ? 1 : 0;
    avoided += load.backoff.IsActive(now) ? 1 : 0;
    online += load.online;
    items += load.items;
    const double free = std::max(0.0, CapacityOf(load) - BusySlots(load, now));
    all_free += free;
    assigned += load.backend.assigned ? 1 : 0;
    assigned_free += load.backend.assigned ? free : 0;
  }
  return "servers=" + std::to_string(usable) +
         " assigned=" + std::to_string(assigned) +
         " avoided=" + std::to_string(avoided) +
         " leaving=" + std::to_string(leaving) +
         " cold=" + std::to_string(cold_.ColdServers(now)) +
         " online=" + std::to_string(online) +
         " items=" + std::to_string(items) +
         " free=" + std::to_string(static_cast<int>(all_free)) +
         " assigned_free=" + std::to_string(static_cast<int>(assigned_free)) +
         " reserve=" + std::to_string(static_cast<int>(ItemReserve(now)));
}

std::string BackendPool::Describe(const std::string& backend,
                                  TimePoint now) const {
  const auto found = loads_.find(backend);
  if (found == loads_.end()) {
    return "unknown";
  }
  const Load& load = found->second;
  return "online=" + std::to_string(load.online) +
         " items=" + std::to_string(load.items) +
         " others=" + std::to_string(static_cast<int>(load.others)) +
         " age_ms=" + std::to_string(RemainingMs(now, load.reported_at)) +
         (load.backend.assigned ? " assigned" : " unassigned");
}

void BackendPool::RecordSent(const std::string& backend, bool item,
                             TimePoint now) {
  cold_.RecordSent(backend, now);
  Load& load = loads_[backend];
  if (load.backoff.RecordSent()) {
    LogInfo("backend_used_again",
            {{"backend", backend}, {"reason", "its time is over"}});
  }
  ++(item ? load.items : load.online);
  load.own_slots -= load.own_slots > 0 ? 1 : 0;
}

void BackendPool::RecordEnded(const std::string& backend, bool item,
                              bool streaming) {
  Load& load = loads_[backend];
  uint32_t& count = item ? load.items : load.online;
  count -= count > 0 ? 1 : 0;
  load.streaming -= streaming && load.streaming > 0 ? 1 : 0;
}

void BackendPool::RecordSlotFreed(const std::string& backend, TimePoint now) {
  Load& load = loads_[backend];
  load.own_slots = (HasOwnSlot(load, now) ? load.own_slots : 0) + 1;
  load.own_slot_until = now + kOwnSlotTime;
}

void BackendPool::RecordProgress(const std::string& backend, bool first,
                                 TimePoint now) {
  Load& load = loads_[backend];
  if (!first) {
    load.mean_gap +=
        (now - load.last_progress_at - load.mean_gap) / kMeanGapDivisor;
  }
  load.streaming += first ? 1 : 0;
  load.last_progress_at = now;
}

bool BackendPool::IsStalled(const std::string& backend, TimePoint now) const {
  const auto found = loads_.find(backend);
  return found != loads_.end() && HasStalled(found->second, now);
}

bool BackendPool::HasStalled(const Load& load, TimePoint now) const {
  return IsServerStalled(
      load.streaming, load.last_progress_at, load.mean_gap,
      ExtraReadingTime(load.unread_tokens, SpeedOf(load, now)), now);
}

void BackendPool::AddUnread(const std::string& backend, uint64_t tokens) {
  // The sum of sizes that callers state could overflow.
  uint64_t& unread = loads_[backend].unread_tokens;
  unread += std::min(tokens, std::numeric_limits<uint64_t>::max() - unread);
}

void BackendPool::RemoveUnread(const std::string& backend, uint64_t tokens) {
  uint64_t& unread = loads_[backend].unread_tokens;
  unread -= std::min(tokens, unread);
}

Duration BackendPool::ReadingTime(const std::string& backend,
                                  uint64_t prompt_tokens, TimePoint now) const {
  return ExtraReadingTime(prompt_tokens, Speed(backend, now));
}

Duration BackendPool::ReadingTimeOfAll(const std::string& backend,
                                       uint64_t prompt_tokens,
                                       TimePoint now) const {
  const auto found = loads_.find(backend);
  const uint64_t unread =
      found == loads_.end() ? 0 : found->second.unread_tokens;
  return ReadingTime(backend, std::max(prompt_tokens, unread), now);
}

bool BackendPool::IsAnswering(const std::string& backend, TimePoint now) const {
  const auto found = loads_.find(backend);
  return found != loads_.end() && found->second.streaming > 0 &&
         !HasStalled(found->second, now);
}

void BackendPool::RecordServerLoad(const std::string& backend,
                                   const BackendLoad& report, TimePoint now) {
  Load& load = loads_[backend];
  const double own = load.online + load.items;
  load.others =
      std::max(0.0, static_cast<double>(report.running) + report.waiting - own);
  load.reported_at = now;
  if (learn_speeds_ && report.work_percent) {
    load.speed.RecordWork(*report.work_percent, now);
  }
}

void BackendPool::RecordGap(const std::string& backend, Duration gap,
                            Duration target, TimePoint now) {
  if (!learn_speeds_) {
    return;
  }
  Load& load = loads_[backend];
  load.speed.RecordGap(gap, BusySlots(load, now), target, now);
  RefreshSpeeds(now);
}

void BackendPool::RecordFirstEvent(const std::string& backend, Duration time,
                                   uint64_t prompt_tokens, Duration target,
                                   TimePoint now) {
  if (!learn_speeds_) {
    return;
  }
  Load& load = loads_[backend];
  load.speed.RecordFirstEvent(time, prompt_tokens, BusySlots(load, now),
                              load.backend.slots, target, now);
}

double BackendPool::Speed(const std::string& backend, TimePoint now) const {
  const auto found = loads_.find(backend);
  return found == loads_.end() ? 1 : SpeedOf(found->second, now);
}

std::map<std::string, ReportedSpeed> BackendPool::OwnSpeeds(
    TimePoint now) const {
  std::map<std::string, ReportedSpeed> speeds;
  for (const auto& [id, load] : loads_) {
    const uint32_t percent = learn_speeds_ ? load.speed.OwnPercent(now) : 0;
    if (percent > 0) {
      speeds[id] = {percent, 1};
    }
  }
  return speeds;
}

BackendPool::SpeedCounts BackendPool::CountSpeeds() const {
  SpeedCounts counts;
  for (const auto& [id, load] : loads_) {
    const bool counted = load.usable && learn_speeds_;
    counts.limited += counted && load.speed.limited() ? 1 : 0;
    counts.slow += counted && load.speed.slow() ? 1 : 0;
  }
  return counts;
}

double BackendPool::CapacityOf(const Load& load) const {
  return learn_speeds_ ? load.speed.limit(load.backend.slots)
                       : static_cast<double>(load.backend.slots);
}

double BackendPool::SpeedOf(const Load& load, TimePoint now) const {
  return learn_speeds_ ? load.speed.speed(now) : 1;
}

BackendPool::Rank BackendPool::RankOf(const Load& load, TimePoint now) const {
  if (!learn_speeds_) {
    return {false, TierOf(load)};
  }
  Tier tier = TierOf(load);
  if (load.speed.late() && load.backend.assigned) {
    tier = load.backend.cold ? Tier::kLocalCold : Tier::kLocal;
  }
  return {load.speed.IsRefusing(now), tier};
}

void BackendPool::RefreshSpeeds(TimePoint now) {
  const Duration elapsed = now - speeds_refreshed_at_;
  if (!learn_speeds_ || elapsed < kSpeedRefreshInterval) {
    return;
  }
  speeds_refreshed_at_ = now;
  peer_loads_.Expire(now);
  const std::map<std::string, ReportedSpeed> speeds = peer_loads_.Speeds();
  const auto reported = [&](const std::string& id) {
    const auto found = speeds.find(id);
    return found == speeds.end() ? ReportedSpeed() : found->second;
  };
  std::map<std::string, std::vector<Duration>> gaps;
  for (const auto& [id, load] : loads_) {
    const auto gap = load.speed.ObservedGap(reported(id), now);
    if (load.usable && gap) {
      gaps[load.backend.service].push_back(*gap);
    }
  }
  for (auto& [service, observed] : gaps) {
    Duration& reference = reference_gaps_[service];
    reference = ReferenceGap(std::move(observed), reference, elapsed);
  }
  for (auto& [id, load] : loads_) {
    const auto found = reference_gaps_.find(load.backend.service);
    if (load.usable) {
      load.speed.Refresh(
          found == reference_gaps_.end() ? Duration(0) : found->second,
          reported(id), BusySlots(load, now), load.backend.slots,
          load.backend.assigned, now);
      LogSpeed(load, now);
    }
  }
}

void BackendPool::LogSpeed(Load& load, TimePoint now) {
  const bool slow = load.speed.slow();
  const auto limit = static_cast<uint32_t>(CapacityOf(load));
  const uint32_t logged =
      load.logged_limit == 0 ? load.backend.slots : load.logged_limit;
  if ((slow == load.logged_slow && limit == logged) || now < load.next_log_at) {
    return;
  }
  load.logged_slow = slow;
  load.logged_limit = limit;
  load.next_log_at = now + kSpeedLogInterval;
  LogInfo("backend_speed",
          {{"backend", load.backend.id},
           {"class", slow ? "slow" : "usual"},
           {"speed_percent",
            std::to_string(std::lround(100 * load.speed.speed(now)))},
           {"limit", std::to_string(limit)},
           {"slots", std::to_string(load.backend.slots)},
           {"load", Describe(load.backend.id, now)}});
}

bool BackendPool::RecordLeaving(const std::string& backend) {
  Load& load = loads_[backend];
  if (load.leaving) {
    return false;
  }
  load.leaving = true;
  leaving_[backend] = load.backend.started_unix_ms;
  if (leaving_.size() > kMaxLeaving) {
    leaving_.erase(std::min_element(
        leaving_.begin(), leaving_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return true;
}

void BackendPool::RecordFull(const std::string& backend, TimePoint now) {
  loads_[backend].backoff.RecordFull(now);
}

void BackendPool::RecordRefused(const std::string& backend, TimePoint now) {
  Load& load = loads_[backend];
  load.backoff.RecordFull(now);
  if (learn_speeds_) {
    load.speed.RecordRefused(BusySlots(load, now), load.backend.slots, now);
  }
}

void BackendPool::RecordFailure(const std::string& backend,
                                ServerFailure failure, TimePoint now) {
  Load& load = loads_[backend];
  if (learn_speeds_ && (failure == ServerFailure::kBroken ||
                        failure == ServerFailure::kStalled)) {
    load.speed.RecordTruncated(BusySlots(load, now), load.backend.slots, now);
  }
  ServerBackoff& backoff = load.backoff;
  if (backoff.RecordFailure(now)) {
    LogInfo("backend_avoided",
            {{"backend", backend},
             {"reason", std::string(ServerFailureName(failure))},
             {"for_ms", std::to_string(RemainingMs(backoff.until(), now))},
             {"failures", std::to_string(backoff.failures())}});
  }
}

void BackendPool::RecordSuccess(const std::string& backend) {
  loads_[backend].backoff.RecordSuccess();
}

}  // namespace sequoialb
