// The life of a host process: start, serve until told to stop, stop gracefully.
#pragma once

#include <functional>

#include "base/error.h"
#include "settings/settings.h"

namespace sequoialb {

// Serves until `wait_for_stop` returns, then stops gracefully: the host says
// that it is not ready, gives up leadership and dispatch, lets every request
// end, records what its batch jobs have done, gives up its session, and
// returns.
Status RunDaemon(const Settings& settings,
                 const std::function<void()>& wait_for_stop);

}  // namespace sequoialb
