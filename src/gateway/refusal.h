// Writes the answers and log lines of requests that the gateway itself ends
// with an error.
#pragma once

#include <string>

#include "base/error.h"
#include "gateway/front_view.h"
#include "http/http_server.h"

namespace sequoialb {

// Answers an exchange with an error's status and a JSON problem body. The
// statuses 429 and 503 promise that the request was not run, so other errors
// with one of these statuses are answered with 502.
void Refuse(const FrontShared& front, HttpExchange& exchange,
            const Error& error);

// Returns the refusal of a request that a draining front does not take. The
// caller may return at once, because it gets to another front.
Error DrainRefusal();

// Writes the log line of a request that ends without a complete answer of a
// backend server. `returning` says whether its caller had been refused before.
void LogRefusal(const std::string& request, const std::string& account,
                const std::string& route, const Error& error, Duration held,
                bool returning = false);

}  // namespace sequoialb
