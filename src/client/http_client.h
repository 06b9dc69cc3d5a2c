// A small HTTP client for the command line, the load tool and the tests.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb {

struct HttpRequest {
  std::string method = "GET";
  // "IP:PORT" with an optional "http://" or "https://" before it.
  std::string server;
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  TimePoint deadline;
  // PEM file of the authority that signed the server's certificate.
  std::string ca_file;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
  // The connection ended before the answer did.
  bool truncated = false;
};

// Sends one request on a connection of its own. With `on_bytes` the body is
// handed over as it arrives and not kept. Fails with kIo when the server cannot
// be reached or ends the connection without an answer.
Result<HttpResponse> SendHttpRequest(
    const HttpRequest& request,
    const std::function<void(std::string_view)>& on_bytes = nullptr);

// Returns the error that a problem+json answer carries.
Error ErrorFromResponse(const HttpResponse& answer);

}  // namespace sequoialb
