// Tests that an item of a batch job is listed as dead only with proof: each
// failure is counted once, for the run that it ended, and time limits are
// measured by no wall clock.
#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "../fakes/memory_files.h"
#include "../fakes/raw_sockets.h"
#include "http/http_client.h"
#include "jobs/store_service.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

using fakes::RawServer;

constexpr char kHost[] = "h1";
constexpr int64_t kGiveUpMs = 60'000;

// A store group with a single member, which also plays the fronts: messages to
// itself are its answers to them.
class DeadItemsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    SetLogLevel("error");
    Address listen{"127.0.0.1", 0};
    {
      Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1", 0));
      listen.port = free.address().port();
    }
    self_.set_host(kHost);
    self_.set_failure_domain("d1");
    self_.set_peer_address(listen.ToString());
    self_.set_store(true);
    auto links = HostLinks::Open(self_, listen, metrics_);
    ASSERT_TRUE(links.has_value());
    links_ = std::move(*links);
  }

  // Starts the host, also a second time on the same disk, and waits until it
  // leads.
  void StartLeading() {
    store_.reset();
    auto opened =
        StoreService::Open(self_, "data", 0, files_, *links_, metrics_, now_);
    ASSERT_TRUE(opened.has_value());
    store_ = std::move(*opened);
    proto::HelloReply reply;
    reply.set_confirmed(true);
    reply.add_store_founders(store_->node());
    store_->OnFleetUpdate({}, reply, now_);
    Pass(milliseconds(4'000));
    ASSERT_TRUE(store_->status().leads());
  }

  void Pass(Duration time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      now_ += milliseconds(50);
      store_->Tick(now_);
      store_->Flush(now_);
      Drain();
    }
  }

  void Drain() {
    links_->Drain([this](const std::string&, const proto::FleetMessage& m) {
      if (m.has_item_offers()) {
        offers_ = m.item_offers();
      } else if (m.has_job_answer()) {
        answer_ = m.job_answer();
      } else if (m.has_item_taken()) {
        ++acknowledged_;
      }
    });
  }

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

  void Submit() {
    proto::JobCall call;
    call.set_account("a");
    *call.mutable_submit() = Job();
    store_->OnCall(kHost, call, now_);
    Pass(milliseconds(50));
    ASSERT_EQ(answer_.error_name(), "");
  }

  // Reports the items that a front holds, and returns what it is offered.
  proto::ItemOffers Report(const std::vector<proto::ItemName>& in_hand,
                           uint32_t free_slots) {
    proto::ItemReport report;
    for (const proto::ItemName& name : in_hand) {
      *report.add_in_hand() = name;
    }
    report.add_room()->set_items(free_slots);
    offers_.Clear();
    store_->OnReport(kHost, report, now_);
    store_->Flush(now_);
    Drain();
    return offers_;
  }

  // Waits until the item is offered to a front and returns its run.
  proto::ItemName Run() {
    for (int i = 0; i < 40; ++i) {
      const proto::ItemOffers offers = Report({}, 1);
      if (offers.offers_size() == 1) {
        proto::ItemName name;
        name.set_job(offers.offers(0).job());
        name.set_item(offers.offers(0).item().id());
        name.set_attempt(offers.offers(0).attempt());
        return name;
      }
      Pass(milliseconds(100));
    }
    ADD_FAILURE() << "the item is not offered";
    return {};
  }

  void Fail(const proto::ItemName& run) {
    proto::ItemOutcome outcome;
    *outcome.mutable_name() = run;
    outcome.set_kind(proto::ItemOutcome::kFailed);
    store_->OnOutcome(kHost, outcome, now_);
    store_->Flush(now_);
    Drain();
  }

  // Returns whether the item is listed as dead.
  bool Dead() {
    proto::JobCall call;
    call.set_account("a");
    call.mutable_read()->set_job("j");
    answer_.Clear();
    store_->OnCall(kHost, call, now_);
    Drain();
    EXPECT_EQ(answer_.total(), 1U) << answer_.detail();
    return answer_.results_size() == 1 && answer_.results(0).dead();
  }

  // Fails runs until the item is dead and returns how many that took.
  int FailuresUntilDead() {
    for (int runs = 1; runs <= 9; ++runs) {
      Fail(Run());
      Pass(milliseconds(1'000));
      if (Dead()) {
        return runs;
      }
    }
    return 0;
  }

  TimePoint now_ = TimePoint(seconds(1'000));
  proto::HostInfo self_;
  Metrics metrics_;
  fakes::MemoryFiles files_;
  std::unique_ptr<HostLinks> links_;
  std::unique_ptr<StoreService> store_;
  proto::ItemOffers offers_;
  proto::JobAnswer answer_;
  int acknowledged_ = 0;
};

TEST_F(DeadItemsTest, AnItemIsDeadAfterAsManyFailedRunsAsItsRouteAllows) {
  StartLeading();
  Submit();
  EXPECT_EQ(FailuresUntilDead(), 3);
}

// Guards against a failure that counts again because the front, which has no
// acknowledgement yet, reported its item in between.
TEST_F(DeadItemsTest, AFailureSentAgainAfterAReportCountsOnce) {
  StartLeading();
  Submit();
  const proto::ItemName run = Run();
  for (int copy = 0; copy < 4; ++copy) {
    Fail(run);
    Report({run}, 0);
  }
  Pass(milliseconds(1'000));
  EXPECT_FALSE(Dead());
  EXPECT_GE(acknowledged_, 1);
  EXPECT_EQ(FailuresUntilDead(), 2);
}

// Guards against a failure that a new leader counts after the one before it.
TEST_F(DeadItemsTest, AFailureSentAgainToANewLeaderCountsOnce) {
  StartLeading();
  Submit();
  const proto::ItemName run = Run();
  Fail(run);
  for (int leader = 0; leader < 3; ++leader) {
    StartLeading();
    Report({run}, 0);
    Fail(run);
  }
  EXPECT_FALSE(Dead());
  EXPECT_EQ(FailuresUntilDead(), 2);
}

// Guards against a run of a new leader that has the name of an earlier run.
TEST_F(DeadItemsTest, RunsOfDifferentLeadersHaveDifferentNames) {
  StartLeading();
  Submit();
  const proto::ItemName first = Run();
  StartLeading();
  EXPECT_NE(Run().attempt(), first.attempt());
}

// Guards against a leader that counts the time since a job was accepted by its
// wall clock, which is ahead of that of the leader before it.
TEST_F(DeadItemsTest, ALeaderWhoseWallClockIsAheadEndsNoItem) {
  StartLeading();
  const std::string node = store_->node();
  store_.reset();
  {
    // The earlier leader's clock was 90 s behind.
    JobTable jobs;
    GroupOptions options;
    options.name = "store";
    options.host = kHost;
    options.folder = "data/store";
    auto group = ConsensusGroup::Open(
        options, files_, jobs, metrics_, [](const auto&, const auto&) {}, now_);
    ASSERT_TRUE(group.has_value());
    for (int i = 0; i < 100; ++i) {
      now_ += milliseconds(50);
      (*group)->Tick(now_);
      (*group)->Flush(now_);
    }
    ASSERT_TRUE((*group)->leads());
    proto::StoreCommand command;
    *command.mutable_submit() = Job();
    command.mutable_submit()->set_account("a");
    command.mutable_submit()->set_accepted_unix_ms(UnixMs() - 90'000);
    (*group)->Propose(command.SerializeAsString(), now_, [](const Status&) {});
    (*group)->Flush(now_);
    ASSERT_NE(jobs.Find("j"), nullptr);
  }
  StartLeading();
  Pass(milliseconds(kGiveUpMs / 2));
  EXPECT_FALSE(Dead());
  Pass(milliseconds(kGiveUpMs));
  EXPECT_TRUE(Dead());
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
