// Replays recoveries in which the callers of whole seconds are refused for lack
// of an authority lease, and counts how many are served when they return.
#include "gateway/authority_policy.h"

#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <map>
#include <random>

namespace sequoialb {
namespace {

const TimePoint kStart = TimePoint(seconds(1'000));

TimePoint At(int64_t ms) { return kStart + milliseconds(ms); }

// A caller's deadline, and the share of what is left of it that callers are
// willing to wait for.
constexpr int64_t kDeadlineMs = 5'000;
constexpr int64_t kCallersPerMs = 1;

struct Outcome {
  int served = 0;
  int refused_twice = 0;
  // The most returns within 100 ms.
  int peak = 0;
};

// Chooses a delay from the status, the time and a jitter in [0, 1).
using Policy =
    std::function<int64_t(const AuthorityStatus&, TimePoint, double)>;

int64_t Informed(const AuthorityStatus& status, TimePoint now, double jitter) {
  return RetryWithoutAuthority(status, now, jitter).count();
}
int64_t Constant(const AuthorityStatus& /*status*/, TimePoint /*now*/,
                 double /*jitter*/) {
  return 300;
}
int64_t None(const AuthorityStatus& /*status*/, TimePoint /*now*/,
             double /*jitter*/) {
  return 0;
}

// Refuses the callers of each millisecond in [begin_ms, serving_ms), who return
// once after the delay that the policy chooses.
Outcome Replay(const Policy& policy, int64_t begin_ms, int64_t serving_ms,
               const std::function<AuthorityStatus(int64_t)>& status_at) {
  std::mt19937_64 random(20'261'204);
  std::uniform_real_distribution<double> draw(0, 1);
  Outcome outcome;
  std::map<int64_t, int> returns;
  for (int64_t ms = begin_ms; ms < serving_ms; ++ms) {
    for (int64_t i = 0; i < kCallersPerMs; ++i) {
      const int64_t delay = std::min(
          policy(status_at(ms), At(ms), draw(random)), kDeadlineMs / 3);
      ++(ms + delay >= serving_ms ? outcome.served : outcome.refused_twice);
      ++returns[(ms + delay) / 100];
    }
  }
  for (const auto& [slot, count] : returns) {
    outcome.peak = std::max(outcome.peak, count);
  }
  return outcome;
}

void Print(const char* name, const Outcome& outcome) {
  std::cout << name << ": served " << outcome.served << ", refused twice "
            << outcome.refused_twice << ", peak " << outcome.peak << std::endl;
}

// All hosts lose power. Fronts start at 0, control hosts answer after 500 ms
// and have a leader at 1,000 ms.
TEST(AuthorityPolicy, CallersReturnOnceAfterAllHostsLostPower) {
  const auto status_at = [](int64_t ms) {
    return AuthorityStatus{At(0), ms >= 500 ? At(500) : TimePoint(),
                           TimePoint()};
  };
  const Outcome informed = Replay(Informed, 0, 1'000, status_at);
  const Outcome constant = Replay(Constant, 0, 1'000, status_at);
  const Outcome none = Replay(None, 0, 1'000, status_at);
  Print("informed", informed);
  Print("constant", constant);
  Print("none", none);
  EXPECT_EQ(informed.refused_twice, 0);
  EXPECT_GE(constant.refused_twice, 700);
  EXPECT_EQ(none.refused_twice, 1'000);
  // A thousand callers return, spread over several hundred milliseconds.
  EXPECT_LE(informed.peak, 400);
}

// The control hosts start half a second later than usual: fewer callers are
// refused twice than with a constant delay.
TEST(AuthorityPolicy, ALateRecoveryRefusesFewerThanAConstantDelay) {
  const auto status_at = [](int64_t ms) {
    return AuthorityStatus{At(0), ms >= 1'000 ? At(1'000) : TimePoint(),
                           TimePoint()};
  };
  const Outcome informed = Replay(Informed, 0, 1'500, status_at);
  const Outcome constant = Replay(Constant, 0, 1'500, status_at);
  Print("informed", informed);
  Print("constant", constant);
  EXPECT_LT(informed.refused_twice * 2, constant.refused_twice);
}

// A failure domain is cut off for so long that its fronts lose their leases.
// Their callers are served by other fronts once the balancer has moved them.
TEST(AuthorityPolicy, CallersOfACutOffFrontReturnWhenTheBalancerHasMovedThem) {
  const auto status_at = [](int64_t /*ms*/) {
    return AuthorityStatus{At(-60'000), At(-59'000), At(0)};
  };
  const Outcome informed = Replay(Informed, 0, 2'000, status_at);
  const Outcome constant = Replay(Constant, 0, 2'000, status_at);
  Print("informed", informed);
  Print("constant", constant);
  // Who is refused in the first 400 ms can not wait that long.
  EXPECT_LE(informed.refused_twice, 400);
  EXPECT_GE(constant.refused_twice, 1'600);
}

// A control host answers a front again whose lease ended in a partition.
TEST(AuthorityPolicy, ContactAfterALossPromisesALeaseSoon) {
  const AuthorityStatus status{At(-60'000), At(1'000), At(0)};
  EXPECT_EQ(ExpectedServiceAt(status), At(1'000) + kElectionTime);
}

// The delay stays within its bounds, whatever the clock says.
TEST(AuthorityPolicy, TheDelayIsBounded) {
  for (const int64_t ms : {-100'000, -1, 0, 700, 1'100, 1'101, 50'000}) {
    for (const double jitter : {0.0, 0.999}) {
      const milliseconds delay = RetryWithoutAuthority(
          {At(0), TimePoint(), TimePoint()}, At(ms), jitter);
      EXPECT_GE(delay, kMinAuthorityRetry);
      EXPECT_LE(delay, kMaxAuthorityRetry);
    }
  }
}

}  // namespace
}  // namespace sequoialb
