// Which batch items a burst of online requests stops.
#include "jobs/item_stop_policy.h"

#include <gtest/gtest.h>

namespace sequoialb {
namespace {

TimePoint At(int ms) { return TimePoint(seconds(1'000)) + milliseconds(ms); }

// Guards against stopping an item that may then miss its due time while one
// with more time left goes on.
TEST(ItemStopPolicy, ABurstStopsTheItemsNearestTheirDueTimesLast) {
  std::vector<StoppableItem> items = {
      {At(9'000), 40}, {At(4'000), 0}, {At(17'000), 900}, {At(17'000), 10}};
  std::vector<TimePoint> stopped;
  std::vector<size_t> outputs;
  while (const auto chosen = PickItemToStop(items)) {
    stopped.push_back(items[*chosen].due_at);
    outputs.push_back(items[*chosen].output);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(*chosen));
  }
  EXPECT_EQ(stopped, (std::vector<TimePoint>{At(17'000), At(17'000), At(9'000),
                                             At(4'000)}));
  EXPECT_EQ(outputs, (std::vector<size_t>{10, 900, 40, 0}));
}

}  // namespace
}  // namespace sequoialb
