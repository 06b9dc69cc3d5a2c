// Tests evacuations of failure domains: the state, the assignment of servers,
// what a front takes from replies, and a deployment under traffic.
#include <gtest/gtest.h>

#include <atomic>

#include "../fakes/fleet_fixture.h"
#include "../fakes/state_copy.h"
#include "fleet/assignment_policy.h"
#include "fleet/boot_clock.h"
#include "fleet/control_state.h"
#include "fleet/fleet_member.h"
#include "platform/json_values.h"

namespace sequoialb {
namespace {

using fakes::Answer;
using fakes::Call;

std::string Order(const std::string& domain, bool evacuated) {
  proto::ControlCommand command;
  command.mutable_set_evacuation()->set_failure_domain(domain);
  command.mutable_set_evacuation()->set_evacuated(evacuated);
  return command.SerializeAsString();
}

// Guards against a repeated order that counts as a change, and against a
// snapshot that loses orders or lets a delayed one pass.
TEST(ControlState, CountsOnlyChangesOfEvacuations) {
  ControlState state;
  ASSERT_TRUE(state.Apply(Order("d1", false)).has_value());
  EXPECT_EQ(state.evacuations_version(), 0U);
  for (const char* domain : {"d1", "d1", "d2"}) {
    ASSERT_TRUE(state.Apply(Order(domain, true)).has_value());
  }
  EXPECT_EQ(state.evacuations_version(), 2U);
  EXPECT_EQ(state.evacuated_domains(), (std::set<std::string>{"d1", "d2"}));
  ASSERT_TRUE(state.Apply(Order("d1", false)).has_value());
  EXPECT_EQ(state.evacuations_version(), 3U);
  EXPECT_EQ(state.LastEvacuationChange("d1"), 3U);
  EXPECT_EQ(state.LastEvacuationChange("d2"), 2U);
  EXPECT_EQ(state.LastEvacuationChange("d3"), 0U);

  ControlState copy;
  fakes::CopyState(state, copy);
  EXPECT_EQ(copy.evacuated_domains(), std::set<std::string>{"d2"});
  EXPECT_EQ(copy.evacuations_version(), 3U);
  EXPECT_EQ(copy.LastEvacuationChange("d2"), 3U);
}

std::vector<proto::LiveFront> Fronts(
    const std::vector<std::pair<std::string, std::string>>& fronts) {
  std::vector<proto::LiveFront> live;
  for (const auto& [host, domain] : fronts) {
    proto::LiveFront& front = live.emplace_back();
    front.set_host(host);
    front.set_failure_domain(domain);
  }
  return live;
}

using Assignment = std::map<std::string, std::vector<std::string>>;

// The load of one domain's callers while its servers are evacuated: its fronts
// share the servers of the other domains instead of having none of their own.
TEST(AssignmentPolicy, FrontsOfAnEvacuatedDomainShareTheOtherServers) {
  const auto live =
      Fronts({{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"c1", "c"}});
  const std::set<std::string> domains{"a", "b", "c"};
  EXPECT_EQ(
      AssignableFronts(live, domains, {}),
      (Assignment{{"a", {"a1", "a2", "a3"}}, {"b", {"b1"}}, {"c", {"c1"}}}));
  EXPECT_EQ(AssignableFronts(live, domains, {"a"}),
            (Assignment{{"b", {"b1", "a1", "a3"}}, {"c", {"c1", "a2"}}}));
  EXPECT_TRUE(AssignableFronts(live, domains, {"a", "b", "c"}).empty());
}

TEST(AssignmentPolicy, AllFrontsShareTheServersOfADomainWithoutFronts) {
  const auto live = Fronts({{"a1", "a"}, {"b1", "b"}});
  EXPECT_EQ(AssignableFronts(live, {"b", "x"}, {"a"}),
            (Assignment{{"b", {"b1", "a1"}}, {"x", {"a1", "b1"}}}));
  EXPECT_EQ(AssignableFronts(live, {"x"}, {"a"}),
            (Assignment{{"x", {"a1", "b1"}}}));
}

class EvacuatedMember : public ::testing::Test {
 protected:
  void SetUp() override {
    SetLogLevel("error");
    Address listen{"127.0.0.1", 0};
    {
      Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1", 0));
      listen.port = free.address().port();
    }
    MemberOptions options;
    options.self.set_host("f1");
    options.self.set_peer_address(listen.ToString());
    options.authority_lease = milliseconds(4'750);
    auto links = HostLinks::Open(options.self, listen, metrics_);
    ASSERT_TRUE(links.has_value());
    links_ = std::move(*links);
    FleetMember::Callbacks callbacks;
    callbacks.on_catalog = [](uint64_t, const std::string&) { return true; };
    callbacks.on_contact = [](TimePoint) {};
    callbacks.on_backends = [this] {
      const auto& domains = member_->last_confirmed_reply().evacuated_domains();
      events_.push_back("domains " + std::to_string(domains.size()));
    };
    callbacks.on_authority_lease = [this](TimePoint) {
      events_.emplace_back("lease");
    };
    callbacks.on_quarantines = [](const Quarantines&) {};
    callbacks.on_watched_parts = [](const std::set<std::string>&) {};
    member_ = std::make_unique<FleetMember>(options, *links_, callbacks);
  }

  // Delivers the reply to a heartbeat that was sent at `sent_at`, and returns
  // what it caused.
  std::vector<std::string> Reply(milliseconds sent_at, uint64_t version,
                                 const std::vector<std::string>& domains,
                                 bool confirmed = true) {
    proto::HelloReply reply;
    reply.set_sent_at_us(ToMicros(TimePoint(sent_at)));
    reply.set_confirmed(confirmed);
    reply.set_has_catalog(true);
    reply.set_catalog_version(1);
    reply.set_catalog("catalog");
    reply.set_evacuations_version(version);
    for (const std::string& domain : domains) {
      reply.add_evacuated_domains(domain);
    }
    events_.clear();
    member_->OnReply("c1", reply, TimePoint(sent_at));
    return events_;
  }

  using Events = std::vector<std::string>;
  Metrics metrics_;
  std::unique_ptr<HostLinks> links_;
  std::unique_ptr<FleetMember> member_;
  Events events_;
};

// Guards against a lease that covers the time after an order which the front
// has not applied yet.
TEST_F(EvacuatedMember, AppliesEvacuationsBeforeTheLease) {
  EXPECT_EQ(Reply(milliseconds(1'000), 0, {}), (Events{"lease"}));
  EXPECT_EQ(Reply(milliseconds(1'250), 1, {"d1"}),
            (Events{"domains 1", "lease"}));
  EXPECT_EQ(Reply(milliseconds(1'500), 1, {"d1"}), (Events{"lease"}));
  EXPECT_EQ(Reply(milliseconds(1'750), 2, {}), (Events{"domains 0", "lease"}));
}

// Guards against an older list that comes back with a reply that was delayed,
// or from a host that leads no more.
TEST_F(EvacuatedMember, IgnoresOlderAndUnconfirmedEvacuations) {
  Reply(milliseconds(1'000), 3, {"d1"});
  EXPECT_EQ(Reply(milliseconds(900), 2, {}), Events{});
  EXPECT_EQ(Reply(milliseconds(1'250), 4, {}, false), Events{});
  EXPECT_EQ(member_->last_confirmed_reply().evacuated_domains_size(), 1);
  EXPECT_EQ(Reply(milliseconds(1'300), 4, {}), (Events{"domains 0", "lease"}));
}

// How long after an acknowledgement requests may still reach the servers.
constexpr seconds kEvacuationBound{5};

class EvacuationEndToEnd : public fakes::FleetFixture {
 protected:
  void TearDown() override {
    StopTraffic();
    FleetFixture::TearDown();
  }

  // Sends requests to both fronts and announces the engines until StopTraffic.
  void StartTraffic() {
    for (const int front : {6, 7}) {
      traffic_.emplace_back([this, front] {
        for (int i = 0; !stop_; ++i) {
          const std::string id =
              "t" + std::to_string(front) + "-" + std::to_string(i);
          served_ += PostStreamRequest(id, front).status == 200 ? 1 : 0;
        }
      });
    }
    traffic_.emplace_back([this] {
      while (!stop_) {
        AnnounceToAll();
        std::this_thread::sleep_for(milliseconds(300));
      }
    });
  }
  void StopTraffic() {
    stop_ = true;
    for (std::thread& thread : traffic_) {
      thread.join();
    }
    traffic_.clear();
  }

  // Announces each engine at all control hosts, any of which may have ended.
  void AnnounceToAll() {
    ++sequence_;
    for (size_t i = 0; i < engines_.size(); ++i) {
      for (const int control : {0, 1, 2}) {
        Call(ControlAt(control),
             "PUT /sequoialb/instances/" + engines_[i]->id(), "",
             engines_[i]->AnnouncementBody("d" + std::to_string(i), sequence_));
      }
    }
  }

  // Sends an order to the control hosts in turn until it is acknowledged.
  void OrderUntilAcknowledged(const std::string& method, int first_host) {
    int host = first_host;
    WaitUntil([&] {
      const int status =
          Call(ControlAt(host), method + " /sequoialb/drain/d0").status;
      host = (host + 1) % 3;
      return status == 200;
    });
  }

  size_t RequestsAt(size_t engine) {
    return engines_[engine]->AcceptedRequests().size();
  }

  // Expects that requests are served for a while and none of them by engine 0.
  void ExpectNothingAtEngine0() {
    const size_t before = RequestsAt(0);
    const int served_before = served_;
    WaitUntil([&] { return served_ > served_before + 60; });
    EXPECT_EQ(RequestsAt(0), before);
  }

  int ControlLeader() {
    for (int host = 0; host < 3; ++host) {
      const std::string metrics =
          Call({Ip(host), ReadyPort()}, "GET /metrics").body;
      if (metrics.find("sequoialb_group_leads{group=\"control\"} 1") !=
          std::string::npos) {
        return host;
      }
    }
    return -1;
  }

  std::atomic<bool> stop_{false};
  std::atomic<int> served_{0};
  std::vector<std::thread> traffic_;
};

TEST_F(EvacuationEndToEnd, NothingReachesAnEvacuatedDomainUntilItIsTakenBack) {
  StartTraffic();
  WaitUntil([&] { return RequestsAt(0) > 20; });
  EXPECT_EQ(Call(ControlAt(1), "POST /sequoialb/drain/d0", "", "{}").status,
            400);
  OrderUntilAcknowledged("POST", 1);
  std::this_thread::sleep_for(kEvacuationBound);
  ExpectNothingAtEngine0();
  // Batch items go to the other servers too.
  std::string items;
  for (int i = 0; i < 6; ++i) {
    items += std::string(i == 0 ? "" : ",") + R"({"Id":"i)" +
             std::to_string(i) +
             R"(","Path":"/b/1","Headers":{"Model":"m"},"Body":"Ym9keQ==",)" +
             R"("Tokens":10})";
  }
  const size_t before = RequestsAt(0);
  const std::string fields = "Request-Id: job1\r\nKey: k1\r\n";
  const std::string body = R"({"Items":[)" + items + "]}";
  WaitUntil([&] {
    return Call(FrontAt(6), "POST /b/job1", fields, body).status == 202;
  });
  WaitUntil([&] {
    const Answer answer =
        Call(FrontAt(7), "GET /sequoialb/lots/job1?After=0", "Key: k1\r\n");
    return answer.status == 200 &&
           (*platform::ParseObject(answer.body))["Results"].size() == 6;
  });
  EXPECT_EQ(RequestsAt(0), before);
  EXPECT_NE(Call({Ip(0), ReadyPort()}, "GET /metrics")
                .body.find("sequoialb_evacuated_domains 1"),
            std::string::npos);
  OrderUntilAcknowledged("DELETE", 2);
  WaitUntil([&] { return RequestsAt(0) > before + 20; });
}

// Guards against an order that is acknowledged and lost with the leader that
// took it, and against a front that starts without the orders.
TEST_F(EvacuationEndToEnd, AnOrderSurvivesItsLeaderAndTheRestartOfAFront) {
  StartTraffic();
  int leader = -1;
  WaitUntil([&] {
    leader = ControlLeader();
    return leader >= 0;
  });
  std::thread order([&] { OrderUntilAcknowledged("POST", (leader + 1) % 3); });
  // The order is committed by now or not, and not acknowledged: the fronts'
  // heartbeats take longer.
  std::this_thread::sleep_for(milliseconds(30));
  hosts_.erase(leader);
  order.join();
  std::this_thread::sleep_for(kEvacuationBound);
  ExpectNothingAtEngine0();
  const size_t before = RequestsAt(0);
  hosts_.erase(6);
  StartHost(6, false);
  WaitUntil([&] { return PostStreamRequest("again", 6).status == 200; });
  ExpectNothingAtEngine0();
  EXPECT_EQ(RequestsAt(0), before);
}

}  // namespace
}  // namespace sequoialb
