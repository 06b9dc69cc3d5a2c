// A monotonic clock that also counts the time during which the machine is
// suspended, for leases that must expire during a suspension.
//
// The steady clock stops while a machine is suspended, so a lease measured with
// it would stay valid too long by the length of the suspension.
#pragma once

#include <ctime>

#include "base/time.h"

namespace sequoialb {

// Returns the time since the machine booted, including suspension. The type is
// that of the steady clock, but values of the two clocks must not be compared.
inline TimePoint BootNow() {
  timespec spec{};
  ::clock_gettime(CLOCK_BOOTTIME, &spec);
  return TimePoint(std::chrono::seconds(spec.tv_sec) +
                   std::chrono::nanoseconds(spec.tv_nsec));
}

inline int64_t ToMicros(TimePoint t) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             t.time_since_epoch())
      .count();
}

inline TimePoint FromMicros(int64_t us) {
  return TimePoint(std::chrono::microseconds(us));
}

}  // namespace sequoialb
