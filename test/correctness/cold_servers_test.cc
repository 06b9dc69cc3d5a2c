// Cold backend servers under full demand, replayed on virtual time: what all
// fronts together send to each of them in any second, and that they are used
// once they are warm.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <random>

#include "base/hash.h"
#include "gateway/backend_pool.h"
#include "gateway/cold_limiter.h"

namespace sequoialb {
namespace {

const TimePoint kStart = TimePoint(seconds(1'000));

TimePoint At(int64_t ms) { return kStart + milliseconds(ms); }

// The limits of the deployment in scope.
constexpr double kRate = 9.2;
constexpr double kExcess = 1.5;
constexpr double kSlack = 5;
constexpr double kBound = kRate * kExcess + kSlack;

constexpr int kDomains = 4;
constexpr int kFronts = 28;
constexpr int kServers = 112;
constexpr uint32_t kSlots = 8;
constexpr int kQueued = 24;
// Short, so that the slots of a cold server do not limit its rate.
constexpr int kHoldMs = 300;
constexpr int kStepMs = 10;
// A front receives records and lists with its heartbeats.
constexpr int kHeartbeatMs = 250;
constexpr int kAnnounceMs = 1'200;
constexpr int kPublishMs = 500;
constexpr int kReportMs = 120;
constexpr int kReportDelayMs = 60;
// The authority lease of a front without contact.
constexpr int kLeaseMs = 4'750;
constexpr int kColdMs = 6'000;
// When servers become cold in a replay, and the end of the replay.
constexpr int kReturnMs = 3'000;
constexpr int kEndMs = kReturnMs + kColdMs + 1'100;

std::string FrontName(int front) { return "h" + std::to_string(front); }
std::string ServerName(int server) { return "b" + std::to_string(server); }

// Returns the largest number of sends in any second that begins at `from_ms` or
// later. A second includes both of its ends.
size_t MostInASecond(std::vector<int64_t> sends_us, int64_t from_ms) {
  std::sort(sends_us.begin(), sends_us.end());
  size_t most = 0;
  size_t last = 0;
  for (size_t first = 0; first < sends_us.size(); ++first) {
    while (last < sends_us.size() &&
           sends_us[last] <= sends_us[first] + 1'000'000) {
      ++last;
    }
    if (sends_us[first] >= from_ms * 1'000) {
      most = std::max(most, last - first);
    }
  }
  return most;
}

// One server of a replay.
struct ReplayServer {
  // When the process starts, and until when it is cold.
  int64_t starts_ms = -60'000;
  int64_t cold_from_ms = 0;
  int64_t cold_until_ms = 0;
  int busy = 0;
  // Arrival times, in microseconds.
  std::vector<int64_t> arrivals_us;
};

// A front that leaves the lists of live fronts. Its own list and those of the
// others change at different times.
struct FrontLoss {
  int front = 0;
  int64_t at_ms = 0;
  int64_t back_ms = 0;
  // The front does not learn of it and sends until its lease ends.
  bool partitioned = false;
};

class Replay {
 public:
  explicit Replay(bool limited) : limited_(limited), servers_(kServers) {
    for (int front = 0; front < kFronts; ++front) {
      fronts_.emplace_back(front);
    }
  }

  void Run(int64_t until_ms) {
    for (now_ms_ = 0; now_ms_ < until_ms; now_ms_ += kStepMs) {
      EndFinished();
      DeliverReports();
      for (Front& front : fronts_) {
        if ((now_ms_ + front.index * 17) % kPublishMs < kStepMs ||
            LearnsNow(front)) {
          Publish(front);
        }
      }
      for (size_t i = 0; i < fronts_.size(); ++i) {
        // No front is always the first to find a free slot.
        Send(fronts_[(i + static_cast<size_t>(now_ms_)) % fronts_.size()]);
      }
      for (const int64_t check : busy_checks) {
        if (check == now_ms_) {
          busy.push_back(BusyShare());
        }
      }
    }
  }

  ReplayServer& server(int index) {
    return servers_[static_cast<size_t>(index)];
  }

  // Returns the largest number of sends to one of the servers that are cold at
  // some time, in any second of their cold time that begins `after_ms` or later
  // after it has begun.
  size_t MostAtColdServers(int64_t after_ms) const {
    size_t most = 0;
    for (const ReplayServer& server : servers_) {
      if (server.cold_until_ms == 0) {
        continue;
      }
      std::vector<int64_t> cold;
      for (const int64_t us : server.arrivals_us) {
        if (us >= server.cold_from_ms * 1'000 &&
            us < server.cold_until_ms * 1'000) {
          cold.push_back(us);
        }
      }
      most =
          std::max(most, MostInASecond(cold, server.cold_from_ms + after_ms));
    }
    return most;
  }

  // Returns the mean rate at the cold servers from `from_ms` after they became
  // cold until the end of their cold time, per second.
  double MeanColdRate(int64_t from_ms) const {
    double sends = 0;
    double time_s = 0;
    for (const ReplayServer& server : servers_) {
      if (server.cold_until_ms == 0) {
        continue;
      }
      const int64_t from = server.cold_from_ms + from_ms;
      time_s += static_cast<double>(server.cold_until_ms - from) / 1'000;
      for (const int64_t us : server.arrivals_us) {
        sends += us >= from * 1'000 && us < server.cold_until_ms * 1'000;
      }
    }
    return time_s > 0 ? sends / time_s : 0;
  }

  std::vector<FrontLoss> losses;
  // At these times the share of the slots in use of all servers that were cold
  // is added to `busy`.
  std::vector<int64_t> busy_checks;
  std::vector<double> busy;
  // Batch items sent to cold servers.
  int cold_items_sent = 0;

 private:
  struct Front {
    explicit Front(int i)
        : index(i), pool(static_cast<uint64_t>(i) + 1), offset_ms(i * 9) {}
    int index;
    BackendPool pool;
    ColdOwners owners;
    // When in each heartbeat interval the front is confirmed.
    int offset_ms;
  };
  struct Call {
    int64_t ends_ms;
    int front;
    int server;
    bool item;
  };
  struct Report {
    int64_t arrives_ms;
    int front;
    std::map<std::string, uint32_t> requests;
  };

  // Returns the newest time at which the front had a confirmed reply.
  int64_t ConfirmedAt(const Front& front) const {
    return now_ms_ - (now_ms_ + front.offset_ms) % kHeartbeatMs;
  }

  bool LearnsNow(const Front& front) const {
    return (now_ms_ + front.offset_ms) % kHeartbeatMs < kStepMs;
  }

  // Returns the live fronts of a domain as the front knows them.
  std::vector<std::string> LiveFronts(const Front& front, int domain) const {
    std::vector<std::string> live;
    for (int other = domain; other < kFronts; other += kDomains) {
      bool lost = false;
      for (const FrontLoss& loss : losses) {
        // Other fronts learn of the change up to a second apart.
        const int64_t late = (front.index * 137) % 1'000;
        lost = lost || (loss.front == other && now_ms_ >= loss.at_ms + late &&
                        now_ms_ < loss.back_ms + late &&
                        !(loss.partitioned && loss.front == front.index));
      }
      if (!lost) {
        live.push_back(FrontName(other));
      }
    }
    return live;
  }

  void Publish(Front& front) {
    std::string all;
    for (int domain = 0; domain < kDomains; ++domain) {
      for (const std::string& live : LiveFronts(front, domain)) {
        all += live + ",";
      }
    }
    front.owners.SetLiveFronts(Hash64(all), At(now_ms_));
    std::vector<UsableBackend> usable;
    std::vector<size_t> per_domain(kDomains);
    for (int index = 0; index < kServers; ++index) {
      const ReplayServer& server = servers_[static_cast<size_t>(index)];
      const int domain = index % kDomains;
      // The last announcement that a control host had when it replied.
      const int64_t confirmed = ConfirmedAt(front);
      const int64_t phase = (index * 97) % kAnnounceMs;
      int64_t announced =
          server.starts_ms +
          (confirmed - server.starts_ms - phase) / kAnnounceMs * kAnnounceMs +
          phase;
      if (announced > confirmed || confirmed < server.starts_ms + phase) {
        announced = server.starts_ms;
      }
      if (server.starts_ms > confirmed) {
        continue;
      }
      const std::vector<std::string> live = LiveFronts(front, domain);
      const size_t turn = per_domain[static_cast<size_t>(domain)]++;
      const bool cold =
          announced >= server.cold_from_ms && announced < server.cold_until_ms;
      UsableBackend backend;
      backend.id = ServerName(index);
      backend.service = "s";
      backend.local = domain == front.index % kDomains;
      backend.assigned = live[turn % live.size()] == FrontName(front.index);
      backend.slots = kSlots;
      backend.cold = cold;
      backend.started_unix_ms = 1'000'000 + server.starts_ms;
      if (limited_) {
        ColdServer& known = backend.cold_server;
        known.send_interval = ColdSendInterval(kRate, kExcess, kSlack);
        known.duration = milliseconds(kColdMs);
        known.cold_until = At(cold ? server.cold_until_ms : announced);
        known.announced_at = At(announced);
        known.as_of = At(now_ms_);
        const ColdOwners::Owner owner =
            front.owners.OwnerOf(backend.id, live, At(now_ms_));
        if (owner.front == FrontName(front.index)) {
          known.owner_since = owner.since;
        }
        if (*known.cold_until > At(now_ms_)) {
          backend.assigned = known.owner_since.has_value();
        }
      }
      usable.push_back(std::move(backend));
    }
    front.pool.SetUsable(usable);
    front.pool.SetPeers(kFronts - 1);
  }

  bool HasLease(const Front& front) const {
    return std::none_of(losses.begin(), losses.end(), [&](const auto& loss) {
      return loss.front == front.index && now_ms_ < loss.back_ms &&
             now_ms_ >= loss.at_ms + (loss.partitioned ? kLeaseMs : 0);
    });
  }

  // Sends requests and batch items as long as the pool finds servers. Fronts
  // take turns to begin with items.
  void Send(Front& front) {
    if (!HasLease(front)) {
      return;
    }
    if ((now_ms_ / kStepMs + front.index) % 2 == 0) {
      SendItems(front);
    }
    const TimePoint now = At(now_ms_);
    std::set<std::string> avoid;
    while (const auto choice =
               front.pool.ChooseOnline("s", avoid, now, SlotUse::kLast)) {
      if (choice->stop_item) {
        avoid.insert(choice->backend);
        continue;
      }
      Place(front, choice->backend, false);
    }
    SendItems(front);
  }

  void SendItems(Front& front) {
    const TimePoint now = At(now_ms_);
    while (const auto choice = front.pool.ChooseItem("s", now)) {
      Place(front, choice->backend, true);
      const int index = std::stoi(choice->backend.substr(1));
      cold_items_sent += this->server(index).cold_from_ms <= now_ms_ &&
                                 now_ms_ < this->server(index).cold_until_ms
                             ? 1
                             : 0;
    }
  }

  void Place(Front& front, const std::string& backend, bool item) {
    const int index = std::stoi(backend.substr(1));
    ReplayServer& server = servers_[static_cast<size_t>(index)];
    front.pool.RecordSent(backend, item, At(now_ms_));
    if (server.busy >= static_cast<int>(kSlots) + kQueued) {
      // Refused as not run, which does not count.
      front.pool.RecordEnded(backend, item, false);
      front.pool.RecordFull(backend, At(now_ms_));
      return;
    }
    ++server.busy;
    std::uniform_int_distribution<int64_t> latency_us(500, 3'900);
    server.arrivals_us.push_back(now_ms_ * 1'000 + latency_us(random_));
    // Requests that wait for a slot there take as long again.
    const int hold =
        server.busy > static_cast<int>(kSlots) ? 2 * kHoldMs : kHoldMs;
    std::uniform_int_distribution<int> spread(-100, 100);
    calls_.push_back(
        {now_ms_ + hold + spread(random_), front.index, index, item});
  }

  void EndFinished() {
    for (size_t i = 0; i < calls_.size();) {
      const Call call = calls_[i];
      if (call.ends_ms > now_ms_) {
        ++i;
        continue;
      }
      calls_[i] = calls_.back();
      calls_.pop_back();
      fronts_[static_cast<size_t>(call.front)].pool.RecordEnded(
          ServerName(call.server), call.item, false);
      --servers_[static_cast<size_t>(call.server)].busy;
    }
  }

  void DeliverReports() {
    for (const Front& front : fronts_) {
      if ((now_ms_ + front.index * 3) % kReportMs < kStepMs) {
        reports_.push_back(
            {now_ms_ + kReportDelayMs, front.index, front.pool.OwnRequests()});
      }
    }
    while (!reports_.empty() && reports_.front().arrives_ms <= now_ms_) {
      const Report& report = reports_.front();
      for (Front& front : fronts_) {
        if (front.index != report.front) {
          front.pool.RecordPeerLoad(FrontName(report.front), {report.requests},
                                    At(now_ms_));
        }
      }
      reports_.pop_front();
    }
  }

  double BusyShare() const {
    double used = 0;
    double slots = 0;
    for (const ReplayServer& server : servers_) {
      if (server.cold_until_ms > 0) {
        used += std::min(server.busy, static_cast<int>(kSlots));
        slots += kSlots;
      }
    }
    return used / slots;
  }

  bool limited_;
  int64_t now_ms_ = 0;
  std::mt19937_64 random_{7};
  std::deque<Front> fronts_;
  std::vector<ReplayServer> servers_;
  std::vector<Call> calls_;
  std::deque<Report> reports_;
};

// A third of all servers returns at once. One front is cut off shortly before
// and sends until its lease ends, another one comes and goes.
void ReturnCold(Replay& replay) {
  for (int index = 0; index < kServers; index += 3) {
    ReplayServer& server = replay.server(index);
    server.starts_ms = kReturnMs;
    server.cold_from_ms = kReturnMs;
    server.cold_until_ms = kReturnMs + kColdMs;
  }
  replay.losses = {{5, kReturnMs - 500, 60'000, true},
                   {10, kReturnMs + 1'000, kReturnMs + 2'500, false}};
  replay.busy_checks = {kReturnMs + kColdMs - kStepMs,
                        kReturnMs + kColdMs + 300, kReturnMs + kColdMs + 1'000};
}

// Guards against crashing the servers of a recovered failure domain by giving
// them their full traffic back at once, also while two fronts consider
// themselves the owner of a server.
TEST(ColdServers, FrontsTogetherStayBelowTheBoundOfServersThatReturn) {
  Replay present(false);
  ReturnCold(present);
  present.Run(kEndMs);
  Replay limited(true);
  ReturnCold(limited);
  limited.Run(kEndMs);
  std::cout << "most requests in a second at a cold server, bound " << kBound
            << ": present policy " << present.MostAtColdServers(0)
            << ", limited " << limited.MostAtColdServers(0)
            << "\nmean rate while cold, from 2.5 s: present "
            << present.MeanColdRate(2'500) << "/s, limited "
            << limited.MeanColdRate(2'500) << "/s of " << kRate
            << "\nslots in use at the end of the cold period: "
            << limited.busy[0] << ", 0.3 s later " << limited.busy[1]
            << ", 1 s later " << limited.busy[2]
            << "\nbatch items sent to cold servers: " << limited.cold_items_sent
            << "\n";
  EXPECT_GT(static_cast<double>(present.MostAtColdServers(0)), kBound);
  EXPECT_LE(static_cast<double>(limited.MostAtColdServers(0)), kBound);
  EXPECT_GT(limited.MeanColdRate(2'500), 0.7 * kRate);
  EXPECT_GT(limited.busy[2], 0.9);
  EXPECT_GT(limited.cold_items_sent, 0);
}

// Guards against sending at the usual rate to servers that become cold again
// without a restart. What is sent before the fronts learn of it, up to one
// announcement and one heartbeat later, cannot be limited.
TEST(ColdServers, AServerThatBecomesColdInABurstIsLimitedOnceThisIsKnown) {
  const auto run = [](bool limited) {
    Replay replay(limited);
    for (int index = 0; index < kServers; index += 3) {
      ReplayServer& server = replay.server(index);
      server.cold_from_ms = kReturnMs + index * 11;
      server.cold_until_ms = server.cold_from_ms + kColdMs;
    }
    replay.losses = {{5, kReturnMs - 500, 60'000, true}};
    replay.Run(kEndMs);
    return replay;
  };
  const Replay present = run(false);
  const Replay limited = run(true);
  constexpr int64_t kLearned = kAnnounceMs + kHeartbeatMs;
  std::cout << "most requests in a second, before all fronts know: present "
            << present.MostAtColdServers(0) << ", limited "
            << limited.MostAtColdServers(0) << "; after: present "
            << present.MostAtColdServers(kLearned) << ", limited "
            << limited.MostAtColdServers(kLearned) << "\n";
  EXPECT_LE(static_cast<double>(limited.MostAtColdServers(kLearned)), kBound);
  EXPECT_GT(static_cast<double>(present.MostAtColdServers(kLearned)), kBound);
}

ColdServer Cold(int64_t as_of_ms, std::optional<int64_t> until_ms,
                std::optional<int64_t> owner_since_ms) {
  ColdServer cold;
  cold.send_interval = ColdSendInterval(kRate, kExcess, kSlack);
  cold.duration = milliseconds(kColdMs);
  if (until_ms) {
    cold.cold_until = At(*until_ms);
  }
  cold.announced_at = At(as_of_ms);
  if (owner_since_ms) {
    cold.owner_since = At(*owner_since_ms);
  }
  cold.as_of = At(as_of_ms);
  return cold;
}

// Guards against one front using more than half of the bound, which would let
// two of them exceed it together.
TEST(ColdLimiter, TwoFrontsTogetherStayBelowTheBound) {
  for (const double rate : {0.4, 2.0, 9.2, 60.0}) {
    for (const double slack : {0.0, 1.0, 5.0}) {
      for (const double excess : {1.0, 1.5}) {
        const double bound = rate * excess + slack;
        std::vector<int64_t> sends;
        for (int front = 0; front < 2; ++front) {
          ColdLimiter limiter;
          ColdServer cold = Cold(0, 100'000, -10'000);
          cold.send_interval = ColdSendInterval(rate, excess, slack);
          limiter.Update("b", 1, cold);
          for (int ms = 0; ms < 20'000; ++ms) {
            if (limiter.MaySend("b", At(ms))) {
              limiter.RecordSent("b", At(ms));
              sends.push_back(ms * 1'000 + front);
            }
          }
        }
        // Each front may send one request, however low the bound is.
        EXPECT_LE(static_cast<double>(MostInASecond(sends, 0)),
                  std::max(2.0, bound))
            << rate << " " << excess << " " << slack;
      }
    }
  }
}

// Guards against a new owner that sends while the previous one does not know
// yet that it is none.
TEST(ColdLimiter, ANewOwnerWaitsAndAnotherFrontNeverSends) {
  ColdLimiter limiter;
  limiter.Update("b", 1, Cold(0, 8'000, 0));
  EXPECT_FALSE(limiter.MaySend("b", At(1'999)));
  EXPECT_TRUE(limiter.MaySend("b", At(2'000)));
  limiter.Update("b", 1, Cold(2'500, 8'000, std::nullopt));
  EXPECT_FALSE(limiter.MaySend("b", At(7'999)));
  // The end of the cold period needs no further announcement.
  EXPECT_TRUE(limiter.MaySend("b", At(8'000)));
}

// Guards against a restarted server that is treated as warm because its
// announcement does not state the cold time.
TEST(ColdLimiter, ARestartIsColdUnlessItsAnnouncementSaysOtherwise) {
  ColdLimiter limiter;
  limiter.Update("b", 1, Cold(0, std::nullopt, -5'000));
  EXPECT_FALSE(limiter.IsCold("b", At(0)));
  limiter.Update("b", 2, Cold(100, std::nullopt, -5'000));
  EXPECT_TRUE(limiter.IsCold("b", At(6'099)));
  EXPECT_FALSE(limiter.MaySend("b", At(2'099)));
  EXPECT_TRUE(limiter.MaySend("b", At(2'100)));
  EXPECT_FALSE(limiter.IsCold("b", At(6'100)));
  limiter.Update("b", 3, Cold(200, 200, -5'000));
  EXPECT_FALSE(limiter.IsCold("b", At(201)));
}

// Guards against all fronts sending to a server that has just restarted,
// before its announcement has reached them.
TEST(ColdLimiter, AServerWithALostConnectionIsColdUntilItsNextAnnouncement) {
  ColdLimiter limiter;
  limiter.Update("b", 1, Cold(0, 0, std::nullopt));
  EXPECT_TRUE(limiter.MaySend("b", At(400)));
  limiter.RecordConnectionLost("b", At(500));
  EXPECT_FALSE(limiter.MaySend("b", At(600)));
  // This announcement may have been made before.
  limiter.Update("b", 1, Cold(550, 0, std::nullopt));
  EXPECT_FALSE(limiter.MaySend("b", At(600)));
  limiter.Update("b", 1, Cold(1'200, 0, std::nullopt));
  EXPECT_TRUE(limiter.MaySend("b", At(1'200)));
  // Without announcements the limit ends with the cold period of a restart.
  limiter.RecordConnectionLost("b", At(2'000));
  EXPECT_FALSE(limiter.MaySend("b", At(7'999)));
  EXPECT_TRUE(limiter.MaySend("b", At(8'000)));
}

// Guards against moving the ownership of all servers, and with it their wait,
// when one front or one server comes or goes.
TEST(ColdOwners, OnlyTheServersOfALostFrontGetAnotherOwner) {
  ColdOwners owners;
  std::vector<std::string> fronts;
  for (int front = 0; front < 7; ++front) {
    fronts.push_back(FrontName(front));
  }
  owners.SetLiveFronts(1, At(0));
  std::map<std::string, std::string> before;
  for (int server = 0; server < 100; ++server) {
    const std::string name = ServerName(server);
    before[name] = owners.OwnerOf(name, fronts, At(0)).front;
  }
  fronts.erase(fronts.begin() + 2);
  owners.SetLiveFronts(2, At(900));
  int moved = 0;
  for (int server = 0; server < 100; ++server) {
    const std::string name = ServerName(server);
    const ColdOwners::Owner owner = owners.OwnerOf(name, fronts, At(900));
    const bool lost = before[name] == "h2";
    moved += lost ? 1 : 0;
    EXPECT_EQ(owner.front == before[name], !lost);
    EXPECT_EQ(owner.since, lost ? At(900) : At(0));
  }
  EXPECT_GT(moved, 0);
  // The owner of a new server has been known since the list of fronts is.
  EXPECT_EQ(owners.OwnerOf("new", fronts, At(5'000)).since, At(900));
  // Also when the list has changed back while no server was known.
  owners.SetLiveFronts(3, At(5'500));
  owners.SetLiveFronts(2, At(5'600));
  EXPECT_EQ(owners.OwnerOf("newer", fronts, At(5'700)).since, At(5'600));
  EXPECT_EQ(owners.OwnerOf("new", {}, At(5'000)).front, "");
}

// Guards against an owner from before an evacuation: the fronts of the
// evacuated domain join those of the others while the list of live fronts stays
// the same. Fronts that have computed an owner before and after would disagree,
// and a cold server whose owner on each of them is another front gets no
// request.
TEST(ColdOwners, TheOwnerFollowsTheFrontsThatMayBeAssigned) {
  ColdOwners before;
  ColdOwners after;
  const std::vector<std::string> own{"a1", "a2"};
  const std::vector<std::string> shared{"a1", "a2", "b1", "b2", "b3"};
  before.SetLiveFronts(1, At(0));
  after.SetLiveFronts(1, At(0));
  int moved = 0;
  for (int server = 0; server < 50; ++server) {
    const std::string name = ServerName(server);
    const auto old = before.OwnerOf(name, own, At(0));
    const auto now = before.OwnerOf(name, shared, At(3'000));
    EXPECT_EQ(now.front, after.OwnerOf(name, shared, At(3'000)).front);
    EXPECT_EQ(now.since, now.front == old.front ? At(0) : At(3'000));
    moved += now.front == old.front ? 0 : 1;
    EXPECT_EQ(before.OwnerOf(name, own, At(9'000)).front, old.front);
  }
  EXPECT_GT(moved, 0);
}

// Guards against counting the slots of a cold server as capacity: items and
// admission would wait for slots that its rate does not allow to be used.
TEST(BackendPoolCold, AColdServerCountsAsOneSlotWhileItHasAToken) {
  BackendPool pool;
  UsableBackend cold{"cold", "s", {"127.0.0.1", 1}, true, true, kSlots, true};
  cold.cold_server = Cold(0, 9'000, -5'000);
  UsableBackend warm{"warm", "s", {"127.0.0.1", 1}, true, true, kSlots, false};
  warm.cold_server = Cold(0, 0, std::nullopt);
  pool.SetUsable({cold, warm});
  // Eight slots and one, less the reserve of two.
  EXPECT_EQ(pool.FreeItemSlots(At(10)), 7U);
  pool.RecordSent("cold", true, At(10));
  EXPECT_EQ(pool.FreeItemSlots(At(10)), 6U);
  EXPECT_FALSE(pool.ChooseOnline("s", {"warm"}, At(20)).has_value());
  EXPECT_TRUE(pool.ChooseOnline("s", {"warm"}, At(150)).has_value());
  // A slot freed by stopping an item there could not be used.
  pool.SetPeers(1);
  pool.RecordPeerLoad("h2", {{}, 40}, At(20));
  EXPECT_TRUE(pool.ItemsToStop(At(20)).empty());
}

// Guards against any change for services without a cold rate: the same choices
// in the same order, whatever is known of the servers' cold time.
TEST(BackendPoolCold, WithoutAColdRateChoicesAreTheSame) {
  const auto choices = [](bool with_cold_time) {
    BackendPool pool(3);
    std::mt19937_64 random(5);
    std::vector<std::string> chosen;
    std::vector<UsableBackend> usable;
    for (int index = 0; index < 30; ++index) {
      UsableBackend backend{
          ServerName(index), "s",    {"127.0.0.1", 1}, index % 3 > 0,
          index % 5 == 0,    kSlots, index % 4 == 0};
      if (with_cold_time) {
        backend.cold_server = Cold(0, 30'000, std::nullopt);
        backend.cold_server.send_interval = ColdSendInterval(0, 1.5, 5);
      }
      usable.push_back(backend);
    }
    pool.SetPeers(4);
    std::deque<std::pair<std::string, bool>> calls;
    for (int ms = 0; ms < 4'000; ms += 2) {
      if (ms % 500 == 0) {
        pool.SetUsable(usable);
      }
      const bool item = random() % 3 == 0;
      const auto choice = item ? pool.ChooseItem("s", At(ms))
                               : pool.ChooseOnline("s", {}, At(ms));
      chosen.push_back(choice ? choice->backend : "none");
      chosen.back() += std::to_string(pool.FreeItemSlots(At(ms)));
      if (choice) {
        pool.RecordSent(choice->backend, item, At(ms));
        calls.emplace_back(choice->backend, item);
      }
      if (random() % 50 == 0) {
        pool.RecordConnectionLost(ServerName(static_cast<int>(random() % 30)),
                                  At(ms));
      }
      if (calls.size() > 200 || (!calls.empty() && random() % 4 == 0)) {
        pool.RecordEnded(calls.front().first, calls.front().second, false);
        calls.pop_front();
      }
    }
    return chosen;
  };
  EXPECT_EQ(choices(false), choices(true));
}

}  // namespace
}  // namespace sequoialb
