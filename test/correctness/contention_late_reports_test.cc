// Competition of many fronts for shared servers while all load reports are 100
// ms later than usual.
#include <gtest/gtest.h>

#include <iostream>

#include "../fakes/contention_replay.h"

namespace sequoialb {
namespace {

// Guards against decisions that hold only with prompt reports: the rate of
// timely answers before the overload is kept during it.
TEST(Contention, KeepsTheRateWithLateReports) {
  const contention::Outcome outcome =
      contention::RunPolicy(contention::kPresent, {0, 0, 100});
  EXPECT_GE(contention::TimelyDuringOverload(outcome),
            contention::TimelyBefore(outcome));
}

}  // namespace
}  // namespace sequoialb
