// Tests of rendezvous hashing, routing policies, fair queues, host sessions and
// the bootstrap of the group.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/hash.h"
#include "consensus/group_formation.h"
#include "dispatch/fair_queue.h"
#include "membership/session_table.h"
#include "routing/routing.h"

namespace sequoialb {
namespace {

TEST(RendezvousTest, RemovingAHostMovesOnlyItsKeys) {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> without_c = {"a", "b", "d"};
  int owned_by_c = 0;
  for (int i = 0; i < 1'000; ++i) {
    const std::string key = "key " + std::to_string(i);
    const std::string owner = RendezvousOwner(key, all);
    owned_by_c += owner == "c" ? 1 : 0;
    if (owner != "c") {
      EXPECT_EQ(RendezvousOwner(key, without_c), owner);
    }
  }
  EXPECT_NEAR(owned_by_c, 250, 60);
}

std::vector<RoutingCandidate> Candidates(
    const std::vector<uint32_t>& in_flight) {
  std::vector<RoutingCandidate> candidates;
  for (size_t i = 0; i < in_flight.size(); ++i) {
    RoutingCandidate candidate;
    candidate.backend = "e" + std::to_string(i);
    candidate.in_flight = in_flight[i];
    candidate.has_capacity = true;
    candidates.push_back(candidate);
  }
  return candidates;
}

TEST(RoutingTest, PrefixAffinityHoldsUpToTheLoadBound) {
  RoutingState state;
  const RoutingPolicy policy = PrefixAffinity{1.25};
  const auto chosen = ChooseBackend(policy, Candidates({1, 1, 1}), 42, state);
  ASSERT_TRUE(chosen.has_value());
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChooseBackend(policy, Candidates({1, 1, 1}), 42, state), chosen);
  }
  std::vector<uint32_t> loaded = {1, 1, 1};
  loaded[*chosen] = 9;
  EXPECT_NE(ChooseBackend(policy, Candidates(loaded), 42, state), chosen);
}

TEST(RoutingTest, AServerKnownToHoldThePrefixIsPreferred) {
  RoutingState state;
  for (size_t holder = 0; holder < 3; ++holder) {
    auto candidates = Candidates({1, 1, 1});
    candidates[holder].holds_prefix = true;
    EXPECT_EQ(ChooseBackend(PrefixAffinity{}, candidates, 42, state), holder);
  }
}

TEST(RoutingTest, ExpectedFirstTokenWeighsBacklogAgainstTheCache) {
  RoutingState state;
  state.hit_ms = 30;
  state.miss_ms = 100;
  auto candidates = Candidates({1, 1, 1});
  candidates[0].holds_prefix = true;
  candidates[0].backlog_ms = 50;
  candidates[2].backlog_ms = 20;
  EXPECT_EQ(ChooseBackend(ExpectedFirstToken{}, candidates, 42, state), 0U);
  candidates[0].backlog_ms = 90;
  EXPECT_EQ(ChooseBackend(ExpectedFirstToken{}, candidates, 42, state), 1U);
}

TEST(RoutingTest, AServerWithoutCapacityIsNotChosen) {
  const std::vector<RoutingPolicy> policies = {PrefixAffinity{},
                                               LeastInFlight{}, LeastReported{},
                                               RoundRobin{}, RandomChoice{}};
  for (const RoutingPolicy& policy : policies) {
    RoutingState state;
    auto candidates = Candidates({0, 5, 0});
    candidates[0].has_capacity = false;
    candidates[2].has_capacity = false;
    EXPECT_EQ(ChooseBackend(policy, candidates, 7, state), 1U);
    candidates[1].has_capacity = false;
    EXPECT_FALSE(ChooseBackend(policy, candidates, 7, state).has_value());
    EXPECT_FALSE(ChooseBackend(policy, {}, 7, state).has_value());
  }
}

TEST(FairQueueTest, ABacklogOfOneAccountDoesNotDelayOthers) {
  FairQueue<std::string> queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push("flood", 1, "flood");
  }
  queue.Push("small", 1, "small");
  std::vector<std::string> served;
  while (!queue.empty()) {
    queue.TakeFirst([&](const std::string& value) {
      served.push_back(value);
      return true;
    });
  }
  const auto small = std::find(served.begin(), served.end(), "small");
  EXPECT_LE(small - served.begin(), 1);
}

TEST(FairQueueTest, AccountsAreServedInProportionToTheirWeights) {
  FairQueue<int> queue;
  for (int i = 0; i < 300; ++i) {
    queue.Push("one", 1, 1);
    queue.Push("two", 2, 2);
  }
  int twos = 0;
  for (int i = 0; i < 300; ++i) {
    queue.TakeFirst([&](const int& value) {
      twos += value == 2 ? 1 : 0;
      return true;
    });
  }
  EXPECT_NEAR(twos, 200, 2);
}

