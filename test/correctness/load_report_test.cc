// Tests how fronts learn each other's load: who sends a report to whom at
// several sizes, and what the sums say when reports are lost or expire.
#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

#include "fleet/load_report_policy.h"
#include "fleet/load_reporter.h"
#include "gateway/peer_loads.h"

namespace sequoialb {
namespace {

const TimePoint kStart = TimePoint(seconds(1'000));

TimePoint At(int64_t ms) { return kStart + milliseconds(ms); }

LiveFronts MakeFronts(int count, int domains) {
  LiveFronts fronts;
  for (int i = 0; i < count; ++i) {
    proto::LiveFront& front = *fronts.Add();
    front.set_host("front-" + std::to_string(1'000 + i));
    front.set_failure_domain("d" + std::to_string(i % domains));
  }
  return fronts;
}

// Messages of one round in which every front reports once.
struct RoundCost {
  size_t across_domains = 0;
  size_t within_domains = 0;
};

RoundCost CostOfRound(const LiveFronts& fronts) {
  RoundCost cost;
  for (const proto::LiveFront& self : fronts) {
    const size_t peers = DomainPeers(fronts, self).size();
    cost.within_domains += peers;
    if (!IsRelay(fronts, self)) {
      continue;
    }
    const size_t relays = RemoteRelays(fronts, self).size();
    cost.across_domains += relays;
    // The relay passes on the reports of all other domains.
    cost.within_domains += peers * relays;
  }
  return cost;
}

// The messages between failure domains depend on the number of domains alone,
// and those within a domain stay below (fronts per domain + domains) a front.
TEST(LoadReportPolicy, MessagesBetweenDomainsDoNotGrowWithTheFronts) {
  struct Size {
    int fronts;
    int domains;
  };
  for (const Size size : {Size{8, 3}, {23, 3}, {66, 5}, {300, 5}, {320, 8}}) {
    const auto domains = static_cast<size_t>(size.domains);
    const auto fronts = static_cast<size_t>(size.fronts);
    const RoundCost cost = CostOfRound(MakeFronts(size.fronts, size.domains));
    EXPECT_EQ(cost.across_domains, domains * (domains - 1));
    EXPECT_LE(cost.within_domains,
              fronts * ((fronts + domains - 1) / domains + domains));
  }
}

TEST(LoadReportPolicy, TheNextLiveFrontBecomesTheRelay) {
  LiveFronts fronts = MakeFronts(6, 2);
  EXPECT_TRUE(IsRelay(fronts, fronts[0]));
  EXPECT_FALSE(IsRelay(fronts, fronts[2]));
  EXPECT_EQ(RemoteRelays(fronts, fronts[1]),
            std::vector<std::string>{"front-1000"});
  const proto::LiveFront successor = fronts[2];
  fronts.DeleteSubrange(0, 1);
  EXPECT_TRUE(IsRelay(fronts, successor));
  EXPECT_EQ(RemoteRelays(fronts, fronts[0]),
            std::vector<std::string>{"front-1002"});
}

// A front that the control hosts do not list is no relay.
TEST(LoadReportPolicy, AnUnlistedFrontIsNoRelay) {
  proto::LiveFront self;
  self.set_host("front-0");
  self.set_failure_domain("d0");
  EXPECT_FALSE(IsRelay(LiveFronts(), self));
  EXPECT_TRUE(DomainPeers(LiveFronts(), self).empty());
}

// Replays random reports, losses and expiries of 66 fronts, and compares the
// sums with those made anew from all current reports.
TEST(PeerLoads, SumsEqualThoseOfAllCurrentReports) {
  struct Reported {
    TimePoint at;
    LoadReport report;
  };
  std::mt19937_64 random(20'261'204);
  PeerLoads loads;
  std::map<std::string, Reported> current;
  int64_t ms = 0;
  for (int step = 0; step < 5'000; ++step) {
    ms += static_cast<int64_t>(random() % 20);
    const TimePoint now = At(ms);
    LoadReport report;
    report.waiting = static_cast<uint32_t>(random() % 3);
    for (uint64_t i = random() % 4; i > 0; --i) {
      report.requests["e" + std::to_string(random() % 78)] =
          static_cast<uint32_t>(1 + random() % 8);
    }
    // A few fronts report rarely, so that their reports expire.
    const uint64_t front = random() % 100 < 95 ? random() % 20 : random() % 66;
    const std::string name = "f" + std::to_string(front);
    loads.Record(name, report, now);
    current[name] = {now, report};
    loads.Expire(now);
    std::map<std::string, uint32_t> sums;
    size_t fronts = 0;
    uint32_t waiting = 0;
    for (const auto& [source, entry] : current) {
      if (now - entry.at > milliseconds(600)) {
        continue;
      }
      ++fronts;
      waiting += now - entry.at <= milliseconds(300) ? entry.report.waiting : 0;
      for (const auto& [backend, count] : entry.report.requests) {
        sums[backend] += count;
      }
    }
    ASSERT_EQ(loads.fronts(), fronts);
    ASSERT_EQ(loads.Waiting(now), waiting);
    for (int server = 0; server < 78; ++server) {
      const std::string id = "e" + std::to_string(server);
      ASSERT_EQ(loads.RequestsAt(id), sums[id]);
    }
  }
}

// Reports of other hosts may name a server with no requests. Replacing them
// must leave the sums as they are.
TEST(PeerLoads, ReportsWithoutRequestsAtAServerAreHarmless) {
  PeerLoads loads;
  for (int round = 0; round < 2; ++round) {
    for (const char* front : {"f1", "f2"}) {
      loads.Record(front, {{{"e1", 0}}, 0}, At(round * 30));
    }
  }
  loads.Record("f1", {{{"e1", 3}}, 0}, At(90));
  EXPECT_EQ(loads.RequestsAt("e1"), 3U);
  loads.Expire(At(5'000));
  EXPECT_EQ(loads.RequestsAt("e1"), 0U);
  EXPECT_EQ(loads.fronts(), 0U);
}

// Six fronts in two domains, joined by a network of this test that delivers at
// once.
class LoadReporterTest : public ::testing::Test {
 protected:
  struct Node {
    proto::LiveFront self;
    std::unique_ptr<BackendPool> pool;
    std::unique_ptr<LoadReporter> reporter;
  };
  struct Message {
    std::string from;
    std::string to;
    proto::FrontLoad report;
  };

  void SetUp() override {
    const LiveFronts fronts = MakeFronts(6, 2);
    for (const proto::LiveFront& self : fronts) {
      Node& node = nodes_[self.host()];
      node.self = self;
      node.pool = std::make_unique<BackendPool>();
      std::vector<UsableBackend> usable;
      for (const char* id : {"near", "far"}) {
        usable.push_back({id, "s", {"127.0.0.1", 1}, true, false, 8, false});
      }
      node.pool->SetUsable(usable);
      node.reporter = std::make_unique<LoadReporter>(
          *node.pool, self,
          [this, from = self.host()](const std::vector<std::string>& hosts,
                                     const proto::FrontLoad& report) {
            for (const std::string& host : hosts) {
              network_.push_back({from, host, report});
            }
          });
      node.reporter->SetFronts(fronts);
    }
  }

  // Lets every front report, and delivers all messages.
  void Round(TimePoint now) {
    for (auto& [host, node] : nodes_) {
      node.reporter->Tick(1, now);
    }
    while (!network_.empty()) {
      const Message message = network_.front();
      network_.pop_front();
      ++delivered_[{nodes_[message.from].self.failure_domain(),
                    nodes_[message.to].self.failure_domain()}];
      nodes_[message.to].reporter->OnReport(message.from, message.report, now);
    }
  }

  std::map<std::string, Node> nodes_;
  std::deque<Message> network_;
  std::map<std::pair<std::string, std::string>, int> delivered_;
};

TEST_F(LoadReporterTest, EveryFrontLearnsTheRequestsOfAllOthers) {
  for (auto& [host, node] : nodes_) {
    node.pool->RecordSent("near", false, At(0));
  }
  Round(At(0));
  // The first sums of the relays were made before all reports had arrived.
  Round(At(60));
  const TimePoint now = At(70);
  for (auto& [host, node] : nodes_) {
    LoadReport known = node.pool->SumOfReports(
        std::vector<std::string>{"domain/d0", "domain/d1"}, now);
    EXPECT_EQ(known.requests["near"], 3U) << host;
    EXPECT_EQ(known.fronts, 3U) << host;
    EXPECT_EQ(known.waiting, 3U) << host;
    // Its own request, two of its domain and three of the other one.
    for (int i = 0; i < 2; ++i) {
      EXPECT_TRUE(node.pool->ChooseOnline("s", {"far"}, now, SlotUse::kLast)
                      .has_value())
          << host;
      node.pool->RecordSent("near", false, now);
    }
    EXPECT_FALSE(
        node.pool->ChooseOnline("s", {"far"}, now, SlotUse::kLast).has_value())
        << host;
  }
  // Two rounds of one message between the relays, each way.
  EXPECT_LE((delivered_[{"d0", "d1"}]), 2);
  EXPECT_LE((delivered_[{"d1", "d0"}]), 2);
}

}  // namespace
}  // namespace sequoialb
