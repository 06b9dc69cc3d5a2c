// Decides when a request that finds no free slot is refused at once, how long
// it waits otherwise, and when its caller should retry.
//
// Load pattern: for seconds, more requests arrive than slots become free, and
// between such bursts slots are idle. A request far back in the queue will not
// get a slot while that still helps its caller; holding it until this is
// certain only takes time in which the caller could have come back. The slots
// held by this front's own requests become free one after the other, each after
// a typical hold time, so the rate at which the queue is served is known.
//
// A caller that is refused at once and returns after the burst is served as
// fast as any other, so a new caller is admitted only if it can be served about
// in time. A caller that returns after a refusal does not ask again, so it
// waits longer: a late answer is worth more to it than none. Callers that are
// refused together return over a time longer than a burst. Pure functions.
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

// How long a request may wait for a slot.
struct WaitLimits {
  // A request that is expected to wait longer is refused on arrival.
  Duration admitted;
  // A request that has waited so long is refused.
  Duration held;
};

// Limits of new callers, as multiples of the latency target.
inline constexpr double kNewCallerAdmitted = 1.33;
inline constexpr double kNewCallerHeld = 2;
// Limit of callers that return after a refusal, as a multiple of the target.
inline constexpr double kReturningCallerHeld = 5;
// A caller whose request allows this much less time than the longest that was
// seen on its route has been refused before.
inline constexpr milliseconds kReturningTimeUsed{100};

// Returns whether a request that leaves `time_left` comes from a caller that
// has been refused before. `longest` is the longest time left of any request on
// the route.
inline bool IsReturning(milliseconds time_left, milliseconds longest) {
  return time_left + kReturningTimeUsed <= longest;
}

// Returns the limits of a request with the given latency target.
inline WaitLimits WaitLimitsOf(bool returning, milliseconds latency_target) {
  const auto times = [&](double factor) {
    return std::chrono::duration_cast<Duration>(latency_target * factor);
  };
  return returning
             ? WaitLimits{times(kReturningCallerHeld),
                          times(kReturningCallerHeld)}
             : WaitLimits{times(kNewCallerAdmitted), times(kNewCallerHeld)};
}

// Which slots of an unassigned server a request may take.
enum class SlotUse : uint8_t {
  // All but the last free one, which is kept for requests that other fronts
  // have just sent there.
  kSpare,
  // All but the last two, or one that a request of this front has just freed,
  // which the other fronts do not know yet.
  kOwn,
  // All.
  kLast,
};

// After this wait a request may take the last free slot of an unassigned
// server. By then two load reports of every other front have arrived.
inline constexpr milliseconds kUseLastSlotAfter{60};

// Returns which slots a request that has waited for `waited` may take.
// `contended` says whether requests wait at other fronts too. Each slot that
// becomes free is then reported to many fronts with waiting requests, which
// would all send to it; all but one of these requests would be late. A front
// that holds no slots has none to free, so it must be able to take the last.
inline SlotUse SlotsToUse(Duration waited, bool contended, bool holds_slots) {
  if (contended && holds_slots) {
    return SlotUse::kOwn;
  }
  return waited > kUseLastSlotAfter ? SlotUse::kLast : SlotUse::kSpare;
}

// Bounds of the delay after which a refused caller should retry.
inline constexpr milliseconds kMinRetryDelay{100};
inline constexpr milliseconds kMaxRetryDelay{1'600};

// Returns after what delay the caller of a request refused at `position` should
// retry: at a random time between that at which the requests before it have
// been served and the longest delay. `jitter` is in [0, 1).
inline milliseconds RetryDelay(const ServiceRate& rate, size_t position,
                               double jitter) {
  const auto earliest = std::clamp(
      std::chrono::duration_cast<milliseconds>(ExpectedWait(rate, position)),
      kMinRetryDelay, kMaxRetryDelay);
  return earliest + milliseconds(static_cast<int64_t>(
                        jitter * static_cast<double>(
                                     (kMaxRetryDelay - earliest).count())));
}

// Returns after what delay the caller should retry when a single server was
// full or could not be reached, and others probably have room.
inline milliseconds RetryElsewhereDelay(double jitter) {
  return kMinRetryDelay +
         milliseconds(static_cast<int64_t>(
             jitter * static_cast<double>(kMinRetryDelay.count())));
}

}  // namespace sequoialb
