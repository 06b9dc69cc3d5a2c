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
struct ServiceRate {
  // Requests of this front that hold slots.
  size_t active_requests = 0;
  // How long a request holds a slot; 0 while nothing has been learned.
  Duration mean_hold{0};
};

// Returns how long the request at `position` (0 is the first) will wait, or a
// zero duration when that is not known.
inline Duration ExpectedWait(const ServiceRate& rate, size_t position) {
  if (rate.active_requests == 0 || rate.mean_hold.count() <= 0) {
    return Duration(0);
  }
  return rate.mean_hold * static_cast<int64_t>(position + 1) /
         static_cast<int64_t>(rate.active_requests);
}

// Returns whether a request that could wait `patience` is hopeless already.
inline bool CannotMeetDeadline(const ServiceRate& rate, size_t position,
                               Duration max_wait) {
  return ExpectedWait(rate, position) > max_wait;
}

// Callers come back within these bounds.
inline constexpr milliseconds kMinRetryDelay{50};
inline constexpr milliseconds kMaxRetryDelay{1'500};

// Returns when the caller of a request refused at `position` should return:
// when those before it have been served. `spread` in [0, 1) keeps callers that
// are refused together from returning together.
inline milliseconds RetryDelay(const ServiceRate& rate, size_t position,
                               double jitter) {
  const auto wait =
      std::chrono::duration_cast<milliseconds>(ExpectedWait(rate, position));
  const milliseconds jitter_delay(static_cast<int64_t>(
      jitter * static_cast<double>(kMinRetryDelay.count()) * 2));
  return std::clamp(wait + jitter_delay, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace sequoialb
