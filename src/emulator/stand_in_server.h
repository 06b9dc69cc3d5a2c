// The HTTP server that the stand-ins share.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"

namespace sequoialb::emulator {

using HandlerMaker =
    std::function<std::unique_ptr<Poco::Net::HTTPRequestHandler>()>;

// Serves "IP:PORT" until `wait_for_stop` returns.
Status ServeStandIn(const std::string& address, HandlerMaker make_handler,
                    const std::function<void()>& wait_for_stop);

}  // namespace sequoialb::emulator