TEST(SessionTableTest, AHostLeavesTheViewOnlyAfterItsLease) {
  const SessionOptions options;
  SessionTable sessions(options);
  TimePoint now = TimePoint() + seconds(100);
  proto::HostHeartbeat heartbeat;
  heartbeat.set_incarnation(1);
  sessions.OnHeartbeat("a", heartbeat, now);
  sessions.OnHeartbeat("b", heartbeat, now);
  proto::HostView view = *sessions.NextView(proto::HostView(), now);
  EXPECT_EQ(view.members_size(), 2);
  EXPECT_FALSE(sessions.CanSettle(view, now));
  heartbeat.set_view_epoch(view.epoch());
  sessions.OnHeartbeat("a", heartbeat, now);
  EXPECT_FALSE(sessions.CanSettle(view, now));
  sessions.OnHeartbeat("b", heartbeat, now);
  EXPECT_TRUE(sessions.CanSettle(view, now));
  now += options.lease;
  sessions.OnHeartbeat("a", heartbeat, now);
  // Within the margin the lease of b may still run on b's own clock.
  EXPECT_FALSE(sessions.NextView(view, now).has_value());
  now += options.margin + milliseconds(1);
  ASSERT_TRUE(sessions.NextView(view, now).has_value());
  EXPECT_EQ(sessions.NextView(view, now)->members_size(), 1);
}

TEST(SessionTableTest, ANewLeaderGrantsUnknownLeasesInFull) {
  const SessionOptions options;
  SessionTable sessions(options);
  proto::HostView view;
  view.set_epoch(4);
  view.add_members()->set_host("a");
  const TimePoint elected = TimePoint() + seconds(50);
  sessions.Reset(view, elected);
  EXPECT_FALSE(sessions.NextView(view, elected + options.lease).has_value());
  EXPECT_TRUE(sessions.NextView(view, elected + options.lease + options.margin)
                  .has_value());
}

// Incarnations are readings of the host's wall clock, which may be set back.
TEST(SessionTableTest, AHostThatRestartsWithAnEarlierClockJoinsTheView) {
  const SessionOptions options;
  SessionTable sessions(options);
  TimePoint now = TimePoint() + seconds(100);
  proto::HostHeartbeat before;
  before.set_incarnation(2'000);
  sessions.OnHeartbeat("a", before, now);
  proto::HostHeartbeat after;
  after.set_incarnation(1'000);
  // While the lease runs, an earlier incarnation is that of a late message.
  now += options.lease;
  sessions.OnHeartbeat("a", after, now);
  EXPECT_EQ(sessions.NextView(proto::HostView(), now)->members(0).incarnation(),
            2'000U);
  now += options.margin;
  sessions.OnHeartbeat("a", after, now);
  const auto view = sessions.NextView(proto::HostView(), now);
  ASSERT_TRUE(view.has_value());
  EXPECT_EQ(view->members(0).incarnation(), 1'000U);
}

TEST(GroupFormationTest, BootstrapsOnceAllDisksAreNewAndNeverAgain) {
  const std::vector<std::string> hosts = {"a", "b", "c"};
  GroupFormation formation("a@1", hosts);
  proto::GroupHello hello;
  hello.set_node("b@1");
  EXPECT_FALSE(formation.OnHello("b", hello).has_value());
  hello.set_node("c@1");
  const auto initial_members = formation.OnHello("c", hello);
  ASSERT_TRUE(initial_members.has_value());
  EXPECT_EQ(*initial_members, (std::vector<std::string>{"a@1", "b@1", "c@1"}));

  // The same host with a new disk does not bootstrap when a group exists.
  GroupFormation again("a@2", hosts);
  proto::GroupHello formed;
  formed.set_initialised(true);
  formed.set_node("b@1");
  for (const std::string& initial_member : *initial_members) {
    formed.add_founders(initial_member);
  }
  EXPECT_FALSE(again.OnHello("b", formed).has_value());
  proto::GroupHello fresh;
  fresh.set_node("c@2");
  EXPECT_FALSE(again.OnHello("c", fresh).has_value());

  // An initial member that missed the bootstrap adopts the list of the others.
  GroupFormation late("c@1", hosts);
  const auto adopted = late.OnHello("b", formed);
  ASSERT_TRUE(adopted.has_value());
  EXPECT_EQ(*adopted, *initial_members);
}

}  // namespace
}  // namespace sequoialb
