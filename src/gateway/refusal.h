// Answers that the system gives itself, and when callers are told to return.
#pragma once

#include <string>

#include "base/error.h"
#include "gateway/front_view.h"
#include "http/http_server.h"

namespace sequoialb {

// Answers an exchange with an error's status and a JSON problem body. Statuses
// that promise "not run" are only used with RunState::kNotRun.
void Refuse(const FrontShared& front, HttpExchange& exchange,
            const Error& error);

// Writes the log line of a request that ends without a backend server's whole
// answer.
void LogRefusal(const std::string& request, const std::string& account,
                const std::string& route, const Error& error, Duration held);

}  // namespace sequoialb
