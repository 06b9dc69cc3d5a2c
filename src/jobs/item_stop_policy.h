// Decides which batch item gives its slot to an online request.
//
// Load pattern: a burst of online requests stops several items within some
// hundred milliseconds, and a stopped item waits until slots are idle again. An
// item near its due time may then miss it. Pure functions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace sequoialb {

struct StoppableItem {
  TimePoint due_at;
  // Bytes of output received so far.
  size_t output = 0;
};

// Returns the index of the item with the most time left until it is due, and of
// equal ones that with the least output, or nothing if there is none.
inline std::optional<size_t> PickItemToStop(
    const std::vector<StoppableItem>& items) {
  if (items.empty()) {
    return std::nullopt;
  }
  const auto chosen = std::min_element(
      items.begin(), items.end(),
      [](const StoppableItem& a, const StoppableItem& b) {
        return a.due_at != b.due_at ? a.due_at > b.due_at : a.output < b.output;
      });
  return static_cast<size_t>(chosen - items.begin());
}

}  // namespace sequoialb
