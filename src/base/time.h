// Time as the pure state machines see it.
//
// No decision code reads a clock: the caller passes the current instant in,
// and every limit in time is kept as the instant at which it ends. Two clocks
// are used. The steady clock drives leases and timers inside one process; the
// wall clock stamps records that outlive a process. Instants of the steady
// clock never cross the network: a message carries what is left of a limit,
// and the receiver turns it into an instant of its own before storing it.
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
