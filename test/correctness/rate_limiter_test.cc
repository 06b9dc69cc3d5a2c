// Tests the rate limits at one front: it requests a token from the owner before
// it refuses a caller, and uses its share of the rate while no owner answers.
#include "gateway/rate_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "../fakes/raw_sockets.h"
#include "gateway/stall_policy.h"

namespace sequoialb {
namespace {

class RateLimiterTest : public ::testing::Test {
 protected:
  void SetUp() override {
    thread_.Run([this] {
      limiter_ = std::make_unique<RateLimiter>(
          thread_.loop(), metrics_, [this](const proto::TokenRequest& request) {
            requests_.push_back(request);
          });
    });
  }
  void TearDown() override {
    thread_.Run([this] { limiter_.reset(); });
  }

  void Take() {
    thread_.Run([this] {
      limiter_->Take(account_, [this](const RateLimiter::Answer& answer) {
        answers_.push_back(answer);
      });
    });
  }
  void Reply(uint32_t granted, int64_t retry_after_ms = 0) {
    thread_.Run([&] {
      proto::TokenReply reply;
      reply.set_request_id(requests_.back().request_id());
      reply.set_account(account_.name);
      reply.set_granted(granted);
      reply.set_valid_ms(300);
      reply.set_retry_after_ms(retry_after_ms);
      limiter_->OnReply(reply);
    });
  }
  size_t Answers() {
    size_t count = 0;
    thread_.Run([&] { count = answers_.size(); });
    return count;
  }
  void AwaitAnswers(size_t count) {
    while (Answers() < count) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  // The rate is so low that no token accrues during a test.
  Account account_{"acct", {"k"}, {}, 0.01, 10};
  Metrics metrics_;
  fakes::LoopThread thread_;
  std::unique_ptr<RateLimiter> limiter_;
  std::vector<proto::TokenRequest> requests_;
  std::vector<RateLimiter::Answer> answers_;
};

TEST_F(RateLimiterTest, TakesATokenThatTheOwnerLeases) {
  Take();
  ASSERT_EQ(requests_.size(), 1U);
  EXPECT_EQ(requests_[0].want(), 1U);
  EXPECT_EQ(Answers(), 0U);
  Reply(1);
  ASSERT_EQ(Answers(), 1U);
  EXPECT_TRUE(answers_[0].taken);
}

TEST_F(RateLimiterTest, RefusesOnlyWhenTheOwnerRefuses) {
  Take();
  Reply(0, 70);
  ASSERT_EQ(Answers(), 1U);
  EXPECT_FALSE(answers_[0].taken);
  EXPECT_EQ(answers_[0].retry_after_ms, 70);
}

// While there is no control leader, requests within the front's share must
// still be admitted.
TEST_F(RateLimiterTest, UsesItsShareWhileNoOwnerAnswers) {
  thread_.Run([this] { limiter_->SetFronts(4); });
  for (int i = 0; i < 6; ++i) {
    Take();
  }
  AwaitAnswers(6);
  const auto taken = std::count_if(
      answers_.begin(), answers_.end(),
      [](const RateLimiter::Answer& answer) { return answer.taken; });
  // A quarter of a burst of ten.
  EXPECT_EQ(taken, 2);
}

// Guards against twice the rate after the owner is lost: a front that has just
// spent its part of the burst by the owner's grants has no share left.
TEST_F(RateLimiterTest, GrantsOfTheOwnerCountAgainstTheShare) {
  thread_.Run([this] { limiter_->SetFronts(4); });
  Take();
  Reply(2);
  Take();
  ASSERT_EQ(Answers(), 2U);
  for (int i = 0; i < 4; ++i) {
    Take();
  }
  AwaitAnswers(6);
  EXPECT_EQ(std::count_if(
                answers_.begin(), answers_.end(),
                [](const RateLimiter::Answer& answer) { return answer.taken; }),
            2);
}

// Guards against an answer to the process before a restart that is taken for an
// answer to this one's request.
TEST(TokenLeaseHolder, IgnoresRepliesToItsPredecessor) {
  const TimePoint now = TimePoint(seconds(100));
  TokenLeaseHolder before(false);
  TokenLeaseHolder after(false);
  before.Begin("acct", now);
  const uint64_t ticket = after.Begin("acct", now);
  const auto late = before.TakeMessages(now);
  const auto own = after.TakeMessages(now);
  ASSERT_EQ(late.size(), 1U);
  ASSERT_EQ(own.size(), 1U);
  proto::TokenReply reply;
  reply.set_account("acct");
  reply.set_granted(1);
  reply.set_valid_ms(300);
  reply.set_request_id(late[0].request.request_id());
  after.OnReply(reply, now);
  EXPECT_EQ(after.Poll("acct", ticket, now).answer,
            TokenLeaseHolder::Answer::kWait);
  reply.set_request_id(own[0].request.request_id());
  after.OnReply(reply, now);
  EXPECT_EQ(after.Poll("acct", ticket, now).answer,
            TokenLeaseHolder::Answer::kTaken);
}

// A new owner's bucket begins empty. Under a demand above the rate it never
// fills, and must not leave the refusals to the fronts without an end.
TEST(OwnerBucket, RecoversUnderADemandAboveTheRate) {
  const TimePoint begin = TimePoint(seconds(100));
  OwnerBucket bucket({20, 20}, begin);
  TimePoint now = begin;
  double leased = 0;
  for (; now < begin + seconds(5); now += milliseconds(8)) {
    leased += bucket.LeaseTokens("f", 1, now, now + seconds(1));
    bucket.ApplyReport("f", 1, 0, now);
    EXPECT_EQ(bucket.IsRecovering(now), now < begin + seconds(1));
  }
  EXPECT_NEAR(leased, 100, 2);
}

TEST(StallPolicy, LeavesTimeForAnotherServer) {
  Route route;
  route.latency_target = milliseconds(300);
  route.gap_target = milliseconds(400);
  const TimePoint now = TimePoint(seconds(10));
  EXPECT_EQ(StreamStallsAt(route, now), now + milliseconds(280));
  EXPECT_EQ(FirstEventStallsAt(route, now), now + milliseconds(150));
  route.latency_target = milliseconds(50);
  EXPECT_EQ(FirstEventStallsAt(route, now), now + kMinStallTime);
}

}  // namespace
}  // namespace sequoialb
