// Runs a host process: starts it, serves requests until it is asked to stop,
// and stops it gracefully.
#pragma once

#include <functional>

#include "base/error.h"
#include "settings/settings.h"

namespace sequoialb {

// Serves until `wait_for_stop` returns, then stops gracefully: the host reports
// that it is not ready, gives up leadership and dispatch, waits for all
// requests to end, records what its batch jobs have done, ends its session, and
// returns.
Status RunDaemon(const Settings& settings,
                 const std::function<void()>& wait_for_stop);

}  // namespace sequoialb
