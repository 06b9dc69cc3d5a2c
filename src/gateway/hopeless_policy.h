// When a request that finds no slot is refused at once, and when its caller is
// told to come back.
//
// Load pattern: more arrives for seconds than slots become free. A request far
// back in the line will not get a slot while it still helps; holding it until
// that is certain only takes its caller's time for another host. The slots that
// this front's own requests hold become free one after the other, each after a
// usual time, so the line's pace is known. Pure functions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace sequoialb {

// What is known of the pace at which a front's line moves.
struct LinePace {
  // Requests of this front that hold slots.
  size_t holding = 0;
  // How long a request holds a slot; 0 while nothing has been learned.
  Duration hold{0};
};

// Returns how long the request at `position` (0 is the first) will wait, or a
// zero duration when that is not known.
inline Duration ExpectedWait(const LinePace& pace, size_t position) {
  if (pace.holding == 0 || pace.hold.count() <= 0) {
    return Duration(0);
  }
  return pace.hold * static_cast<int64_t>(position + 1) /
         static_cast<int64_t>(pace.holding);
}

// Returns whether a request that could wait `patience` is hopeless already.
inline bool IsHopeless(const LinePace& pace, size_t position,
                       Duration patience) {
  return ExpectedWait(pace, position) > patience;
}

// Callers come back within these bounds.
inline constexpr milliseconds kReturnLeast{50};
inline constexpr milliseconds kReturnMost{1'500};

// Returns when the caller of a request refused at `position` should return:
// when those before it have been served. `spread` in [0, 1) keeps callers that
// are refused together from returning together.
inline milliseconds ReturnAfter(const LinePace& pace, size_t position,
                                double spread) {
  const auto wait =
      std::chrono::duration_cast<milliseconds>(ExpectedWait(pace, position));
  const milliseconds scattered(static_cast<int64_t>(
      spread * static_cast<double>(kReturnLeast.count()) * 2));
  return std::clamp(wait + scattered, kReturnLeast, kReturnMost);
}

}  // namespace sequoialb
