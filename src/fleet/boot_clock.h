// The clock for authority that must end while a machine is suspended.
//
// The steady clock stands still while a machine sleeps, so a lease judged by it
// outlives its end by the length of the sleep. This clock counts that time.
#pragma once

#include <ctime>

#include "base/time.h"

namespace sequoialb {

// Returns the time since start-up, suspension included, on the type of the
// steady clock. Values of the two clocks are never compared.
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
