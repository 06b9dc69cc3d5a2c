// Tests the state of a fleet: backend servers, catalogs, hosts, the control
// group's state, group membership and settings.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "../fakes/state_copy.h"
#include "catalog/catalog.h"
#include "fleet/backend_registry.h"
#include "fleet/control_state.h"
#include "fleet/fleet_settings.h"
#include "fleet/heartbeat_policy.h"
#include "fleet/host_directory.h"
#include "group/membership_planner.h"

namespace sequoialb {
namespace {

const TimePoint kNow = TimePoint(seconds(1'000));

proto::BackendRecord Record(const std::string& id, int64_t started,
                            uint64_t sequence,
                            const std::string& address = "10.0.0.1:80") {
  proto::BackendRecord record;
  record.set_id(id);
  record.set_service("s");
  record.set_address(address);
  record.set_slots(8);
  record.set_started_unix_ms(started);
  record.set_sequence(sequence);
  return record;
}

std::vector<std::string> UsableIds(const BackendDirectory& directory,
                                   TimePoint now,
                                   bool drop_unresponsive = true) {
  std::vector<std::string> ids;
  for (const KnownBackend* known : directory.Usable(now, drop_unresponsive)) {
    ids.push_back(known->record.id());
  }
  return ids;
}

TEST(BackendRegistry, IgnoresLateAnnouncements) {
  BackendRegistry registry(1);
  EXPECT_TRUE(registry.Announce(Record("a", 100, 5), kNow));
  proto::BackendRecord leaving = Record("a", 100, 6);
  leaving.set_leaving(true);
  EXPECT_TRUE(registry.Announce(leaving, kNow));
  // A late announcement from before does not bring the server back.
  EXPECT_FALSE(registry.Announce(Record("a", 100, 5), kNow));
  proto::HelloReply reply;
  registry.FillChanges(0, 0, reply, kNow);
  ASSERT_EQ(reply.backends_size(), 1);
  EXPECT_TRUE(reply.backends(0).leaving());
}

TEST(BackendRegistry, ADeregisteredServerReturnsOnlyAfterARestart) {
  BackendRegistry registry(1);
  registry.Announce(Record("a", 100, 5), kNow);
  registry.Deregister("a", 150, kNow);
  EXPECT_FALSE(registry.Announce(Record("a", 100, 9), kNow));
  EXPECT_TRUE(registry.Announce(Record("a", 200, 1), kNow));
}

// Guards against a deregistration that ends an earlier start of the server: the
// control host that receives it has missed the later one.
TEST(BackendRegistry, ADeregistrationEndsAStartThatAnotherHostHasReported) {
  BackendRegistry behind(1);
  BackendRegistry other(2);
  behind.Announce(Record("a", 100, 5), kNow);
  other.Announce(Record("a", 100, 5), kNow);
  other.Announce(Record("a", 200, 1), kNow);
  proto::HelloReply reply;
  other.FillChanges(0, 0, reply, kNow + seconds(1));
  for (const proto::BackendRecord& record : reply.backends()) {
    EXPECT_TRUE(behind.Merge(record, kNow + seconds(1)));
  }
  BackendDirectory directory;
  directory.Merge(Record("a", 200, 7), kNow);
  directory.Merge(behind.Deregister("a", 250, kNow + seconds(1)), kNow);
  EXPECT_TRUE(UsableIds(directory, kNow).empty());
}

// Guards against records that two control hosts send each other for ever, and
// against servers that are brought back by old records.
TEST(BackendRegistry, MergesOnlyWhatIsNew) {
  BackendRegistry registry(1);
  const auto cursor = [&registry] {
    proto::HelloReply reply;
    registry.FillChanges(1, 0, reply, kNow);
    return reply.registry_cursor();
  };
  EXPECT_TRUE(registry.Merge(Record("a", 100, 1), kNow));
  const uint64_t merged = cursor();
  EXPECT_FALSE(registry.Merge(Record("a", 100, 1), kNow));
  EXPECT_FALSE(registry.Merge(Record("a", 100, 2), kNow));
  EXPECT_FALSE(registry.Merge(Record("a", 50, 9), kNow));
  EXPECT_EQ(cursor(), merged);
  registry.Deregister("a", 150, kNow);
  EXPECT_FALSE(registry.Merge(Record("a", 100, 3), kNow));
  proto::BackendRecord old = Record("b", 100, 1);
  old.set_heard_ms_ago(61'000);
  EXPECT_FALSE(registry.Merge(old, kNow));
}

TEST(BackendRegistry, SendsOnlyChanges) {
  BackendRegistry registry(7);
  registry.Announce(Record("a", 100, 1), kNow);
  proto::HelloReply first;
  registry.FillChanges(7, 0, first, kNow);
  registry.Announce(Record("b", 100, 1, "10.0.0.2:80"), kNow);
  proto::HelloReply second;
  registry.FillChanges(7, first.registry_cursor(), second, kNow);
  ASSERT_EQ(second.backends_size(), 1);
  EXPECT_EQ(second.backends(0).id(), "b");
  // A restarted registry sends all records.
  proto::HelloReply other;
  registry.FillChanges(6, first.registry_cursor(), other, kNow);
  EXPECT_EQ(other.backends_size(), 2);
}

// Guards against a deregistration that is acknowledged and ignored: only
// changes are forwarded, so the control host that gets it may know an early
// announcement alone.
TEST(BackendDirectory, ADeregistrationWithAnOlderSequenceCounts) {
  BackendRegistry behind(1);
  BackendRegistry other(2);
  behind.Announce(Record("a", 100, 1), kNow);
  other.Announce(Record("a", 100, 9), kNow);
  BackendDirectory directory;
  directory.Merge(Record("a", 100, 9), kNow);
  const proto::BackendRecord gone = behind.Deregister("a", 150, kNow);
  EXPECT_TRUE(directory.Merge(gone, kNow));
  EXPECT_TRUE(other.Announce(gone, kNow));
  EXPECT_TRUE(UsableIds(directory, kNow).empty());
  // Nothing that the server announced before brings it back.
  EXPECT_FALSE(directory.Merge(Record("a", 100, 10), kNow));
  EXPECT_FALSE(other.Announce(Record("a", 100, 10), kNow));
  EXPECT_TRUE(UsableIds(directory, kNow).empty());
  EXPECT_TRUE(directory.Merge(Record("a", 200, 1), kNow));
  // A deregistration of the earlier start does not end the later one.
  EXPECT_FALSE(directory.Merge(gone, kNow));
  EXPECT_EQ(UsableIds(directory, kNow), std::vector<std::string>{"a"});
}

// Guards against a server that a front never uses again because its clock was
// set back before it started again, under the same id or another.
TEST(BackendDirectory, AServerWhoseClockWasSetBackIsUsedOnceTheOldIsForgotten) {
  BackendDirectory directory;
  directory.Merge(Record("a", 500, 9), kNow);
  directory.Merge(Record("old", 500, 9, "10.0.0.2:80"), kNow);
  EXPECT_FALSE(directory.Merge(Record("a", 100, 1), kNow + seconds(59)));
  const TimePoint later = kNow + seconds(61);
  EXPECT_TRUE(directory.Merge(Record("a", 100, 1), later));
  directory.Merge(Record("new", 100, 1, "10.0.0.2:80"), later);
  EXPECT_EQ(UsableIds(directory, later),
            (std::vector<std::string>{"a", "new"}));
}

// Guards against hosts that learn late of a server that has become cold again:
// only changes are passed on immediately.
TEST(BackendDirectory, AColdPeriodThatBeginsAgainIsAChange) {
  BackendRegistry registry(1);
  BackendDirectory directory;
  const auto announce = [&](uint64_t sequence, uint32_t cold_left_ms) {
    proto::BackendRecord record = Record("a", 100, sequence);
    record.set_cold_left_ms(cold_left_ms);
    const bool changed = registry.Announce(record, kNow);
    EXPECT_EQ(directory.Merge(record, kNow), changed) << sequence;
    return changed;
  };
  EXPECT_TRUE(announce(1, 5'000));
  EXPECT_FALSE(announce(2, 3'800));
  EXPECT_TRUE(announce(3, 5'000));
  EXPECT_TRUE(announce(4, 0));
  EXPECT_FALSE(announce(5, 0));
  EXPECT_TRUE(announce(6, 5'000));
}

TEST(BackendDirectory, AnAddressBelongsToTheServerThatStartedLast) {
  BackendDirectory directory;
  directory.Merge(Record("new", 200, 1), kNow);
  // An announcement of the failed server that had the address before, delayed
  // by a partition.
  directory.Merge(Record("old", 100, 99), kNow);
  EXPECT_EQ(UsableIds(directory, kNow), std::vector<std::string>{"new"});
}

TEST(BackendDirectory, DropsUnresponsiveServersOnlyWhileInContact) {
  BackendDirectory directory;
  directory.Merge(Record("a", 100, 1), kNow);
  EXPECT_EQ(UsableIds(directory, kNow + seconds(20)).size(), 0U);
  EXPECT_EQ(UsableIds(directory, kNow + seconds(20), false).size(), 1U);
}

TEST(BackendDirectory, MergesRecordsOfSeveralControlHosts) {
  BackendDirectory directory;
  directory.Merge(Record("a", 100, 8), kNow);
  EXPECT_FALSE(directory.Merge(Record("a", 100, 3), kNow));
  BackendRegistry unaware(1);
  // A control host that never received the server's announcements forwards its
  // deregistration.
  EXPECT_TRUE(directory.Merge(unaware.Deregister("a", 150, kNow), kNow));
  EXPECT_TRUE(UsableIds(directory, kNow).empty());
}

// Guards against a caller's or a server's bytes that make a message between
// hosts unreadable, and with it everything else that it holds.
TEST(FleetMessage, CarriesTextThatIsNotUtf8) {
  const std::string text = "caf\xe9";
  proto::FleetMessage hello;
  proto::BackendCrash& crash = *hello.mutable_hello()->add_crashes();
  crash.set_backend(text);
  crash.add_requests()->add_parts(text);
  proto::FleetMessage reply;
  *reply.mutable_hello_reply()->add_backends() = Record(text, 100, 5);
  proto::FleetMessage call;
  proto::JobItem& item =
      *call.mutable_job_call()->mutable_submit()->add_items();
  item.set_id(text);
  item.add_headers()->set_value(text);
  for (const proto::FleetMessage& message : {hello, reply, call}) {
    proto::FleetMessage received;
    EXPECT_TRUE(received.ParseFromString(message.SerializeAsString()));
    EXPECT_EQ(received.SerializeAsString(), message.SerializeAsString());
  }
}

// Of the heartbeats of a second, four go to the leader and two to each other
// control host; all go to all while no leader answers.
TEST(HeartbeatPolicy, FollowersGetEverySecondHeartbeat) {
  const TimePoint confirmed = kNow - milliseconds(250);
  int to_all = 0;
  for (uint64_t round = 0; round < 4; ++round) {
    to_all += SendsToAllControlHosts(round, confirmed, kNow) ? 1 : 0;
    EXPECT_TRUE(SendsToAllControlHosts(round, TimePoint(), kNow));
    EXPECT_TRUE(SendsToAllControlHosts(round, kNow - seconds(1), kNow));
  }
  EXPECT_EQ(to_all, 2);
}

proto::HostInfo HostNamed(const std::string& host, uint64_t incarnation) {
  proto::HostInfo info;
  info.set_host(host);
  info.set_peer_address("10.0.0.1:1");
  info.set_incarnation(incarnation);
  return info;
}

// Three hundred hosts join one after the other while all send heartbeats. Each
// must be sent to each host once, not with every later change.
TEST(HostDirectory, SendsAHostOnceForEachChange) {
  constexpr int kHosts = 300;
  HostDirectory directory;
  std::vector<uint64_t> cursors;
  size_t sent = 0;
  for (int i = 0; i < kHosts; ++i) {
    directory.Update(HostNamed("h" + std::to_string(i), 1), kNow);
    cursors.push_back(0);
    for (uint64_t& cursor : cursors) {
      proto::HelloReply reply;
      directory.FillChanges(cursor, reply);
      cursor = directory.cursor();
      sent += static_cast<size_t>(reply.hosts_size());
    }
  }
  EXPECT_EQ(sent, static_cast<size_t>(kHosts) * kHosts);
  // A heartbeat without news changes nothing.
  directory.Update(HostNamed("h7", 1), kNow + seconds(1));
  proto::HelloReply quiet;
  directory.FillChanges(cursors[0], quiet);
  EXPECT_EQ(quiet.hosts_size(), 0);
  // A restart is one change.
  const uint64_t hash = directory.Hash();
  directory.Update(HostNamed("h7", 2), kNow + seconds(1));
  proto::HelloReply restarted;
  directory.FillChanges(cursors[0], restarted);
  ASSERT_EQ(restarted.hosts_size(), 1);
  EXPECT_EQ(restarted.hosts(0).host(), "h7");
  EXPECT_NE(directory.Hash(), hash);
}

Catalog SmallCatalog() {
  Catalog catalog;
  catalog.version = 3;
  catalog.services.push_back({"s", "/health", 10, 8});
  Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/a/";
  route.timeout = milliseconds(100);
  route.targets = {{"s", 1}};
  catalog.routes.push_back(route);
  catalog.accounts.push_back({"one", {"k1", "k2"}, {}, 5, 5});
  return catalog;
}

TEST(Catalog, AcceptsAValidCatalog) {
  EXPECT_TRUE(CheckCatalog(SmallCatalog()).has_value());
}

TEST(Catalog, RefusesEachKindOfMistake) {
  const auto refused = [](const std::function<void(Catalog&)>& spoil) {
    Catalog catalog = SmallCatalog();
    spoil(catalog);
    return !CheckCatalog(catalog).has_value();
  };
  EXPECT_TRUE(
      refused([](Catalog& c) { c.routes[0].targets[0].service = "x"; }));
  EXPECT_TRUE(refused([](Catalog& c) { c.routes.push_back(c.routes[0]); }));
  EXPECT_TRUE(refused([](Catalog& c) { c.routes[0].targets[0].weight = 0; }));
  EXPECT_TRUE(refused([](Catalog& c) { c.routes[0].targets.clear(); }));
  EXPECT_TRUE(
      refused([](Catalog& c) { c.routes[0].timeout = milliseconds(0); }));
  EXPECT_TRUE(refused([](Catalog& c) {
    c.accounts.push_back({"two", {"k2"}, {}, 0, 0});
  }));
}

TEST(Catalog, FindsTheLongestPrefix) {
  Catalog catalog = SmallCatalog();
  Route longer = catalog.routes[0];
  longer.name = "longer";
  longer.path_prefix = "/a/b/";
  catalog.routes.push_back(longer);
  const CatalogIndex index(std::move(catalog));
  EXPECT_EQ(index.FindRoute("h", "/a/b/c")->name, "longer");
  EXPECT_EQ(index.FindRoute("h", "/a/bc")->name, "r");
  EXPECT_EQ(index.FindRoute("h", "/ab/"), nullptr);
  EXPECT_EQ(index.FindRoute("other", "/a/"), nullptr);
  EXPECT_EQ(index.FindAccount("k2")->name, "one");
  EXPECT_EQ(index.FindAccount("k3"), nullptr);
}

std::string PutCommand(uint64_t version, const std::string& content) {
  proto::ControlCommand command;
  command.mutable_put_catalog()->set_version(version);
  command.mutable_put_catalog()->set_content(content);
  return command.SerializeAsString();
}

proto::HostInfo Host(const std::string& host, uint64_t incarnation) {
  proto::HostInfo info;
  info.set_host(host);
  info.set_incarnation(incarnation);
  return info;
}

// Late heartbeats of a process that was killed do not replace those of the
// process started after it.
TEST(HostDirectory, KeepsTheLaterProcessOfAHost) {
  HostDirectory directory;
  EXPECT_TRUE(directory.Update(Host("h", 1'000), kNow));
  EXPECT_TRUE(directory.Update(Host("h", 2'000), kNow + milliseconds(10)));
  EXPECT_FALSE(directory.Update(Host("h", 1'000), kNow + milliseconds(20)));
  EXPECT_EQ(directory.hosts().at("h").info.incarnation(), 2'000U);
}

// A host restarts after its wall clock was set back by seconds.
TEST(HostDirectory, TakesAProcessWhoseClockWasSetBack) {
  HostDirectory directory;
  EXPECT_TRUE(directory.Update(Host("h", 10'000), kNow));
  EXPECT_TRUE(directory.Update(Host("h", 3'000), kNow + milliseconds(800)));
  EXPECT_EQ(directory.hosts().at("h").info.incarnation(), 3'000U);
  directory.Expire(kNow + seconds(40));
  EXPECT_TRUE(directory.hosts().empty());
}

TEST(ControlState, OnlyAHigherVersionChangesTheCatalog) {
  ControlState state;
  EXPECT_TRUE(state.Apply(PutCommand(5, "five")).has_value());
  EXPECT_TRUE(state.Apply(PutCommand(4, "four")).has_value());
  EXPECT_TRUE(state.Apply(PutCommand(5, "other five")).has_value());
  EXPECT_EQ(state.catalog(), "five");
  ControlState loaded;
  fakes::CopyState(state, loaded);
  EXPECT_EQ(loaded.catalog(), "five");
  EXPECT_EQ(loaded.catalog_version(), 5U);
}

// Plans membership changes of a group of three voters.
class Planning : public ::testing::Test {
 protected:
  // Adds a host that had contact, and replied if it is a member, `ago`.
  void AddCandidate(const std::string& host, const std::string& disk,
                    const std::string& domain,
                    milliseconds ago = milliseconds(0)) {
    input_.candidates[host] = {host + "@" + disk, domain, kNow - ago};
    input_.last_replies[host + "@" + disk] = kNow - ago;
  }
  void SetUp() override {
    input_.now = kNow;
    input_.leads_since = kNow - seconds(100);
    input_.leader = "a@1";
    input_.max_voters = 3;
    for (const char* node : {"a@1", "b@1", "c@1"}) {
      input_.membership.add_voters(node);
    }
    AddCandidate("a", "1", "d1");
    AddCandidate("b", "1", "d2");
    AddCandidate("c", "1", "d3");
  }
  // Applies plans until nothing is left to do.
  void Settle() {
    for (int i = 0; i < 10; ++i) {
      input_.caught_up.clear();
      for (const std::string& learner : input_.membership.learners()) {
        if (kNow - input_.last_replies[learner] < seconds(1)) {
          input_.caught_up.insert(learner);
        }
      }
      const auto next = PlanMembership(input_);
      if (!next) {
        return;
      }
      int changed = 0;
      for (const std::string& voter : next->voters()) {
        changed += Has(input_.membership.voters(), voter) ? 0 : 1;
      }
      for (const std::string& voter : input_.membership.voters()) {
        changed += Has(next->voters(), voter) ? 0 : 1;
      }
      EXPECT_LE(changed, 1);
      input_.membership = *next;
    }
    FAIL() << "the planned membership does not converge";
  }
  static bool Has(const google::protobuf::RepeatedPtrField<std::string>& names,
                  const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  }
  bool Votes(const std::string& node) {
    return Has(input_.membership.voters(), node);
  }

  PlannerInput input_;
};

TEST_F(Planning, LeavesAHealthyGroupUnchanged) {
  EXPECT_FALSE(PlanMembership(input_).has_value());
}

TEST_F(Planning, AHostWithAReplacedDiskReturnsAsALearnerFirst) {
  AddCandidate("c", "2", "d3");
  const auto first = PlanMembership(input_);
  ASSERT_TRUE(first.has_value());
  EXPECT_FALSE(Has(first->voters(), "c@1"));
  EXPECT_FALSE(Has(first->voters(), "c@2"));
  Settle();
  EXPECT_TRUE(Votes("c@2"));
  EXPECT_EQ(input_.membership.voters_size(), 3);
}

TEST_F(Planning, AReplacedHostGivesItsVoteToItsSuccessor) {
  AddCandidate("c", "1", "d3", milliseconds(10'000));
  AddCandidate("e", "1", "d3");
  Settle();
  EXPECT_TRUE(Votes("e@1"));
  EXPECT_FALSE(Votes("c@1"));
}

// With twelve hosts that have a disk, a replica on every host would cost memory
// on each.
TEST_F(Planning, KeepsNoMoreMembersThanVotersAndStandbys) {
  input_.standbys = 1;
  for (const char* host : {"e", "f", "g", "h"}) {
    AddCandidate(host, "1", "d1");
  }
  AddCandidate("i", "1", "d2");
  Settle();
  EXPECT_EQ(input_.membership.voters_size(), 3);
  ASSERT_EQ(input_.membership.learners_size(), 1);
}

TEST_F(Planning, AStandbyTakesTheVoteOfAnUnresponsiveVoterAndIsReplaced) {
  input_.standbys = 1;
  AddCandidate("e", "1", "d3");
  Settle();
  ASSERT_TRUE(Has(input_.membership.learners(), "e@1"));
  AddCandidate("c", "1", "d3", milliseconds(10'000));
  AddCandidate("f", "1", "d3");
  Settle();
  EXPECT_TRUE(Votes("e@1"));
  EXPECT_FALSE(Votes("c@1"));
  EXPECT_TRUE(Has(input_.membership.learners(), "f@1"));
}

// The replica of a retired host moves to a host that had none.
TEST_F(Planning, ADecommissionedHostIsReplacedByANonMember) {
  input_.standbys = 1;
  AddCandidate("e", "1", "d3");
  Settle();
  AddCandidate("f", "1", "d2");
  input_.retiring = {"b"};
  Settle();
  EXPECT_FALSE(Votes("b@1"));
  EXPECT_EQ(input_.membership.voters_size(), 3);
  EXPECT_EQ(input_.membership.learners_size(), 1);
  // Each failure domain has one vote again, also that of the retired host.
  EXPECT_TRUE(Votes("a@1"));
  EXPECT_TRUE(Votes("f@1"));
  EXPECT_NE(Votes("c@1"), Votes("e@1"));
}

// Another host may lose its disk while a store host is being decommissioned. If
// that left two voters, one of them the lost disk, no entry could ever be
// committed again.
TEST_F(Planning, ADecommissionedHostKeepsItsVoteUntilAnotherHasOne) {
  input_.membership.add_learners("e@1");
  AddCandidate("e", "1", "d4");
  input_.retiring = {"c"};
  EXPECT_FALSE(PlanMembership(input_).has_value());
  input_.caught_up = {"e@1"};
  const auto next = PlanMembership(input_);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->voters_size(), 4);
  Settle();
  EXPECT_FALSE(Votes("c@1"));
  EXPECT_EQ(input_.membership.voters_size(), 3);
}

TEST_F(Planning, AnUnresponsiveVoterIsKeptWhenNobodyCanReplaceIt) {
  AddCandidate("c", "1", "d3", milliseconds(60'000));
  EXPECT_FALSE(PlanMembership(input_).has_value());
}

TEST_F(Planning, ANewLeaderWaitsForHostsItHasNotHadContactWith) {
  AddCandidate("e", "1", "d4");
  Settle();
  input_.candidates.erase("c");
  input_.last_replies.erase("c@1");
  input_.leads_since = kNow - milliseconds(500);
  EXPECT_FALSE(PlanMembership(input_).has_value());
}

// Guards against the loss of the group's quorum when the next disk is lost as
// soon as the successor of a lost host has had its time to catch up.
TEST_F(Planning, AnUpToDateLearnerTakesTheVoteOfAnUnresponsiveVoter) {
  AddCandidate("e", "1", "d3");
  Settle();
  ASSERT_TRUE(Has(input_.membership.learners(), "e@1"));
  AddCandidate("c", "1", "d3", milliseconds(2'000));
  input_.leads_since = kNow - milliseconds(1'600);
  Settle();
  EXPECT_TRUE(Votes("e@1"));
  EXPECT_FALSE(Votes("c@1"));
  EXPECT_EQ(input_.membership.voters_size(), 3);
}

// Guards against a vote for a learner that cannot hold it.
TEST_F(Planning, ALearnerBehindTheLogGetsNoVote) {
  AddCandidate("e", "1", "d3");
  Settle();
  input_.caught_up.clear();
  AddCandidate("c", "1", "d3", milliseconds(60'000));
  EXPECT_FALSE(PlanMembership(input_).has_value());
}

// Guards against a member being judged by heartbeats of its host, which arrive
// also where it cannot receive the log.
TEST_F(Planning, AVoterIsJudgedByItsRepliesAlone) {
  AddCandidate("e", "1", "d3");
  Settle();
  input_.last_replies["c@1"] = kNow - milliseconds(10'000);
  Settle();
  EXPECT_FALSE(Votes("c@1"));
  input_.candidates.erase("b");
  EXPECT_FALSE(PlanMembership(input_).has_value());
}

// Guards against the loss of a failure domain that has taken over the vote of
// another one, which has come back since.
TEST_F(Planning, VotesSpreadAgainOverTheFailureDomains) {
  AddCandidate("e", "1", "d2");
  AddCandidate("c", "1", "d3", milliseconds(3'000));
  Settle();
  ASSERT_TRUE(Votes("e@1"));
  ASSERT_FALSE(Votes("c@1"));
  AddCandidate("c", "1", "d3");
  Settle();
  EXPECT_TRUE(Votes("c@1"));
  EXPECT_NE(Votes("b@1"), Votes("e@1"));
  EXPECT_EQ(input_.membership.voters_size(), 3);
}

TEST_F(Planning, AReturningVoterBecomesALearner) {
  AddCandidate("c", "1", "d3", milliseconds(10'000));
  AddCandidate("e", "1", "d4");
  Settle();
  EXPECT_TRUE(Votes("e@1"));
  AddCandidate("c", "1", "d3");
  Settle();
  EXPECT_EQ(input_.membership.voters_size(), 3);
  EXPECT_EQ(input_.membership.learners_size(), 1);
}

TEST_F(Planning, AnAddedHostBecomesALearner) {
  AddCandidate("e", "1", "d4");
  Settle();
  EXPECT_EQ(input_.membership.voters_size(), 3);
  EXPECT_TRUE(Has(input_.membership.learners(), "e@1"));
}

TEST_F(Planning, ARetiredHostLeavesOnceAnotherReplacesIt) {
  AddCandidate("e", "1", "d4");
  Settle();
  input_.retiring = {"b"};
  Settle();
  EXPECT_FALSE(Votes("b@1"));
  EXPECT_TRUE(Votes("e@1"));
  EXPECT_EQ(input_.membership.voters_size(), 3);
}

TEST(PickInitialMembers, SpreadsOverDomainsAndPicksAnOddNumber) {
  const std::vector<GroupCandidate> candidates = {{"a@1", "d1", kNow},
                                                  {"b@1", "d1", kNow},
                                                  {"c@1", "d2", kNow},
                                                  {"d@1", "d3", kNow}};
  const auto picked = PickInitialMembers(candidates, 5);
  ASSERT_EQ(picked.size(), 3U);
  EXPECT_EQ(std::count(picked.begin(), picked.end(), "c@1"), 1);
  EXPECT_EQ(std::count(picked.begin(), picked.end(), "d@1"), 1);
}

TEST(FleetSettings, ReadsAHost) {
  const auto settings = ParseFleetSettings(
      R"({"host": "a", "failure_domain": "d", "peer": "10.0.0.1:7000",
          "duties": ["store"], "data_folder": "/data", "front": "",
          "seeds": ["10.0.0.2:80"], "withdrawal_ms": 5000, // new fields come
          "unknown": 1})",
      "test");
  ASSERT_TRUE(settings.has_value()) << settings.error().detail;
  EXPECT_TRUE(settings->store);
  EXPECT_FALSE(settings->front.has_value());
  EXPECT_EQ(settings->seed_peers()[0].ToString(), "10.0.0.2:7000");
}

TEST(FleetSettings, NamesWhatIsWrong) {
  for (const char* text :
       {R"({"failure_domain": "d", "peer": "10.0.0.1:7000"})",
        R"({"host": "a", "failure_domain": "d", "peer": "nowhere"})",
        R"({"host": "a", "failure_domain": "d", "peer": "10.0.0.1:7000",
            "duties": ["store"]})",
        R"({"host": "a", "failure_domain": "d", "peer": "10.0.0.1:7000",
            "front": "10.0.0.1:80"})",
        R"({"host": "a", "failure_domain": "d", "peer": "10.0.0.1:7000",
            "withdrawal_ms": "soon"})",
        R"({"host": "a", "failure_domain": "d", "peer": "10.0.0.1:7000",
            "duties": ["stor"], "data_folder": "/data"})",
        R"({"host": )"}) {
    const auto settings = ParseFleetSettings(text, "test");
    ASSERT_FALSE(settings.has_value()) << text;
    EXPECT_NE(settings.error().detail.find("test"), std::string::npos);
  }
}

}  // namespace
}  // namespace sequoialb
