// Replays loads on servers that differ in speed, on virtual time, with 58
// fronts and 90 servers whose knowledge of each other is 30 to 100 ms old,
// under the policies that docs/design/server-speed.md compares.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <queue>
#include <set>

#include "gateway/backend_pool.h"
#include "gateway/stall_policy.h"

namespace sequoialb::speed_replay {

constexpr int kFronts = 58;
constexpr int kServers = 90;
constexpr int kDomains = 5;
constexpr uint32_t kSlots = 8;
constexpr size_t kServerQueue = 24;
constexpr int kEvents = 18;
constexpr int kRequestsPerSecond = 500;
constexpr double kRunMs = 8'000;
// Answers to requests of the first second are not counted.
constexpr double kCountFromMs = 1'000;
constexpr double kLatencyTargetMs = 300;
constexpr double kGapTargetMs = 400;
// Reports are sent this often and take this long, so that knowledge of other
// fronts is 30 to 100 ms old.
constexpr int kReportIntervalMs = 60;
constexpr double kReportDelayMs = 35;
constexpr double kChunkTokens = 512;
constexpr uint32_t kMaxAttempts = 3;

enum class LoadKind : uint8_t {
  kUniform,
  kHalfAtHalfSpeed,
  kOneInSixSlow,
  kFluctuating,
  kCliff,
};
constexpr std::array<const char*, 5> kLoadNames = {
    "uniform", "half at half speed", "one in six 4x slow", "fluctuating",
    "cliff"};

enum class PolicyKind : uint8_t {
  kFixed,
  kAimd,
  kGradient,
  kLeastFinish,
  kPowerOfTwo,
  kProduct,
};
constexpr std::array<const char*, 6> kPolicyNames = {
    "fixed limits", "AIMD",         "delay gradient",
    "least finish", "power of two", "product"};

inline TimePoint At(double ms) {
  return TimePoint(seconds(1'000)) + FromSeconds(ms / 1'000);
}

inline std::string Name(int server) { return "e" + std::to_string(server); }
inline int Index(const std::string& name) { return std::stoi(name.substr(1)); }
inline int DomainOfFront(int front) { return front % kDomains; }
inline int DomainOfServer(int server) { return server % kDomains; }
// The servers of a domain are assigned to its fronts in turn.
inline int AssignedFront(int server) {
  const int domain = DomainOfServer(server);
  const int fronts = (kFronts - domain + kDomains - 1) / kDomains;
  return domain + kDomains * (server / kDomains % fronts);
}

// Chooses servers at one front. The times are in milliseconds.
class Chooser {
 public:
  virtual ~Chooser() = default;
  virtual int Choose(const std::set<std::string>& avoid, double now,
                     bool last_slot) = 0;
  virtual void Sent(int server) = 0;
  virtual void Ended(int server, bool begun) = 0;
  virtual void FirstEvent(int server, double time, double prompt,
                          double now) = 0;
  virtual void Gap(int server, double gap, double now) = 0;
  virtual void Full(int server, double now) = 0;
  virtual void Stalled(int server, double now) = 0;
  virtual void State(int server, const BackendLoad& load, double now) = 0;
  virtual LoadReport Report(double now) = 0;
  virtual LoadReport SumOfDomain(const std::vector<std::string>& peers,
                                 double now) = 0;
  virtual void Reported(const std::string& source, const LoadReport& report,
                        double now) = 0;
  virtual bool ServerStalled(int server, double now) = 0;
  // The learned speed by which the time to a retry is extended.
  virtual double Speed(int /*server*/, double /*now*/) { return 1; }
};

// The product's BackendPool, with and without learned speeds.
class PoolChooser : public Chooser {
 public:
  PoolChooser(int front, bool learn) : pool_(static_cast<uint64_t>(front) + 1) {
    std::vector<UsableBackend> usable;
    for (int server = 0; server < kServers; ++server) {
      usable.push_back({Name(server),
                        "s",
                        {"127.0.0.1", 1},
                        DomainOfServer(server) == DomainOfFront(front),
                        AssignedFront(server) == front,
                        kSlots,
                        false});
    }
    pool_.SetUsable(usable);
    pool_.SetPeers(kFronts - 1);
    pool_.LearnSpeeds(learn);
  }

  int Choose(const std::set<std::string>& avoid, double now,
             bool last_slot) override {
    const auto choice = pool_.ChooseOnline(
        "s", avoid, At(now), last_slot ? SlotUse::kLast : SlotUse::kSpare);
    return choice ? Index(choice->backend) : -1;
  }
  // The time matters for cold servers only; none is cold.
  void Sent(int server) override {
    pool_.RecordSent(Name(server), false, TimePoint());
  }
  void Ended(int server, bool begun) override {
    pool_.RecordEnded(Name(server), false, begun);
  }
  void FirstEvent(int server, double time, double prompt, double now) override {
    pool_.RecordFirstEvent(Name(server), FromSeconds(time / 1'000),
                           static_cast<uint64_t>(prompt),
                           FromSeconds(kLatencyTargetMs / 1'000), At(now));
    pool_.RecordProgress(Name(server), true, At(now));
  }
  void Gap(int server, double gap, double now) override {
    pool_.RecordGap(Name(server), FromSeconds(gap / 1'000),
                    FromSeconds(kLatencyTargetMs / 1'000), At(now));
    pool_.RecordProgress(Name(server), false, At(now));
  }
  void Full(int server, double now) override {
    pool_.RecordFull(Name(server), At(now));
  }
  void Stalled(int server, double now) override {
    pool_.RecordFailure(Name(server), ServerFailure::kStalled, At(now));
  }
  void State(int server, const BackendLoad& load, double now) override {
    pool_.RecordServerLoad(Name(server), load, At(now));
  }
  LoadReport Report(double now) override {
    LoadReport report;
    report.requests = pool_.OwnRequests();
    report.speeds = pool_.OwnSpeeds(At(now));
    return report;
  }
  LoadReport SumOfDomain(const std::vector<std::string>& peers,
                         double now) override {
    return pool_.SumOfReports(peers, At(now));
  }
  void Reported(const std::string& source, const LoadReport& report,
                double now) override {
    pool_.RecordPeerLoad(source, report, At(now));
  }
  bool ServerStalled(int server, double now) override {
    return pool_.IsStalled(Name(server), At(now));
  }
  double Speed(int server, double now) override {
    return pool_.Speed(Name(server), At(now));
  }

 private:
  BackendPool pool_;
};

// The policies that were compared with the product's, with the same knowledge:
// own requests and gaps, and those that other fronts report.
class SimpleChooser : public Chooser {
 public:
  SimpleChooser(int front, PolicyKind kind)
      : front_(front), kind_(kind), random_(static_cast<uint64_t>(front) + 1) {}

  int Choose(const std::set<std::string>& avoid, double now,
             bool last_slot) override {
    Refresh(now);
    std::vector<int> candidates;
    std::vector<double> weights;
    bool assigned_found = false;
    const bool tiers =
        kind_ == PolicyKind::kAimd || kind_ == PolicyKind::kGradient;
    for (int server = 0; server < kServers; ++server) {
      const ServerState& state = servers_[static_cast<size_t>(server)];
      const bool assigned = AssignedFront(server) == front_;
      const double free =
          Limit(state) - Busy(server) - (assigned || last_slot ? 0 : 1);
      if (free < 1 || now < state.avoid_until ||
          (!avoid.empty() && avoid.count(Name(server)) > 0)) {
        continue;
      }
      if (tiers && assigned && !assigned_found) {
        assigned_found = true;
        candidates.clear();
        weights.clear();
      }
      if (tiers && assigned_found && !assigned) {
        continue;
      }
      candidates.push_back(server);
      weights.push_back(Weight(server, free));
    }
    if (candidates.empty()) {
      return -1;
    }
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    if (kind_ == PolicyKind::kLeastFinish) {
      return candidates[static_cast<size_t>(
          std::max_element(weights.begin(), weights.end()) - weights.begin())];
    }
    const int first = candidates[pick(random_)];
    if (kind_ != PolicyKind::kPowerOfTwo) {
      return first;
    }
    const int second = candidates[pick(random_)];
    return Cost(first) <= Cost(second) ? first : second;
  }
  void Sent(int server) override { ++Of(server).own; }
  void Ended(int server, bool /*begun*/) override { --Of(server).own; }
  void FirstEvent(int server, double time, double /*prompt*/,
                  double now) override {
    if (time > kLatencyTargetMs) {
      Late(server, now);
    }
  }
  void Gap(int server, double gap, double now) override {
    ServerState& state = Of(server);
    state.gap += (gap - state.gap) / 4;
    state.gap_at = now;
    if (gap > kLatencyTargetMs / 3) {
      Late(server, now);
    }
  }
  void Full(int server, double now) override {
    Of(server).avoid_until = now + 60;
    Late(server, now);
  }
  void Stalled(int server, double now) override {
    Of(server).avoid_until = now + 250;
    Late(server, now);
  }
  void State(int /*server*/, const BackendLoad& /*load*/,
             double /*now*/) override {}
  LoadReport Report(double now) override {
    LoadReport report;
    for (int server = 0; server < kServers; ++server) {
      const ServerState& state = Of(server);
      if (state.own > 0) {
        report.requests[Name(server)] = static_cast<uint32_t>(state.own);
      }
      if (now - state.gap_at < 1'500) {
        report.speeds[Name(server)] = {static_cast<uint32_t>(4'000 / state.gap),
                                       1};
      }
    }
    return report;
  }
  LoadReport SumOfDomain(const std::vector<std::string>& peers,
                         double now) override {
    peers_.Expire(At(now));
    return peers_.Sum(peers);
  }
  void Reported(const std::string& source, const LoadReport& report,
                double now) override {
    peers_.Record(source, report, At(now));
  }
  bool ServerStalled(int /*server*/, double /*now*/) override { return false; }

 private:
  struct ServerState {
    int own = 0;
    double others = 0;
    double gap = 40;
    double gap_at = -10'000;
    // The gap by own observations and those of others.
    double known_gap = 40;
    double limit = kSlots;
    double late_at = -10'000;
    double avoid_until = 0;
  };

  ServerState& Of(int server) { return servers_[static_cast<size_t>(server)]; }
  double Busy(int server) const {
    const ServerState& state = servers_[static_cast<size_t>(server)];
    return state.own + state.others;
  }
  double Limit(const ServerState& state) const {
    return kind_ == PolicyKind::kAimd || kind_ == PolicyKind::kGradient
               ? std::floor(state.limit)
               : kSlots;
  }
  double Weight(int server, double free) const {
    const ServerState& state = servers_[static_cast<size_t>(server)];
    switch (kind_) {
      case PolicyKind::kLeastFinish:
        return 1 / (state.known_gap * (kEvents + 0.5 * Busy(server)));
      case PolicyKind::kPowerOfTwo:
        return 1 / state.known_gap;
      default:
        return free * free;
    }
  }
  double Cost(int server) const {
    return (Busy(server) + 1) * servers_[static_cast<size_t>(server)].known_gap;
  }
  void Late(int server, double now) {
    ServerState& state = Of(server);
    if (kind_ == PolicyKind::kAimd && now - state.late_at > 200) {
      state.limit = std::max(1.0, state.limit * 0.7);
      state.late_at = now;
    }
  }
  void Refresh(double now) {
    if (now - refreshed_at_ < 30) {
      return;
    }
    const double elapsed = now - refreshed_at_;
    refreshed_at_ = now;
    peers_.Expire(At(now));
    const auto speeds = peers_.Speeds();
    for (int server = 0; server < kServers; ++server) {
      ServerState& state = Of(server);
      state.others = peers_.RequestsAt(Name(server));
      const auto found = speeds.find(Name(server));
      const uint32_t percent =
          found == speeds.end() ? 0 : found->second.percent();
      const bool own = now - state.gap_at < 1'000;
      const double others = percent > 0 ? 4'000.0 / percent : 40;
      state.known_gap = own && percent > 0 ? (state.gap + others) / 2
                        : own              ? state.gap
                                           : others;
      if (kind_ == PolicyKind::kAimd && now - state.late_at > 500) {
        state.limit = std::min<double>(kSlots, state.limit + elapsed / 500);
      }
      if (kind_ == PolicyKind::kGradient) {
        // Twice the shortest gap is tolerated.
        const double gradient = std::clamp(80 / state.known_gap, 0.5, 1.0);
        const double wanted = state.limit * gradient + 1;
        state.limit = std::clamp<double>(
            state.limit + (wanted - state.limit) * elapsed / 300, 1, kSlots);
      }
    }
  }

  int front_;
  PolicyKind kind_;
  std::mt19937_64 random_;
  std::array<ServerState, kServers> servers_;
  PeerLoads peers_;
  double refreshed_at_ = -1'000;
};

struct Row {
  int counted = 0;
  int late = 0;
  int refused = 0;
  void Add(const Row& other) {
    counted += other.counted;
    late += other.late;
    refused += other.refused;
  }
  // Callers whose answer was late, incomplete or refused.
  double LatePercent() const { return 100.0 * (late + refused) / counted; }
  double LostPercent() const { return 100.0 * refused / counted; }
};

class Replay {
 public:
  Replay(PolicyKind policy, LoadKind load, uint64_t seed,
         int rate = kRequestsPerSecond)
      : load_(load), rate_(rate), random_(seed) {
    for (int front = 0; front < kFronts; ++front) {
      if (policy == PolicyKind::kFixed || policy == PolicyKind::kProduct) {
        fronts_.push_back(std::make_unique<PoolChooser>(
            front, policy == PolicyKind::kProduct));
      } else {
        fronts_.push_back(std::make_unique<SimpleChooser>(front, policy));
      }
    }
    for (int server = 0; server < kServers; ++server) {
      servers_[static_cast<size_t>(server)].step_ms =
          std::uniform_real_distribution<double>(2.2, 3.4)(random_);
      servers_[static_cast<size_t>(server)].read_rate =
          std::uniform_real_distribution<double>(61, 123)(random_);
    }
  }

  Row Run() {
    std::exponential_distribution<double> pause(rate_ / 1'000.0);
    double next_arrival = pause(random_);
    for (int ms = 0; ms < static_cast<int>(kRunMs); ++ms) {
      now_ = ms;
      for (int server = 0; server < kServers; ++server) {
        StepServer(server);
      }
      now_ = ms;
      SendReports(ms);
      DeliverReports();
      while (next_arrival <= now_) {
        Arrive();
        next_arrival += pause(random_);
      }
      if (ms % 15 == 0) {
        SendQueued();
      }
      if (ms % 30 == 0) {
        CheckStalls();
      }
    }
    return Count();
  }

 private:
  struct Request {
    double arrived = 0;
    int front = 0;
    double prompt = 0;
    // Tokens of the prompt that no server has cached.
    double uncached = 0;
    int server = -1;
    double sent = 0;
    uint32_t attempts = 0;
    // Of the current attempt.
    double unread = 0;
    int tokens_to_event = 0;
    bool begun = false;
    double last_event = 0;
    int events = 0;
    double first_event = -1;
    double longest_gap = 0;
    bool done = false;
    bool refused = false;
    std::set<std::string> avoid;
  };

  struct Server {
    double step_ms = 0;
    double read_rate = 0;
    double next_step = 0;
    std::vector<size_t> running;
    std::deque<size_t> waiting;
    double factor = 1;
    double factor_until = 0;
  };

  struct SentReport {
    int front = 0;
    // The report of the front's domain, for the fronts of other domains.
    bool domain = false;
    double arrives = 0;
    LoadReport report;
  };

  double Factor(int index, double now) {
    Server& server = servers_[static_cast<size_t>(index)];
    switch (load_) {
      case LoadKind::kUniform:
        return 1;
      case LoadKind::kHalfAtHalfSpeed:
        return index / kDomains % 2 == 0 ? 2 : 1;
      case LoadKind::kOneInSixSlow:
        return index % 6 == 0 && now >= 1'500 && now < 6'500 ? 4 : 1;
      case LoadKind::kFluctuating:
        if (now >= server.factor_until) {
          const double draw = Uniform(0, 1);
          server.factor = draw < 0.7 ? 1 : draw < 0.8 ? 2 : draw < 0.9 ? 3 : 5;
          server.factor_until = now + Uniform(80, 250);
        }
        return server.factor;
      case LoadKind::kCliff:
        return index / kDomains % 2 == 0 && server.running.size() > 4 ? 4 : 1;
    }
    return 1;
  }

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int EventTokens() {
    return std::uniform_int_distribution<int>(11, 17)(random_);
  }

  void StepServer(int index) {
    Server& server = servers_[static_cast<size_t>(index)];
    while (server.next_step <= now_ + 1) {
      while (server.running.size() < kSlots && !server.waiting.empty()) {
        server.running.push_back(server.waiting.front());
        server.waiting.pop_front();
      }
      if (server.running.empty()) {
        server.next_step = now_ + 1;
        return;
      }
      const double began = std::max(server.next_step, now_);
      double took =
          server.step_ms + 0.08 * static_cast<double>(server.running.size());
      for (const size_t number : server.running) {
        Request& request = requests_[number];
        if (request.unread > 0) {
          const double chunk = std::min(request.unread, kChunkTokens);
          request.unread -= chunk;
          took += chunk / server.read_rate;
          break;
        }
      }
      const double factor = Factor(index, began);
      const double ended = began + took * factor;
      server.next_step = ended;
      const std::vector<size_t> batch = server.running;
      for (const size_t number : batch) {
        Request& request = requests_[number];
        if (request.unread <= 0 && --request.tokens_to_event <= 0) {
          Event(number, index, ended, factor);
        }
      }
    }
  }

  void Event(size_t number, int index, double at, double factor) {
    Request& request = requests_[number];
    Server& server = servers_[static_cast<size_t>(index)];
    Chooser& front = *fronts_[static_cast<size_t>(request.front)];
    if (request.begun) {
      front.Gap(index, at - request.last_event, at);
    } else {
      BackendLoad load{static_cast<uint32_t>(server.running.size()),
                       static_cast<uint32_t>(server.waiting.size()), kSlots,
                       std::nullopt};
      if (load_ == LoadKind::kFluctuating) {
        load.work_percent = static_cast<uint32_t>(100 * factor);
      }
      front.State(index, load, at);
      front.FirstEvent(index, at - request.sent, request.prompt, at);
    }
    if (request.first_event < 0) {
      request.first_event = at;
    } else {
      request.longest_gap =
          std::max(request.longest_gap, at - request.last_event);
    }
    request.begun = true;
    request.last_event = at;
    request.tokens_to_event = EventTokens();
    if (++request.events == kEvents) {
      request.done = true;
      TakeBack(number);
    }
  }

  // Ends the current attempt.
  void TakeBack(size_t number) {
    Request& request = requests_[number];
    Server& server = servers_[static_cast<size_t>(request.server)];
    server.running.erase(
        std::remove(server.running.begin(), server.running.end(), number),
        server.running.end());
    server.waiting.erase(
        std::remove(server.waiting.begin(), server.waiting.end(), number),
        server.waiting.end());
    fronts_[static_cast<size_t>(request.front)]->Ended(request.server,
                                                       request.begun);
    request.server = -1;
  }

  void Arrive() {
    Request request;
    request.arrived = now_;
    request.front = std::uniform_int_distribution<int>(0, kFronts - 1)(random_);
    request.prompt = std::exp(Uniform(std::log(200), std::log(6'000)));
    request.uncached = request.prompt * (Uniform(0, 1) < 0.5 ? 0.3 : 1);
    requests_.push_back(request);
    const size_t number = requests_.size() - 1;
    if (!Send(number)) {
      queues_[static_cast<size_t>(request.front)].push_back(number);
    }
  }

  bool Send(size_t number) {
    Request& request = requests_[number];
    Chooser& front = *fronts_[static_cast<size_t>(request.front)];
    const int index =
        front.Choose(request.avoid, now_, now_ - request.arrived > 60);
    if (index < 0) {
      return false;
    }
    Server& server = servers_[static_cast<size_t>(index)];
    front.Sent(index);
    if (server.waiting.size() >= kServerQueue) {
      front.Ended(index, false);
      front.Full(index, now_);
      request.avoid.insert(Name(index));
      return false;
    }
    request.server = index;
    request.sent = now_;
    ++request.attempts;
    request.begun = false;
    request.unread = request.uncached;
    request.tokens_to_event = EventTokens();
    server.waiting.push_back(number);
    return true;
  }

  void SendQueued() {
    for (auto& queue : queues_) {
      while (!queue.empty()) {
        Request& request = requests_[queue.front()];
        // The product refuses after twice the latency target.
        const bool expired = now_ - request.arrived > 2 * kLatencyTargetMs &&
                             request.attempts == 0;
        if (!expired && !Send(queue.front())) {
          break;
        }
        request.refused = expired;
        queue.pop_front();
      }
    }
  }

  void CheckStalls() {
    active_.clear();
    for (const Server& server : servers_) {
      active_.insert(active_.end(), server.running.begin(),
                     server.running.end());
      active_.insert(active_.end(), server.waiting.begin(),
                     server.waiting.end());
    }
    for (const size_t number : active_) {
      Request& request = requests_[number];
      Chooser& front = *fronts_[static_cast<size_t>(request.front)];
      if (request.attempts >= kMaxAttempts) {
        continue;
      }
      const int index = request.server;
      if (request.begun) {
        if (now_ - request.last_event < kStallFraction * kGapTargetMs) {
          continue;
        }
        front.Stalled(index, now_);
      } else {
        const double limit = front.ServerStalled(index, now_)
                                 ? 100
                                 : std::min(1.0, kFirstEventFraction /
                                                     front.Speed(index, now_)) *
                                       kLatencyTargetMs;
        if (now_ - request.sent < limit) {
          continue;
        }
        std::set<std::string> avoid = request.avoid;
        avoid.insert(Name(index));
        if (front.Choose(avoid, now_, false) < 0) {
          continue;
        }
        front.Full(index, now_);
      }
      request.avoid.insert(Name(index));
      TakeBack(number);
      if (!Send(number)) {
        queues_[static_cast<size_t>(request.front)].push_back(number);
      }
    }
  }

  void SendReports(int ms) {
    for (int front = 0; front < kFronts; ++front) {
      if ((ms + front) % kReportIntervalMs != 0) {
        continue;
      }
      Chooser& chooser = *fronts_[static_cast<size_t>(front)];
      const LoadReport own = chooser.Report(now_);
      reports_.push_back({front, false, now_ + kReportDelayMs, own});
      if (front < kDomains) {
        LoadReport sum = chooser.SumOfDomain(PeersOf(front), now_);
        sum.Add(own);
        reports_.push_back({front, true, now_ + kReportDelayMs, sum});
      }
    }
  }

  static std::string FrontName(int front) {
    return "f" + std::to_string(front);
  }
  static std::vector<std::string> PeersOf(int front) {
    std::vector<std::string> peers;
    for (int other = 0; other < kFronts; ++other) {
      if (other != front && DomainOfFront(other) == DomainOfFront(front)) {
        peers.push_back(FrontName(other));
      }
    }
    return peers;
  }

  void DeliverReports() {
    while (!reports_.empty() && reports_.front().arrives <= now_) {
      const SentReport& sent = reports_.front();
      for (int other = 0; other < kFronts; ++other) {
        const bool same = DomainOfFront(other) == DomainOfFront(sent.front);
        if (other == sent.front || same == sent.domain) {
          continue;
        }
        fronts_[static_cast<size_t>(other)]->Reported(
            sent.domain ? "domain/" + std::to_string(DomainOfFront(sent.front))
                        : FrontName(sent.front),
            sent.report, now_);
      }
      reports_.pop_front();
    }
  }

  Row Count() const {
    Row row;
    for (const Request& request : requests_) {
      // Requests of the last 1.5 s may be under way.
      if (request.arrived < kCountFromMs || request.arrived > kRunMs - 1'500) {
        continue;
      }
      ++row.counted;
      const bool late =
          request.first_event < 0 ||
          request.first_event - request.arrived > kLatencyTargetMs ||
          request.longest_gap > kGapTargetMs;
      row.refused += request.refused ? 1 : 0;
      row.late += late && !request.refused ? 1 : 0;
    }
    return row;
  }

  LoadKind load_;
  int rate_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::vector<std::unique_ptr<Chooser>> fronts_;
  std::array<Server, kServers> servers_;
  std::vector<Request> requests_;
  std::array<std::deque<size_t>, kFronts> queues_;
  std::deque<SentReport> reports_;
  std::vector<size_t> active_;
};

// Returns the rows of several runs together: near the capacity, single runs
// differ by a factor of two.
inline Row RunSeeds(PolicyKind policy, LoadKind load, uint64_t seeds,
                    int rate = kRequestsPerSecond) {
  Row row;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    row.Add(Replay(policy, load, seed, rate).Run());
  }
  return row;
}

}  // namespace sequoialb::speed_replay
