// Decisions of the dispatcher, one by one.
#include "dispatch/scheduler.h"

#include <gtest/gtest.h>

namespace sequoialb {
namespace {

class SchedulerTest : public ::testing::Test {
 protected:
  void Announce(const std::string& id, uint32_t slots, bool leaving = false) {
    proto::Backend backend;
    backend.set_id(id);
    backend.set_service("s");
    backend.add_models("m");
    backend.set_slots(slots);
    backend.set_leaving(leaving);
    scheduler_.OnAnnounce(backend, now_);
    Take();
  }

  void Ask(uint64_t id, bool batch, const std::string& account = "a",
           milliseconds patience = seconds(10), bool solo = false) {
    SlotAsk ask;
    ask.request.set_service("s");
    ask.request.set_model("m");
    ask.request.set_request_id(id);
    ask.request.set_origin("h1");
    ask.request.set_account(account);
    ask.request.set_batch(batch);
    ask.request.set_solo(solo);
    ask.deadline = now_ + patience;
    scheduler_.OnAsk(ask, now_);
    Take();
  }

  void Release(uint64_t id, bool failed = false) {
    proto::SlotRelease release;
    release.set_slot(granted_.at(id).slot);
    release.set_backend(granted_.at(id).backend.id());
    release.set_failed(failed);
    scheduler_.OnRelease(release, now_);
    Take();
  }

  void Pass(milliseconds time) {
    now_ += time;
    scheduler_.Tick(now_);
    Take();
  }

  void Take() {
    for (const DispatchAction& action : scheduler_.TakeActions()) {
      if (const auto* grant = std::get_if<GrantSlot>(&action)) {
        granted_.emplace(grant->request_id, *grant);
        order_.push_back(grant->request_id);
      } else if (const auto* refusal = std::get_if<RefuseSlot>(&action)) {
        refused_.emplace(refusal->request_id, refusal->error);
      } else if (const auto* revocation = std::get_if<RevokeSlot>(&action)) {
        revoked_.push_back(revocation->slot);
      } else if (const auto* forward = std::get_if<ForwardAsk>(&action)) {
        forwarded_.push_back(forward->failure_domain);
      }
    }
  }

