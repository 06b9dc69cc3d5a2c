// Decides when a request that finds no free slot is refused at once, and when
// its caller should retry.
//
// Load pattern: for seconds, more requests arrive than slots become free. A
// request far back in the queue will not get a slot while that still helps its
// caller; holding it until this is certain only takes time in which the caller
// could have tried another host. The slots held by this front's own requests
// become free one after the other, each after a typical hold time, so the rate
// at which the queue is served is known. Pure functions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace sequoialb {

// What is known of the rate at which a front's queue is served.
struct ServiceRate {
  // Requests of this front that hold slots.
  size_t active_requests = 0;
  // Mean time for which a request holds a slot; 0 before the first measurement.
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

// Returns whether the request at `position` is expected to wait longer than
// `max_wait`.
inline bool CannotMeetDeadline(const ServiceRate& rate, size_t position,
                               Duration max_wait) {
  return ExpectedWait(rate, position) > max_wait;
}

// Bounds of the delay after which a refused caller should retry.
inline constexpr milliseconds kMinRetryDelay{50};
inline constexpr milliseconds kMaxRetryDelay{1'500};

// Returns after what delay the caller of a request refused at `position` should
// retry: when the requests before it have been served. `jitter` in [0, 1) keeps
// callers that are refused together from retrying together.
inline milliseconds RetryDelay(const ServiceRate& rate, size_t position,
                               double jitter) {
  const auto wait =
      std::chrono::duration_cast<milliseconds>(ExpectedWait(rate, position));
  const milliseconds jitter_delay(static_cast<int64_t>(
      jitter * static_cast<double>(kMinRetryDelay.count()) * 2));
  return std::clamp(wait + jitter_delay, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace sequoialb
