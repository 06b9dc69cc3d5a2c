// Time types and helpers.
//
// State machines do not read a clock: the caller passes in the current time,
// and time limits are stored as the time at which they end. Two clocks are
// used. The steady clock drives leases and timers within a process; the wall
// clock timestamps records that outlive a process. Steady-clock times are not
// compared across hosts: a message carries the remaining duration of a limit,
// and the receiver converts it into a time on its own clock before storing it.
#pragma once

#include <chrono>
#include <cstdint>

namespace sequoialb {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns how many whole milliseconds remain until `deadline`, never negative.
inline int64_t RemainingMs(TimePoint deadline, TimePoint now) {
  if (deadline <= now) {
    return 0;
  }
  return std::chrono::duration_cast<milliseconds>(deadline - now).count();
}

// Returns `d` in seconds as a floating-point number.
inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

// Returns a duration of `s` seconds, rounded to the clock's resolution.
inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

// Returns the wall clock in milliseconds since the Unix epoch.
inline int64_t UnixMs() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

}  // namespace sequoialb
