// Tests that an item of a batch job is listed as dead only with proof: each
// failure is counted once, for the run that it ended, and time limits are
// measured by no wall clock.
#include <gtest/gtest.h>

#include "../fakes/raw_sockets.h"
#include "../fakes/single_store.h"
#include "http/http_client.h"

namespace sequoialb {
namespace {

using fakes::RawServer;

constexpr int64_t kGiveUpMs = 60'000;

class DeadItemsTest : public ::testing::Test {
 protected:
  static proto::JobRecord Job() {
    proto::JobRecord job;
    job.set_id("j");
    job.set_route_host("h");
    job.set_attempts(3);
    job.set_due_ms(18'000);
    job.set_give_up_ms(kGiveUpMs);
    job.set_keep_ms(120'000);
    job.add_items()->set_id("i");
    return job;
  }

  void StartWithJob() {
    host_.StartLeading();
    ASSERT_EQ(host_.Submit("a", Job()), "");
  }

  // Waits until the item is offered to a front and returns its run.
  proto::ItemName Run() {
    for (int i = 0; i < 40; ++i) {
      const proto::ItemOffers offers = host_.Report({}, 1);
      if (offers.offers_size() == 1) {
        proto::ItemName name;
        name.set_job(offers.offers(0).job());
        name.set_item(offers.offers(0).item().id());
        name.set_attempt(offers.offers(0).attempt());
        return name;
      }
      host_.Pass(milliseconds(100));
    }
    ADD_FAILURE() << "the item is not offered";
    return {};
  }

  void Fail(const proto::ItemName& run) {
    proto::ItemOutcome outcome;
    *outcome.mutable_name() = run;
    outcome.set_kind(proto::ItemOutcome::kFailed);
    host_.Send(outcome);
  }

  bool Dead() {
    const proto::JobAnswer answer = host_.Read("a", "j");
    EXPECT_EQ(answer.total(), 1U) << answer.detail();
    return answer.results_size() == 1 && answer.results(0).dead();
  }

  void StartWithJobOfCatalog7() {
    host_.StartLeading();
    proto::JobRecord job = Job();
    job.set_catalog_version(7);
    ASSERT_EQ(host_.Submit("a", job), "");
  }

  // Lets a front whose catalog has no route for the item report for some time.
  void MissRoute(Duration time, uint64_t catalog) {
    const TimePoint until = host_.now() + time;
    while (host_.now() < until) {
      const proto::ItemOffers offers = host_.Report({}, 1, catalog);
      if (offers.offers_size() == 1) {
        proto::ItemOutcome outcome;
        outcome.mutable_name()->set_job("j");
        outcome.mutable_name()->set_item("i");
        outcome.mutable_name()->set_attempt(offers.offers(0).attempt());
        outcome.set_kind(proto::ItemOutcome::kRouteMissing);
        outcome.set_catalog_version(catalog);
        host_.Send(outcome);
      }
      host_.Pass(milliseconds(100));
    }
  }

  // Fails runs until the item is dead and returns how many that took.
  int FailuresUntilDead() {
    for (int runs = 1; runs <= 9; ++runs) {
      Fail(Run());
      host_.Pass(seconds(1));
      if (Dead()) {
        return runs;
      }
    }
    return 0;
  }

  fakes::SingleStore host_;
};

TEST_F(DeadItemsTest, AnItemIsDeadAfterAsManyFailedRunsAsItsRouteAllows) {
  StartWithJob();
  EXPECT_EQ(FailuresUntilDead(), 3);
}

// Guards against a failure that counts again because the front, which has no
// acknowledgement yet, reported its item in between.
TEST_F(DeadItemsTest, AFailureSentAgainAfterAReportCountsOnce) {
  StartWithJob();
  const proto::ItemName run = Run();
  for (int copy = 0; copy < 4; ++copy) {
    Fail(run);
    host_.Report({run}, 0);
  }
  host_.Pass(milliseconds(1'000));
  EXPECT_FALSE(Dead());
  EXPECT_FALSE(host_.TakeAcknowledged().empty());
  EXPECT_EQ(FailuresUntilDead(), 2);
}

// Guards against a failure that a new leader counts after the one before it.
TEST_F(DeadItemsTest, AFailureSentAgainToANewLeaderCountsOnce) {
  StartWithJob();
  const proto::ItemName run = Run();
  Fail(run);
  for (int leader = 0; leader < 3; ++leader) {
    host_.StartLeading();
    host_.Report({run}, 0);
    Fail(run);
  }
  EXPECT_FALSE(Dead());
  EXPECT_EQ(FailuresUntilDead(), 2);
}

// Guards against a run of a new leader that has the name of an earlier run.
TEST_F(DeadItemsTest, RunsOfDifferentLeadersHaveDifferentNames) {
  StartWithJob();
  const proto::ItemName first = Run();
  host_.StartLeading();
  EXPECT_NE(Run().attempt(), first.attempt());
}

// Guards against a leader that counts the time since a job was accepted by its
// wall clock, which is ahead of that of the leader before it.
TEST_F(DeadItemsTest, ALeaderWhoseWallClockIsAheadEndsNoItem) {
  host_.StartLeading();
  host_.Stop();
  {
    // The earlier leader's clock was 90 s behind.
    JobTable jobs;
    GroupOptions options;
    options.name = "store";
    options.host = fakes::SingleStore::kHost;
    options.folder = "data/store";
    TimePoint now = host_.now();
    auto group = ConsensusGroup::Open(
        options, host_.files(), jobs, host_.metrics(),
        [](const auto&, const auto&) {}, now);
    ASSERT_TRUE(group.has_value());
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(50);
      (*group)->Tick(now);
      (*group)->Flush(now);
    }
    ASSERT_TRUE((*group)->leads());
    proto::StoreCommand command;
    *command.mutable_submit() = Job();
    command.mutable_submit()->set_account("a");
    command.mutable_submit()->set_accepted_unix_ms(UnixMs() - 90'000);
    (*group)->Propose(command.SerializeAsString(), now, [](const Status&) {});
    (*group)->Flush(now);
    ASSERT_NE(jobs.Find("j"), nullptr);
  }
  host_.StartLeading();
  host_.Pass(milliseconds(kGiveUpMs / 2));
  EXPECT_FALSE(Dead());
  host_.Pass(milliseconds(kGiveUpMs));
  EXPECT_TRUE(Dead());
}

// Guards against an item that is never listed, because a second item with its
// id hides it.
TEST_F(DeadItemsTest, AJobWithTwoItemsOfOneIdIsRefused) {
  host_.StartLeading();
  proto::JobRecord job = Job();
  job.add_items()->set_id("i");
  EXPECT_EQ(host_.Submit("a", job), ErrorName(ErrorCode::kInvalidField));
  EXPECT_EQ(host_.Read("a", "j").error_name(), ErrorName(ErrorCode::kNotFound));
}

// Guards against items that are given up at once because a snapshot of an
// earlier version does not say when their job was accepted.
TEST(DeadItemsClockTest, AJobFromASnapshotWithoutClockHasTheAgeItHadAtMost) {
  const auto apply = [](JobTable& table, const proto::StoreCommand& command) {
    ASSERT_TRUE(table.Apply(command.SerializeAsString()));
  };
  JobTable table;
  proto::StoreCommand submit;
  submit.mutable_submit()->set_id("j");
  submit.mutable_submit()->set_give_up_ms(kGiveUpMs);
  submit.mutable_submit()->add_items()->set_id("i");
  submit.set_clock_ms(100'000);
  apply(table, submit);
  // An earlier version keeps no clock.
  proto::StoredJob stored;
  ASSERT_TRUE(stored.ParseFromString(table.Save()().value()));
  stored.clear_clock_ms();
  stored.mutable_job()->clear_accepted_clock_ms();
  JobTable loaded;
  ASSERT_TRUE(loaded.LoadPart(stored.SerializeAsString()));
  proto::StoreCommand tick;
  tick.set_clock_ms(102'000);
  apply(loaded, tick);
  const int64_t age =
      loaded.clock_ms() - loaded.Find("j")->job.accepted_clock_ms();
  EXPECT_LE(age, 2'000);
}

// Guards against items that are ended by a front that is cut off from the
// control hosts, by a catalog that lacks their route and is no longer in force.
TEST_F(DeadItemsTest, AFrontWithAnOvertakenCatalogEndsNoItem) {
  StartWithJobOfCatalog7();
  // The front's authority ends within 4.75 s.
  MissRoute(milliseconds(4'750), 8);
  EXPECT_FALSE(Dead());
  host_.Pass(seconds(10));
  EXPECT_FALSE(Dead());
  // A front with the next catalog finds the route.
  const auto offers = host_.Report({}, 1, 9);
  ASSERT_EQ(offers.offers_size(), 1);
  proto::ItemOutcome outcome;
  outcome.mutable_name()->set_job("j");
  outcome.mutable_name()->set_item("i");
  outcome.mutable_name()->set_attempt(offers.offers(0).attempt());
  outcome.set_kind(proto::ItemOutcome::kComplete);
  host_.Send(outcome);
  EXPECT_EQ(host_.Read("a", "j").results_size(), 1);
  EXPECT_FALSE(Dead());
}

// Guards against items that are ended because a change without their route was
// in force for a moment, between two operators' changes.
TEST_F(DeadItemsTest, ARouteThatIsMissingForAMomentEndsNoItem) {
  StartWithJobOfCatalog7();
  for (uint64_t catalog = 8; catalog < 20; ++catalog) {
    MissRoute(seconds(5), catalog);
  }
  EXPECT_FALSE(Dead());
}

TEST_F(DeadItemsTest, AnItemWhoseRouteStaysRemovedIsDead) {
  StartWithJobOfCatalog7();
  MissRoute(seconds(9), 8);
  EXPECT_FALSE(Dead());
  MissRoute(seconds(2), 8);
  EXPECT_TRUE(Dead());
}

// Guards against an item that a front without its route ends: the caller's
// first answer was given after the route had been removed and added again.
TEST(DeadItemsCatalogTest, AJobSentAgainIsAcceptedByTheLaterCatalog) {
  JobTable table;
  proto::StoreCommand submit;
  submit.mutable_submit()->set_id("j");
  submit.mutable_submit()->add_items()->set_id("i");
  for (const uint64_t catalog : {7, 9}) {
    submit.mutable_submit()->set_catalog_version(catalog);
    ASSERT_TRUE(table.Apply(submit.SerializeAsString()));
  }
  EXPECT_EQ(table.Find("j")->job.catalog_version(), 9U);
}

// Guards against the second copy of an answer, which comes late on a kept
// connection, being taken for the answer to the next run of the same item.
TEST(DeadItemsAnswerTest, ALateSecondAnswerIsNotThatOfTheNextRun) {
  RawServer server([](Poco::Net::StreamSocket& socket, int connection) {
    while (!RawServer::ReadRequest(socket).empty()) {
      RawServer::Write(socket, connection == 0
                                   ? "HTTP/1.1 500 Failed\r\nId: i\r\n"
                                     "Content-Length: 0\r\n\r\n"
                                   : "HTTP/1.1 200 OK\r\nId: i\r\n"
                                     "Content-Length: 0\r\n\r\n");
    }
  });
  Metrics metrics;
  fakes::LoopThread thread;
  std::unique_ptr<HttpClient> client;
  thread.Run(
      [&] { client = std::make_unique<HttpClient>(thread.loop(), metrics); });
  std::vector<int> statuses;
  for (int run = 0; run < 2; ++run) {
    std::promise<int> status;
    std::unique_ptr<HttpCall> call;
    thread.Run([&] {
      CallOptions options;
      options.request = "POST /a HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n";
      options.request_id_header = "Id";
      options.request_id = "i";
      options.max_idle = milliseconds(60'000);
      options.connect_deadline = thread.loop().now() + milliseconds(5'000);
      const auto got = std::make_shared<int>(0);
      CallEvents events;
      events.on_head = [got](const ResponseHead& head) { *got = head.status; };
      events.on_complete = [got, &status] { status.set_value(*got); };
      events.on_failure = [&](CallFailure) { status.set_value(-1); };
      call = client->Start(server.address(), std::move(options),
                           std::move(events));
    });
    statuses.push_back(status.get_future().get());
    thread.Run([&] { call.reset(); });
  }
  thread.Run([&] { client.reset(); });
  EXPECT_EQ(statuses, (std::vector<int>{500, 200}));
}

}  // namespace
}  // namespace sequoialb
