// The clock by which a store group measures the time limits of its jobs.
//
// Wall clocks differ between hosts and are stepped, so the time since a job was
// accepted cannot be told from two readings of them, least of all by different
// leaders. Each leader continues the group's clock from its last committed
// value and advances it by the time that passes on a clock that only moves
// forward. Time between two leaders is not counted. The clock is therefore
// never ahead of real time: no limit ends early, and one ends late by at most
// the changes of the leader.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace sequoialb {

class JobClock {
 public:
  // Begins a leader's term at the committed value of the clock.
  void Start(int64_t committed_ms, TimePoint now) {
    started_ms_ = committed_ms;
    started_at_ = now;
  }

  // Returns the time in milliseconds since the group was founded, at most.
  int64_t NowMs(TimePoint now) const {
    return started_ms_ + std::chrono::duration_cast<milliseconds>(
                             std::max(Duration(0), now - started_at_))
                             .count();
  }

 private:
  int64_t started_ms_ = 0;
  TimePoint started_at_;
};

}  // namespace sequoialb
