// Decides which requests a front still takes after it has been told to stop.
//
// Load pattern: fronts are restarted in turn. The load balancer sends callers
// until it has found the front not ready, and callers with open connections
// send for as long as these are open. A request that the front takes and cannot
// answer before the process ends is lost, and may have run. One that it refuses
// is served by another front at once. Pure functions.
#pragma once

#include "base/time.h"

namespace sequoialb {

// Deadlines of a stop, on the clock of the traffic thread.
struct DrainSchedule {
  // From then on the load balancer sends no callers.
  TimePoint balancer_reacts_at;
  // The process ends then, even if requests are in progress.
  TimePoint exits_at;
};

// Returns whether a draining front takes a request that ends at `latest_end` if
// nothing ends it before. Until the load balancer reacts all are taken: most
// end long before their time limit, and the balancer would send the callers
// back to this front.
inline bool TakesWhileDraining(const DrainSchedule& schedule,
                               TimePoint received_at, TimePoint latest_end) {
  return received_at < schedule.balancer_reacts_at ||
         latest_end <= schedule.exits_at;
}

}  // namespace sequoialb
