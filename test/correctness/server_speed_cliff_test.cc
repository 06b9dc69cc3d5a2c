// Half of the servers are four times slower while more than four of their eight
// slots are used.
#include <gtest/gtest.h>

#include <cstdio>

#include "test/fakes/speed_replay.h"

namespace sequoialb {
namespace {

using speed_replay::LoadKind;
using speed_replay::PolicyKind;

// The bound is from the requirement: at most half as many late callers as with
// fixed limits, at the rate of the other loads.
TEST(ServerSpeedReplay, HalvesTheLateCallersAtTheCliff) {
  const double fixed =
      RunSeeds(PolicyKind::kFixed, LoadKind::kCliff, 3).LatePercent();
  const double product =
      RunSeeds(PolicyKind::kProduct, LoadKind::kCliff, 3).LatePercent();
  std::printf("late callers: fixed limits %.1f%%, product %.1f%%\n", fixed,
              product);
  EXPECT_LE(product * 2, fixed);
}

}  // namespace
}  // namespace sequoialb
