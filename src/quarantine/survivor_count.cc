#include "quarantine/survivor_count.h"

namespace sequoialb {

void SurvivorCount::Add(TimePoint now) {
  const int64_t number = NumberOf(now);
  Slice& slice = slices_.at(static_cast<size_t>(number) % slices_.size());
  if (slice.number != number) {
    slice = {number, 0};
  }
  ++slice.count;
}

uint32_t SurvivorCount::Sum(TimePoint now) const {
  const int64_t number = NumberOf(now);
  uint32_t sum = 0;
  for (const Slice& slice : slices_) {
    const bool recent =
        number - slice.number < static_cast<int64_t>(slices_.size());
    sum += slice.number >= 0 && recent ? slice.count : 0;
  }
  return sum;
}

}  // namespace sequoialb
