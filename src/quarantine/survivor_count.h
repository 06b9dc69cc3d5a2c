// Counts the requests that backend servers answered lately without a crash.
//
// Load pattern: servers end in series for a reason of their own, and most
// requests end with their server. Being in several crashes then says little
// about a part of a prompt. How much it says follows from how many other
// requests survived at the same time.
//
// Requests are counted in slices of time, so that the cost does not depend on
// the load. Belongs to the traffic thread.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace sequoialb {

class SurvivorCount {
 public:
  void Add(TimePoint now);
  // Returns the requests counted in the last kWindow, to within one slice.
  uint32_t Sum(TimePoint now) const;

  static constexpr milliseconds kWindow{5'000};

 private:
  static constexpr milliseconds kSlice{500};

  struct Slice {
    int64_t number = -1;
    uint32_t count = 0;
  };
  static int64_t NumberOf(TimePoint now) {
    return now.time_since_epoch() / kSlice;
  }

  std::array<Slice, static_cast<size_t>(kWindow / kSlice)> slices_;
};

}  // namespace sequoialb
