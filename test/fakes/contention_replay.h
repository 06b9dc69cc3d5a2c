// Replays an overload of a whole deployment, in which callers of many fronts
// compete for the slots of shared servers, and compares policies of admission.
// The fronts choose servers with the product's BackendPool, order waiting
// requests with its WaitingQueue and know each other's load from reports that
// are 30 to 100 ms old. Replayed on virtual time.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>

#include "gateway/admission_policy.h"
#include "gateway/backend_pool.h"
#include "gateway/waiting_queue.h"

namespace sequoialb::contention {

inline constexpr int kFronts = 58;
inline constexpr int kServers = 90;
inline constexpr int kDomains = 4;
inline constexpr uint32_t kSlots = 8;
// A server queues this many requests beyond its slots and refuses more.
inline constexpr size_t kServerQueue = 24;
inline constexpr int kAccounts = 12;
inline constexpr int kLargeAccounts = 2;
inline constexpr int kTargetMs = 300;
inline constexpr int kDeadlineMs = 5'000;
inline constexpr int kReportMs = 30;
inline constexpr int kDomainReportMs = 60;
inline constexpr int kDispatchMs = 15;
// From a server's slot to the answer's first event, and from a front to it.
inline constexpr int kFirstEventMs = 25;
inline constexpr int kNetworkMs = 3;
inline constexpr double kNormalPerSecond = 500;
// The overload lasts from kBurstMs to kBurstEndMs, the slowness of two servers
// in five from kSlowMs to kSlowEndMs.
inline constexpr int kBurstMs = 4'000;
inline constexpr int kBurstEndMs = 10'000;
inline constexpr int kSlowMs = 5'000;
inline constexpr int kSlowEndMs = 9'000;
inline constexpr int kRunMs = 14'000;
// The first second fills the servers and is not counted.
inline constexpr int kCountedFromMs = 1'000;
inline constexpr double kBurstFactor = 2.2;
inline constexpr double kLargeFactor = 8;
inline constexpr double kSlowFactor = 3;
inline constexpr int kItemMinMs = 4'000;
inline constexpr int kItemMaxMs = 6'000;
// What answers are worth to callers, a timely answer to a first attempt
// being 1.
inline constexpr double kRetryValue = 0.58;
inline constexpr double kLateValue = 0.15;

inline TimePoint At(int ms) {
  return TimePoint(seconds(1'000)) + milliseconds(ms);
}

// What the fronts decide about waiting requests.
struct Policy {
  const char* name;
  bool refuse_when_full = false;
  bool ranked = true;
  std::function<WaitLimits(bool returning)> limits;
  bool limit_by_rate = true;
  // While requests wait at several fronts, a front takes the last slot of an
  // unassigned server only if its own request has freed it.
  bool own_slots = false;
  // Callers that return after a refusal get fewer slots than new ones.
  bool new_first = false;
};

// What happens to load reports between fronts.
struct Faults {
  // Each report is lost, or arrives a second time a little later, with this
  // probability.
  double lost = 0;
  double duplicated = 0;
  // Reports take this much longer.
  int late_ms = 0;
};

struct Counts {
  int asked = 0;
  int in_time = 0;
  int in_time_retry = 0;
  int late = 0;
  int refused = 0;
  int refused_again = 0;

  double Value() const {
    return in_time + kRetryValue * in_time_retry + kLateValue * late;
  }
  int Timely() const { return in_time + in_time_retry; }
  int Served() const { return in_time + in_time_retry + late; }
};

struct Outcome {
  // Large accounts, then small ones, over the whole run.
  std::array<Counts, 2> groups;
  // All accounts while requests arrive faster, and while as usual before that;
  // by the time of the answer or refusal.
  Counts overload;
  Counts normal;
  int items_started = 0;
  int items_stopped = 0;
  int items_done = 0;
  int queued_at_servers = 0;

  double Value() const { return groups[0].Value() + groups[1].Value(); }
};

class Replay {
 public:
  Replay(Policy policy, uint64_t seed, const Faults& faults = {})
      : policy_(std::move(policy)), faults_(faults), random_(seed) {
    for (int i = 0; i < kFronts; ++i) {
      Front& front =
          fronts_.emplace_back(seed * 1'000 + static_cast<uint64_t>(i));
      front.weight = 0.3 + 1.4 * Draw();
      weights_.push_back(front.weight);
    }
    for (int i = 0; i < kFronts; ++i) {
      std::vector<UsableBackend> usable;
      for (int s = 0; s < kServers; ++s) {
        usable.push_back({Name(s),
                          "s",
                          {"127.0.0.1", 1},
                          s % kDomains == i % kDomains,
                          s % kFronts == i,
                          kSlots,
                          false});
      }
      fronts_[Index(i)].pool.SetUsable(usable);
      fronts_[Index(i)].pool.SetPeers(kFronts - 1);
    }
    servers_.resize(kServers);
  }

  Outcome Run() {
    for (now_ = 0; now_ < kRunMs + kDeadlineMs; ++now_) {
      RunEvents();
      Arrive();
      for (int i = 0; i < kFronts; ++i) {
        Tick(i);
      }
    }
    return outcome_;
  }

 private:
  struct Request {
    int front = 0;
    int account = 0;
    int first_at = 0;
    int arrived_at = 0;
    int sent_at = 0;
    int server = 0;
    bool returning = false;
    bool item = false;
    bool stopped = false;
    bool streaming = false;
    std::set<std::string> avoid;
  };

  struct Front {
    explicit Front(uint64_t seed) : pool(seed, WeightedRandom{}) {}

    BackendPool pool;
    WaitingQueue queue;
    double weight = 1;
    int active = 0;
    Duration mean_hold{0};
    bool slot_freed = false;
    // Batch items that run here, by server.
    std::multimap<int, size_t> items;
    LoadReport last_report;
  };

  struct Server {
    int running = 0;
    std::deque<size_t> queue;
  };

  static size_t Index(int i) { return static_cast<size_t>(i); }
  static std::string Name(int server) { return "e" + std::to_string(server); }
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  int DrawMs(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  void Later(int ms, std::function<void()> event) {
    events_.emplace(now_ + ms, std::move(event));
  }
  void RunEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }
  bool InBurst() const { return now_ >= kBurstMs && now_ < kBurstEndMs; }
  double SlowFactor(int server) const {
    return server % 5 < 2 && now_ >= kSlowMs && now_ < kSlowEndMs ? kSlowFactor
                                                                  : 1;
  }

  void Arrive() {
    if (now_ >= kRunMs) {
      return;
    }
    const double burst = InBurst() ? kBurstFactor : 1;
    for (int account = 0; account < kAccounts; ++account) {
      const bool large = account < kLargeAccounts;
      const double per_ms = kNormalPerSecond / kAccounts / 1'000 *
                            (large && InBurst() ? kLargeFactor : burst);
      for (int n = std::poisson_distribution<int>(per_ms)(random_); n > 0;
           --n) {
        Request request;
        request.front = std::discrete_distribution<int>(
            weights_.begin(), weights_.end())(random_);
        request.account = account;
        request.first_at = now_;
        requests_.push_back(request);
        Count(requests_.back(), [](Counts& c) { ++c.asked; });
        OnRequest(requests_.size() - 1);
      }
    }
  }

  void Count(const Request& request, const std::function<void(Counts&)>& add) {
    if (now_ < kCountedFromMs) {
      return;
    }
    add(outcome_.groups[request.account < kLargeAccounts ? 0 : 1]);
    if (now_ >= kBurstMs + 500 && now_ < kBurstEndMs) {
      add(outcome_.overload);
    } else if (now_ < kBurstMs) {
      add(outcome_.normal);
    }
  }

  void OnRequest(size_t number) {
    Request& request = requests_[number];
    request.arrived_at = now_;
    Front& front = fronts_[Index(request.front)];
    if ((policy_.ranked && !front.queue.empty()) || !TrySend(number)) {
      Enqueue(number);
    }
  }

  bool TrySend(size_t number) {
    Request& request = requests_[number];
    Front& front = fronts_[Index(request.front)];
    const auto choice = front.pool.ChooseOnline("s", request.avoid, At(now_),
                                                SlotsFor(front, request));
    if (!choice) {
      return false;
    }
    const int server = std::stoi(choice->backend.substr(1));
    if (choice->stop_item && !StopItemAt(front, server)) {
      return false;
    }
    request.server = server;
    request.sent_at = now_;
    ++front.active;
    front.pool.RecordSent(choice->backend, false, At(now_));
    Later(kNetworkMs, [this, number] { ReachServer(number); });
    return true;
  }

  SlotUse SlotsFor(const Front& front, const Request& request) const {
    return SlotsToUse(milliseconds(now_ - request.arrived_at),
                      policy_.own_slots && front.pool.IsContended(At(now_)),
                      front.pool.HoldsSlots());
  }

  bool StopItemAt(Front& front, int server) {
    const auto found = front.items.find(server);
    if (found == front.items.end()) {
      return false;
    }
    Request& item = requests_[found->second];
    item.stopped = true;
    front.items.erase(found);
    front.pool.RecordEnded(Name(server), true, item.streaming);
    ++outcome_.items_stopped;
    Later(kNetworkMs, [this, server] { Leave(server); });
    return true;
  }

  void ReachServer(size_t number) {
    Request& request = requests_[number];
    Server& server = servers_[Index(request.server)];
    if (server.running < static_cast<int>(kSlots)) {
      Begin(number);
    } else if (server.queue.size() < kServerQueue) {
      outcome_.queued_at_servers += request.item ? 0 : 1;
      server.queue.push_back(number);
    } else {
      Later(kNetworkMs, [this, number] { OnFull(number); });
    }
  }

  void Begin(size_t number) {
    Request& request = requests_[number];
    ++servers_[Index(request.server)].running;
    const double slow = SlowFactor(request.server);
    const auto first = static_cast<int>(kFirstEventMs * slow) + kNetworkMs;
    const int base =
        request.item ? DrawMs(kItemMinMs, kItemMaxMs) : DrawMs(600, 900);
    const auto hold = static_cast<int>(base * slow);
    Later(first, [this, number] { FirstEvent(number); });
    Later(hold, [this, number] {
      if (!requests_[number].stopped) {
        Leave(requests_[number].server);
      }
    });
    Later(hold + kNetworkMs, [this, number] { OnComplete(number); });
  }

  void Leave(int server) {
    Server& state = servers_[Index(server)];
    --state.running;
    while (!state.queue.empty() && state.running < static_cast<int>(kSlots)) {
      const size_t next = state.queue.front();
      state.queue.pop_front();
      Begin(next);
    }
  }

  void FirstEvent(size_t number) {
    Request& request = requests_[number];
    if (request.stopped) {
      return;
    }
    Front& front = fronts_[Index(request.front)];
    request.streaming = true;
    const std::string server = Name(request.server);
    const Server& state = servers_[Index(request.server)];
    BackendLoad load;
    load.running = static_cast<uint32_t>(state.running);
    load.waiting = static_cast<uint32_t>(state.queue.size());
    front.pool.RecordProgress(server, true, At(now_));
    front.pool.RecordServerLoad(server, load, At(now_));
    if (request.item) {
      return;
    }
    const bool in_time = now_ - request.arrived_at <= kTargetMs;
    Count(request, [&](Counts& c) {
      ++(!in_time ? c.late : request.returning ? c.in_time_retry : c.in_time);
    });
  }

  void OnComplete(size_t number) {
    const Request& request = requests_[number];
    if (request.stopped) {
      return;
    }
    Front& front = fronts_[Index(request.front)];
    front.pool.RecordEnded(Name(request.server), request.item, true);
    front.pool.RecordSlotFreed(Name(request.server), At(now_));
    front.slot_freed = true;
    if (request.item) {
      ++outcome_.items_done;
      for (auto it = front.items.begin(); it != front.items.end(); ++it) {
        if (it->second == number) {
          front.items.erase(it);
          break;
        }
      }
      return;
    }
    --front.active;
    const Duration held = milliseconds(now_ - request.sent_at);
    front.mean_hold +=
        front.mean_hold.count() == 0 ? held : (held - front.mean_hold) / 16;
  }

  void OnFull(size_t number) {
    Request& request = requests_[number];
    Front& front = fronts_[Index(request.front)];
    front.pool.RecordEnded(Name(request.server), request.item, false);
    front.pool.RecordFull(Name(request.server), At(now_));
    if (request.item) {
      return;
    }
    --front.active;
    request.avoid.insert(Name(request.server));
    if (!TrySend(number)) {
      Enqueue(number);
    }
  }

  ServiceRate Rate(const Front& front) const {
    return {static_cast<size_t>(front.active), front.mean_hold};
  }

  void Enqueue(size_t number) {
    const Request& request = requests_[number];
    Front& front = fronts_[Index(request.front)];
    if (policy_.refuse_when_full) {
      Refuse(number);
      return;
    }
    const TimePoint arrived_at = At(request.arrived_at);
    WaitingRequest entry;
    entry.request = number;
    entry.service = "s";
    entry.account = std::to_string(request.account);
    entry.send_by = policy_.ranked ? arrived_at + milliseconds(kTargetMs - 40)
                                   : TimePoint::max();
    if (!policy_.ranked) {
      entry.account = "";
    }
    entry.returning = policy_.new_first && request.returning;
    const WaitLimits limits = policy_.limits(request.returning);
    const TimePoint deadline = At(request.first_at + kDeadlineMs);
    entry.expires_at = std::min(deadline, arrived_at + limits.held);
    const TimePoint admitted_until =
        std::min(entry.expires_at, arrived_at + limits.admitted);
    if (policy_.limit_by_rate &&
        CannotMeetDeadline(
            Rate(front),
            front.queue.Ahead(!policy_.new_first || request.returning,
                              At(now_)),
            admitted_until - At(now_))) {
      Refuse(number);
      return;
    }
    front.queue.Add(std::move(entry));
  }

  void Refuse(size_t number) {
    const Request& request = requests_[number];
    Count(request, [&](Counts& c) {
      ++(request.returning ? c.refused_again : c.refused);
    });
    if (request.returning) {
      return;
    }
    Front& front = fronts_[Index(request.front)];
    const auto delay = static_cast<int>(
        RetryDelay(Rate(front), front.queue.size(), Draw()).count());
    const int left = kDeadlineMs - (now_ - request.first_at);
    Later(std::min(delay, left / 3), [this, number] {
      Request again;
      again.account = requests_[number].account;
      again.first_at = requests_[number].first_at;
      again.returning = true;
      again.front = std::discrete_distribution<int>(weights_.begin(),
                                                    weights_.end())(random_);
      requests_.push_back(again);
      OnRequest(requests_.size() - 1);
    });
  }

  void Tick(int i) {
    Front& front = fronts_[Index(i)];
    if (front.slot_freed || (now_ + i) % kDispatchMs == 0) {
      front.slot_freed = false;
      Dispatch(front);
    }
    if ((now_ + i * 7) % kReportMs == 0) {
      Report(i);
      for (const std::string& server : front.pool.ItemsToStop(At(now_))) {
        StopItemAt(front, std::stoi(server.substr(1)));
      }
      StartItem(i);
    }
    if (i < kDomains && (now_ + i * 13) % kDomainReportMs == 0) {
      ReportDomain(i);
    }
  }

  void Dispatch(Front& front) {
    for (const uint64_t expired : front.queue.TakeExpired(At(now_))) {
      Refuse(expired);
    }
    if (front.queue.empty()) {
      return;
    }
    bool full = false;
    for (const uint64_t number : front.queue.Order(At(now_))) {
      const bool avoids = !requests_[number].avoid.empty();
      if (full && !avoids) {
        continue;
      }
      if (TrySend(number)) {
        front.queue.RecordServed(number);
      } else if (!avoids) {
        full = true;
      }
    }
  }

  void SendReport(int ms, const std::function<void()>& deliver) {
    if (faults_.lost == 0 || Draw() >= faults_.lost) {
      Later(ms + faults_.late_ms, deliver);
    }
    if (faults_.duplicated > 0 && Draw() < faults_.duplicated) {
      Later(ms + faults_.late_ms + DrawMs(0, kReportMs), deliver);
    }
  }

  void Report(int i) {
    Front& front = fronts_[Index(i)];
    LoadReport report;
    report.requests = front.pool.OwnRequests();
    report.waiting = static_cast<uint32_t>(front.queue.size());
    front.last_report = report;
    SendReport(DrawMs(10, 40), [this, i, report] {
      for (int other = i % kDomains; other < kFronts; other += kDomains) {
        if (other != i) {
          fronts_[Index(other)].pool.RecordPeerLoad("f" + std::to_string(i),
                                                    report, At(now_));
        }
      }
    });
  }

  // The front with the least number of each domain is its relay.
  void ReportDomain(int domain) {
    LoadReport sum;
    sum.fronts = 0;
    for (int i = domain; i < kFronts; i += kDomains) {
      sum.Add(fronts_[Index(i)].last_report);
    }
    SendReport(DrawMs(30, 60), [this, domain, sum] {
      for (int other = 0; other < kFronts; ++other) {
        if (other % kDomains != domain) {
          fronts_[Index(other)].pool.RecordPeerLoad(
              "domain/" + std::to_string(domain), sum, At(now_));
        }
      }
    });
  }

  // There is always an item to run.
  void StartItem(int i) {
    Front& front = fronts_[Index(i)];
    const auto choice = front.pool.ChooseItem("s", At(now_));
    if (!choice || front.items.size() >= 2) {
      return;
    }
    Request item;
    item.front = i;
    item.item = true;
    item.server = std::stoi(choice->backend.substr(1));
    item.sent_at = now_;
    requests_.push_back(item);
    front.items.emplace(item.server, requests_.size() - 1);
    front.pool.RecordSent(choice->backend, true, At(now_));
    ++outcome_.items_started;
    Later(kNetworkMs,
          [this, number = requests_.size() - 1] { ReachServer(number); });
  }

  Policy policy_;
  Faults faults_;
  std::mt19937_64 random_;
  int now_ = 0;
  std::deque<Front> fronts_;
  std::vector<double> weights_;
  std::vector<Server> servers_;
  std::deque<Request> requests_;
  std::multimap<int, std::function<void()>> events_;
  Outcome outcome_;
};

inline void Print(const char* name, const Counts& c) {
  std::cout << "  " << name << ": asked " << c.asked << ", in time "
            << c.in_time << ", in time on retry " << c.in_time_retry
            << ", late " << c.late << ", refused " << c.refused
            << ", refused again " << c.refused_again << "\n";
}

inline Outcome RunPolicy(const Policy& policy, const Faults& faults = {}) {
  const Outcome outcome = Replay(policy, 1, faults).Run();
  std::cout << policy.name << ": value " << outcome.Value()
            << ", queued at servers " << outcome.queued_at_servers
            << ", items started " << outcome.items_started << ", stopped "
            << outcome.items_stopped << ", done " << outcome.items_done << "\n";
  Print("large accounts", outcome.groups[0]);
  Print("small accounts", outcome.groups[1]);
  Print("during overload", outcome.overload);
  Print("before", outcome.normal);
  std::cout << std::flush;
  return outcome;
}

inline WaitLimits Earlier(bool returning) {
  const auto target = milliseconds(kTargetMs);
  return returning ? WaitLimits{target * 5, target * 5}
                   : WaitLimits{target * 133 / 100, target * 2};
}

inline WaitLimits Present(bool returning) {
  return WaitLimitsOf(returning, milliseconds(kTargetMs));
}

inline const Policy kPresent{"present", false, true, Present, true, true, true};
// The product before this replay was written.
inline const Policy kEarlier{"earlier", false, true, Earlier,
                             true,      false, false};
inline const Policy kFirstCome{
    "first come, first served", false, false,
    [](bool) -> WaitLimits {
      return {milliseconds(kDeadlineMs), milliseconds(kDeadlineMs)};
    },
    false};
inline const Policy kRefuse{"refuse when full", true, true, Earlier, true};

inline constexpr double kOverloadSeconds =
    (kBurstEndMs - kBurstMs - 500) / 1'000.0;
inline constexpr double kNormalSeconds = (kBurstMs - kCountedFromMs) / 1'000.0;

// Timely answers a second.
inline double TimelyBefore(const Outcome& outcome) {
  return outcome.normal.Timely() / kNormalSeconds;
}
inline double TimelyDuringOverload(const Outcome& outcome) {
  return outcome.overload.Timely() / kOverloadSeconds;
}

}  // namespace sequoialb::contention
