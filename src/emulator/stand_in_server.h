// The HTTP server shared by the stand-in backend servers.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"

namespace sequoialb::emulator {

using HandlerMaker =
    std::function<std::unique_ptr<Poco::Net::HTTPRequestHandler>()>;

// Repeats the id of an attempt in its answer.
void NameAttempt(const Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response);

// Listens on `address` ("IP:PORT") and serves until `wait_for_stop` returns,
// which ends the process. Returns only if it cannot listen.
Status ServeStandIn(const std::string& address, HandlerMaker make_handler,
                    const std::function<void()>& wait_for_stop);

}  // namespace sequoialb::emulator
