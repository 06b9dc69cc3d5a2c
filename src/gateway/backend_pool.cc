#include "gateway/backend_pool.h"

#include <algorithm>
#include <cmath>

#include "gateway/stall_policy.h"

namespace sequoialb {
namespace {

// A server's own report counts in full for this long, then fades.
constexpr milliseconds kReportFresh{50};
constexpr milliseconds kReportEnds{1'500};
// Another front's word counts for this long; it comes every 200 ms at least.
constexpr milliseconds kPeerFresh{600};
// Slots of the home servers together that items leave free, for the online
// requests of the moment in which an item is being stopped.
constexpr double kItemReserve = 2;
// Items keep out of slots that another front waited for this long.
constexpr milliseconds kYieldTime{300};
// A failing server is left alone this long, doubled with each failure.
constexpr milliseconds kAvoidFirst{250};
constexpr uint32_t kAvoidDoublings = 4;
// A server that said it was full is left alone this long.
constexpr milliseconds kFullPause{60};
// Slots that a server away from home must have free, so that requests that
// other fronts have just sent there find room.
constexpr double kAwaySpare = 1;
// Weight of the newest pause in a server's usual one.
constexpr int kPauseMemory = 8;

}  // namespace

void BackendPool::SetUsable(const std::vector<UsableBackend>& usable) {
  for (auto& [id, load] : loads_) {
    load.usable = false;
  }
  for (const UsableBackend& backend : usable) {
    Load& load = loads_[backend.id];
    load.backend = backend;
    load.usable = true;
  }
  for (auto it = loads_.begin(); it != loads_.end();) {
    const Load& load = it->second;
    const bool done = !load.usable && load.online + load.items == 0;
    it = done ? loads_.erase(it) : std::next(it);
  }
}

double BackendPool::Others(const Load& load, TimePoint now) const {
  double told = 0;
  size_t fresh = 0;
  for (const auto& [front, peer] : front_loads_) {
    if (now - peer.reported_at > kPeerFresh) {
      continue;
    }
    ++fresh;
    const auto found = peer.requests.find(load.backend.id);
    told += found == peer.requests.end() ? 0 : found->second;
  }
  const auto age = now - load.reported_at;
  double reported = load.others;
  if (age > kReportFresh) {
    const double left =
        ToSeconds(kReportEnds - age) / ToSeconds(kReportEnds - kReportFresh);
    reported = fresh >= peers_ ? 0 : load.others * std::max(0.0, left);
  }
  return std::max(told, reported);
}

double BackendPool::Busy(const Load& load, TimePoint now) const {
  return static_cast<double>(load.online + load.items) + Others(load, now);
}

bool BackendPool::Open(const Load& load, const std::string& service,
                       TimePoint now) {
  return load.usable && load.backend.service == service &&
         now >= load.avoid_until &&
         !IsQuiet(load.streaming, load.heard_at, load.usual_pause, now);
}

BackendPool::Step BackendPool::StepOf(const Load& load) {
  const bool cold = load.backend.cold;
  if (load.backend.home) {
    return cold ? Step::kHomeCold : Step::kHome;
  }
  if (load.backend.own_domain) {
    return cold ? Step::kOwnDomainCold : Step::kOwnDomain;
  }
  return cold ? Step::kOtherCold : Step::kOther;
}

std::optional<Choice> BackendPool::ChooseOnline(
    const std::string& service, const std::set<std::string>& avoid,
    TimePoint now, bool pressed) {
  std::vector<const Load*> best;
  std::vector<double> room;
  const Load* stoppable = nullptr;
  for (const auto& [id, load] : loads_) {
    if (!Open(load, service, now) || avoid.count(id) > 0) {
      continue;
    }
    const auto slots = static_cast<double>(load.backend.slots);
    const double busy = Busy(load, now);
    const double spare = load.backend.home || pressed ? 0 : kAwaySpare;
    const double free = slots - busy - spare;
    if (free < 1) {
      const bool fits =
          load.items > 0 && busy - static_cast<double>(load.items) + 1 <= slots;
      if (fits && (stoppable == nullptr || load.items > stoppable->items)) {
        stoppable = &load;
      }
      continue;
    }
    if (!best.empty() && StepOf(load) > StepOf(*best.front())) {
      continue;
    }
    if (!best.empty() && StepOf(load) < StepOf(*best.front())) {
      best.clear();
      room.clear();
    }
    best.push_back(&load);
    room.push_back(free);
  }
  // An item at home gives way before a request crosses to another domain.
  const bool far = !best.empty() && !best.front()->backend.own_domain;
  if (stoppable != nullptr && (best.empty() || far)) {
    return Choice{stoppable->backend.id, stoppable->backend.address, true};
  }
  if (best.empty()) {
    return std::nullopt;
  }
  // Of its home servers a front knows the load.
  const bool home = best.front()->backend.home;
  const Load& chosen = *best[SpreadTo(
      home ? SpreadPolicy(EmptiestServer{}) : spread_, room, random_)];
  return Choice{chosen.backend.id, chosen.backend.address, false};
}

void BackendPool::PeerReported(const std::string& front,
                               std::map<std::string, uint32_t> requests,
                               uint32_t waiting, TimePoint now) {
  front_loads_[front] = {now, std::move(requests), waiting};
}

// What other fronts wait for is shared out among their peers.
double BackendPool::ItemReserve(TimePoint now) const {
  double wanted = 0;
  for (const auto& [front, peer] : front_loads_) {
    wanted += now - peer.reported_at <= kYieldTime ? peer.waiting : 0;
  }
  return kItemReserve +
         std::ceil(wanted / static_cast<double>(std::max<size_t>(1, peers_)));
}

double BackendPool::HomeFree(TimePoint now) const {
  double free = 0;
  for (const auto& [id, load] : loads_) {
    if (load.backend.home && Open(load, load.backend.service, now)) {
      free += std::max(
          0.0, static_cast<double>(load.backend.slots) - Busy(load, now));
    }
  }
  return free;
}

std::vector<std::string> BackendPool::ItemsToYield(TimePoint now) const {
  std::vector<std::string> yield;
  if (ItemReserve(now) <= kItemReserve) {
    return yield;
  }
  double lacking = ItemReserve(now) - HomeFree(now);
  std::map<std::string, uint32_t> left;
  // From the server with most items first, one at a time.
  while (lacking >= 1) {
    const Load* most = nullptr;
    uint32_t most_items = 0;
    for (const auto& [id, load] : loads_) {
      const uint32_t items = left.count(id) > 0 ? left[id] : load.items;
      if (load.usable && load.backend.home && items > most_items) {
        most = &load;
        most_items = items;
      }
    }
    if (most == nullptr) {
      break;
    }
    left[most->backend.id] = most_items - 1;
    yield.push_back(most->backend.id);
    lacking -= 1;
  }
  return yield;
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
  if (HomeFree(now) < ItemReserve(now) + 1) {
    return std::nullopt;
  }
  const Load* best = nullptr;
  double best_free = 0;
  for (const auto& [id, load] : loads_) {
    if (!Open(load, service, now) || !load.backend.home) {
      continue;
    }
    const double free =
        static_cast<double>(load.backend.slots) - Busy(load, now);
    if (free >= 1 && (best == nullptr || free > best_free)) {
      best = &load;
      best_free = free;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return Choice{best->backend.id, best->backend.address, false};
}

size_t BackendPool::ItemRoom(TimePoint now) const {
  return static_cast<size_t>(std::max(0.0, HomeFree(now) - ItemReserve(now)));
}

std::string BackendPool::Summary(TimePoint now) const {
  size_t usable = 0;
  size_t home = 0;
  size_t avoided = 0;
  uint32_t online = 0;
  uint32_t items = 0;
  double home_free = 0;
  double all_free = 0;
  for (const auto& [id, load] : loads_) {
    if (!load.usable) {
      continue;
    }
    ++usable;
    avoided += now < load.avoid_until ? 1 : 0;
    online += load.online;
    items += load.items;
    const double free = std::max(
        0.0, static_cast<double>(load.backend.slots) - Busy(load, now));
    all_free += free;
    home += load.backend.home ? 1 : 0;
    home_free += load.backend.home ? free : 0;
  }
  return "servers=" + std::to_string(usable) + " home=" + std::to_string(home) +
         " avoided=" + std::to_string(avoided) +
         " online=" + std::to_string(online) +
         " items=" + std::to_string(items) +
         " free=" + std::to_string(static_cast<int>(all_free)) +
         " home_free=" + std::to_string(static_cast<int>(home_free)) +
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
         (load.backend.home ? " home" : " away");
}

void BackendPool::Sent(const std::string& backend, bool item) {
  Load& load = loads_[backend];
  ++(item ? load.items : load.online);
}

void BackendPool::Ended(const std::string& backend, bool item, bool heard) {
  Load& load = loads_[backend];
  uint32_t& count = item ? load.items : load.online;
  count -= count > 0 ? 1 : 0;
  load.streaming -= heard && load.streaming > 0 ? 1 : 0;
}

void BackendPool::Heard(const std::string& backend, bool first, TimePoint now) {
  Load& load = loads_[backend];
  if (!first) {
    load.usual_pause += (now - load.heard_at - load.usual_pause) / kPauseMemory;
  }
  load.streaming += first ? 1 : 0;
  load.heard_at = now;
}

bool BackendPool::Quiet(const std::string& backend, TimePoint now) const {
  const auto found = loads_.find(backend);
  return found != loads_.end() &&
         IsQuiet(found->second.streaming, found->second.heard_at,
                 found->second.usual_pause, now);
}

void BackendPool::Reported(const std::string& backend,
                           const BackendLoad& report, TimePoint now) {
  Load& load = loads_[backend];
  const double own = load.online + load.items;
  load.others =
      std::max(0.0, static_cast<double>(report.running) + report.waiting - own);
  load.reported_at = now;
}

void BackendPool::Full(const std::string& backend, TimePoint now) {
  Load& load = loads_[backend];
  load.avoid_until = std::max(load.avoid_until, now + kFullPause);
}

void BackendPool::Failed(const std::string& backend, TimePoint now) {
  Load& load = loads_[backend];
  load.avoid_until =
      now + kAvoidFirst * (1U << std::min(load.failures, kAvoidDoublings));
  ++load.failures;
}

void BackendPool::Succeeded(const std::string& backend) {
  loads_[backend].failures = 0;
}

}  // namespace sequoialb
