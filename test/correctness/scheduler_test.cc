// Tests single decisions of the dispatcher.
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
    CollectActions();
  }

  void RequestSlot(uint64_t id, bool batch, const std::string& account = "a",
                   milliseconds timeout = seconds(10), bool solo = false) {
    PendingRequest pending;
    pending.request.set_service("s");
    pending.request.set_model("m");
    pending.request.set_request_id(id);
    pending.request.set_origin("h1");
    pending.request.set_account(account);
    pending.request.set_batch(batch);
    pending.request.set_solo(solo);
    pending.deadline = now_ + timeout;
    scheduler_.OnRequest(pending, now_);
    CollectActions();
  }

  void Release(uint64_t id, bool failed = false) {
    proto::SlotRelease release;
    release.set_slot(granted_.at(id).slot);
    release.set_backend(granted_.at(id).backend.id());
    release.set_failed(failed);
    scheduler_.OnRelease(release, now_);
    CollectActions();
  }

  void AdvanceTime(milliseconds time) {
    now_ += time;
    scheduler_.Tick(now_);
    CollectActions();
  }

  void CollectActions() {
    for (const DispatchAction& action : scheduler_.TakeActions()) {
      if (const auto* grant = std::get_if<GrantSlot>(&action)) {
        granted_.emplace(grant->request_id, *grant);
        order_.push_back(grant->request_id);
      } else if (const auto* refusal = std::get_if<RefuseSlot>(&action)) {
        refused_.emplace(refusal->request_id, refusal->error);
      } else if (const auto* revocation = std::get_if<RevokeSlot>(&action)) {
        revoked_.push_back(revocation->slot);
      } else if (const auto* forward = std::get_if<ForwardRequest>(&action)) {
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
    RequestSlot(id, true);
  }
  EXPECT_EQ(granted_.size(), 3U);  // A quarter of the slots stays free.
  RequestSlot(10, false);
  EXPECT_EQ(granted_.count(10), 1U);
  EXPECT_TRUE(revoked_.empty());
  RequestSlot(11, false);
  EXPECT_EQ(granted_.count(11), 0U);
  ASSERT_EQ(revoked_.size(), 1U);
  // The youngest has the least progress to lose.
  EXPECT_EQ(revoked_[0], granted_.at(3).slot);
  Release(3);
  EXPECT_EQ(granted_.count(11), 1U);
  EXPECT_EQ(granted_.count(4), 0U);
}

TEST_F(SchedulerTest, WaitingAccountsTakeTurns) {
  Announce("e1", 1);
  RequestSlot(1, false, "flood");
  for (uint64_t id = 2; id <= 6; ++id) {
    RequestSlot(id, false, "flood");
  }
  RequestSlot(7, false, "small");
  Release(1);
  Release(order_.back());
  EXPECT_TRUE(granted_.count(7) > 0);
}

TEST_F(SchedulerTest, AnExpiredRequestIsRefusedAsNotRun) {
  Announce("e1", 1);
  RequestSlot(1, false);
  RequestSlot(2, false, "a", milliseconds(100));
  AdvanceTime(milliseconds(150));
  ASSERT_EQ(refused_.count(2), 1U);
  EXPECT_EQ(refused_.at(2).run, RunState::kNotRun);
  EXPECT_EQ(refused_.at(2).code, ErrorCode::kOverloaded);
  Release(1);
  EXPECT_EQ(granted_.count(2), 0U);
}

TEST_F(SchedulerTest, DrainingAndUnresponsiveServersGetNoWork) {
  Announce("e1", 2);
  Announce("e1", 2, true);
  RequestSlot(1, false);
  EXPECT_TRUE(granted_.empty());
  Announce("e2", 2);
  EXPECT_EQ(granted_.count(1), 1U);
  AdvanceTime(milliseconds(1'600));
  RequestSlot(2, false);
  EXPECT_EQ(granted_.count(2), 0U);
}

TEST_F(SchedulerTest, ASoloRequestRunsWithoutOtherBatchWork) {
  Announce("e1", 4);
  RequestSlot(1, true);
  RequestSlot(2, true, "a", seconds(10), true);
  AdvanceTime(milliseconds(20));
  RequestSlot(3, true);
  EXPECT_EQ(granted_.count(2), 0U);
  // Held back until the solo request has run.
  EXPECT_EQ(granted_.count(3), 0U);
  Release(1);
  EXPECT_EQ(granted_.count(2), 1U);
  EXPECT_EQ(granted_.count(3), 0U);
  Release(2);
  AdvanceTime(milliseconds(20));
  EXPECT_EQ(granted_.count(3), 1U);
}

TEST_F(SchedulerTest, AfterAFailureAServerMustAnnounceItselfAgain) {
  Announce("e1", 4);
  RequestSlot(1, true);
  Release(1, true);
  RequestSlot(2, true);
  EXPECT_EQ(granted_.count(2), 0U);
  now_ += milliseconds(400);
  Announce("e1", 4);
  EXPECT_EQ(granted_.count(2), 1U);
}

TEST_F(SchedulerTest, ABreakerOpensAndProbesWithOneRequest) {
  Announce("e1", 4);
  for (uint64_t id = 1; id <= 3; ++id) {
    RequestSlot(id, false);
    Release(id, true);
    now_ += milliseconds(1);
    Announce("e1", 4);
  }
  RequestSlot(4, false);
  EXPECT_EQ(granted_.count(4), 0U);
  now_ += milliseconds(1'050);
  Announce("e1", 4);
  AdvanceTime(milliseconds(1));
  EXPECT_EQ(granted_.count(4), 1U);
  RequestSlot(5, false);
  EXPECT_EQ(granted_.count(5), 0U);
  Release(4);
  EXPECT_EQ(granted_.count(5), 1U);
}

TEST_F(SchedulerTest, SlotsOfAnUnresponsiveHostAreFreedAndRestoredByItsList) {
  Announce("e1", 1);
  RequestSlot(1, false);
  for (int i = 0; i < 3; ++i) {
    now_ += milliseconds(900);
    Announce("e1", 1);
    AdvanceTime(milliseconds(1));
  }
  EXPECT_EQ(scheduler_.backends().all().at("e1").online, 0U);
  proto::SlotsHeld held;
  held.add_held()->set_slot(granted_.at(1).slot);
  held.mutable_held(0)->set_backend("e1");
  scheduler_.OnHeldSlots("h1", held, now_);
  EXPECT_EQ(scheduler_.backends().all().at("e1").online, 1U);
}

TEST_F(SchedulerTest, OverflowIsForwardedOncePerReportedFreeSlot) {
  proto::DomainLoad load;
  load.set_failure_domain("d2");
  auto& service = *load.add_services();
  service.set_service("s");
  service.add_models("m");
  service.set_free_slots(1);
  service.set_slots(4);
  service.set_servers(1);
  scheduler_.OnRemoteLoad(load, now_);
  RequestSlot(1, false);
  RequestSlot(2, false);
  // The first request took the only free slot in the last load report.
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
  PendingRequest pending;
  pending.request.set_service("s");
  pending.request.set_model("m");
  pending.request.set_request_id(1);
  pending.request.set_origin("h1");
  pending.request.add_avoid("e9");
  pending.request.add_avoid_domains("d2");
  pending.deadline = now_ + seconds(1);
  scheduler_.OnRequest(pending, now_);
  CollectActions();
  EXPECT_TRUE(forwarded_.empty());
}

TEST_F(SchedulerTest, ARepeatedRequestIsQueuedOnce) {
  Announce("e1", 1);
  RequestSlot(1, false);
  RequestSlot(2, false);
  RequestSlot(2, false);
  EXPECT_EQ(scheduler_.queued_online(), 1U);
}

}  // namespace
}  // namespace sequoialb
