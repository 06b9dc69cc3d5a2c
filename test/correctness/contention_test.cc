// Compares policies of admission for callers of many fronts that compete for
// the slots of shared servers.
#include <gtest/gtest.h>

#include <iostream>

#include "../fakes/contention_replay.h"

namespace sequoialb {
namespace {

using contention::Faults;
using contention::kEarlier;
using contention::kFirstCome;
using contention::kPresent;
using contention::kRefuse;
using contention::Outcome;
using contention::RunPolicy;
using contention::TimelyBefore;
using contention::TimelyDuringOverload;

// Guards against spending the slots on answers that come too late: as many
// answers a second are in time during the overload as before it.
TEST(Contention, KeepsTheRateOfTimelyAnswers) {
  const Outcome present = RunPolicy(kPresent);
  const Outcome earlier = RunPolicy(kEarlier);
  RunPolicy(kFirstCome);
  RunPolicy(kRefuse);
  const double before = TimelyBefore(present);
  const double overload = TimelyDuringOverload(present);
  std::cout << "timely a second: before " << before << ", during overload "
            << overload << std::endl;
  EXPECT_GE(overload, before);
  EXPECT_GT(present.Value(), earlier.Value());
  EXPECT_LT(present.queued_at_servers * 2, earlier.queued_at_servers);
}

// Guards against decisions that need every report once: with a third of the
// reports lost, or all of them doubled, the rate of timely answers before the
// overload is still kept during it.
TEST(Contention, KeepsTheRateWithLostOrDoubledReports) {
  for (const Faults& faults : {Faults{0.33, 0, 0}, Faults{0, 1, 0}}) {
    std::cout << "lost " << faults.lost << ", duplicated " << faults.duplicated
              << ": ";
    const Outcome outcome = RunPolicy(kPresent, faults);
    EXPECT_GE(TimelyDuringOverload(outcome), TimelyBefore(outcome));
  }
}

// Guards against starvation of a group: none is served less than a quarter as
// often as all.
TEST(Contention, ServesAllAccounts) {
  const Outcome outcome = RunPolicy(kPresent);
  const double all = 1.0 *
                     (outcome.groups[0].Served() + outcome.groups[1].Served()) /
                     (outcome.groups[0].asked + outcome.groups[1].asked);
  for (const contention::Counts& group : outcome.groups) {
    EXPECT_GE(1.0 * group.Served() / group.asked, all / 4);
  }
}

}  // namespace
}  // namespace sequoialb