  TimePoint now_ = TimePoint() + seconds(1'000);
  Scheduler scheduler_{SchedulerOptions{}, 1};
  std::map<uint64_t, GrantSlot> granted_;
  std::vector<uint64_t> order_;
  std::map<uint64_t, Error> refused_;
  std::vector<uint64_t> revoked_;
  std::vector<std::string> forwarded_;
};

TEST_F(SchedulerTest, BatchLeavesHeadroomAndIsRevokedForOnline) {
  Announce("e1", 4);
  for (uint64_t id = 1; id <= 5; ++id) {
    Ask(id, true);
  }
  EXPECT_EQ(granted_.size(), 3U);  // A quarter of the slots stays free.
  Ask(10, false);
  EXPECT_EQ(granted_.count(10), 1U);
  EXPECT_TRUE(revoked_.empty());
  Ask(11, false);
  EXPECT_EQ(granted_.count(11), 0U);
  ASSERT_EQ(revoked_.size(), 1U);
  EXPECT_EQ(revoked_[0],
            granted_.at(3).slot);  // The youngest has least to lose.
  Release(3);
  EXPECT_EQ(granted_.count(11), 1U);
  EXPECT_EQ(granted_.count(4), 0U);
}

TEST_F(SchedulerTest, WaitingAccountsTakeTurns) {
  Announce("e1", 1);
  Ask(1, false, "flood");
  for (uint64_t id = 2; id <= 6; ++id) {
    Ask(id, false, "flood");
  }
  Ask(7, false, "small");
  Release(1);
  Release(order_.back());
  EXPECT_TRUE(granted_.count(7) > 0);
}

TEST_F(SchedulerTest, DeadlinesEndInATrueRefusal) {
  Announce("e1", 1);
  Ask(1, false);
  Ask(2, false, "a", milliseconds(100));
  Pass(milliseconds(150));
  ASSERT_EQ(refused_.count(2), 1U);
  EXPECT_EQ(refused_.at(2).run, RunState::kNotRun);
  EXPECT_EQ(refused_.at(2).code, ErrorCode::kOverloaded);
  Release(1);
  EXPECT_EQ(granted_.count(2), 0U);
}

TEST_F(SchedulerTest, LeavingAndSilentServersGetNothing) {
  Announce("e1", 2);
  Announce("e1", 2, true);
  Ask(1, false);
  EXPECT_TRUE(granted_.empty());
  Announce("e2", 2);
  EXPECT_EQ(granted_.count(1), 1U);
  Pass(milliseconds(1'600));
  Ask(2, false);
  EXPECT_EQ(granted_.count(2), 0U);
}

TEST_F(SchedulerTest, SoloWorkHasTheServerToItself) {
  Announce("e1", 4);
  Ask(1, true);
  Ask(2, true, "a", seconds(10), true);
  Pass(milliseconds(20));
  Ask(3, true);
  EXPECT_EQ(granted_.count(2), 0U);
  EXPECT_EQ(granted_.count(3), 0U);  // Kept away, so that the server empties.
  Release(1);
  EXPECT_EQ(granted_.count(2), 1U);
  EXPECT_EQ(granted_.count(3), 0U);
  Release(2);
  Pass(milliseconds(20));
  EXPECT_EQ(granted_.count(3), 1U);
}

TEST_F(SchedulerTest, AfterAFailureAServerMustBeHeardAgain) {
  Announce("e1", 4);
  Ask(1, true);
  Release(1, true);
  Ask(2, true);
  EXPECT_EQ(granted_.count(2), 0U);
  now_ += milliseconds(400);
  Announce("e1", 4);
  EXPECT_EQ(granted_.count(2), 1U);
}

TEST_F(SchedulerTest, ABreakerOpensAndProbesWithOneRequest) {
  Announce("e1", 4);
  for (uint64_t id = 1; id <= 3; ++id) {
    Ask(id, false);
    Release(id, true);
    now_ += milliseconds(1);
    Announce("e1", 4);
  }
  Ask(4, false);
  EXPECT_EQ(granted_.count(4), 0U);
  now_ += milliseconds(1'050);
  Announce("e1", 4);
  Pass(milliseconds(1));
  EXPECT_EQ(granted_.count(4), 1U);
  Ask(5, false);
  EXPECT_EQ(granted_.count(5), 0U);
  Release(4);
  EXPECT_EQ(granted_.count(5), 1U);
}

TEST_F(SchedulerTest, ASilentHostsSlotsAreFreedAndComeBackWithItsList) {
  Announce("e1", 1);
  Ask(1, false);
  for (int i = 0; i < 3; ++i) {
    now_ += milliseconds(900);
    Announce("e1", 1);
    Pass(milliseconds(1));
  }
  EXPECT_EQ(scheduler_.backends().all().at("e1").online, 0U);
  proto::SlotsHeld held;
  held.add_held()->set_slot(granted_.at(1).slot);
  held.mutable_held(0)->set_backend("e1");
  scheduler_.OnHeld("h1", held, now_);
  EXPECT_EQ(scheduler_.backends().all().at("e1").online, 1U);
}

TEST_F(SchedulerTest, OverflowGoesToADomainWithRoomOnce) {
  proto::DomainLoad load;
  load.set_failure_domain("d2");
  auto& service = *load.add_services();
  service.set_service("s");
  service.add_models("m");
  service.set_free_slots(1);
  service.set_slots(4);
  service.set_servers(1);
  scheduler_.OnRemoteLoad(load, now_);
  Ask(1, false);
  Ask(2, false);
  // The second would go to the same place on the strength of the same word.
  EXPECT_EQ(forwarded_, std::vector<std::string>{"d2"});
}

TEST_F(SchedulerTest, ADomainWhoseServersAllFailedTheRequestIsNotTried) {
  proto::DomainLoad load;
  load.set_failure_domain("d2");
  auto& service = *load.add_services();
  service.set_service("s");
  service.add_models("m");
  service.set_free_slots(4);
  service.set_slots(4);
  service.set_servers(1);
  scheduler_.OnRemoteLoad(load, now_);
  SlotAsk ask;
  ask.request.set_service("s");
  ask.request.set_model("m");
  ask.request.set_request_id(1);
  ask.request.set_origin("h1");
  ask.request.add_avoid("e9");
  ask.request.add_avoid_domains("d2");
  ask.deadline = now_ + seconds(1);
  scheduler_.OnAsk(ask, now_);
  Take();
  EXPECT_TRUE(forwarded_.empty());
}

TEST_F(SchedulerTest, ARepeatedRequestWaitsOnce) {
  Announce("e1", 1);
  Ask(1, false);
  Ask(2, false);
  Ask(2, false);
  EXPECT_EQ(scheduler_.queued_online(), 1U);
}

}  // namespace
}  // namespace sequoialb
