// A blocking HTTP client for the command line, the load tool and the tests.
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
  // PEM file of the CA that signed the server's certificate. If empty, the
  // certificate is not verified.
  std::string ca_file;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

// Opens a connection, sends one request and reads the whole response. If
// `on_bytes` is given, it receives the body as it arrives, and the returned
// body is empty. Fails with kIo, as not run if no connection was established
// and otherwise with an unknown outcome: when the server closes the connection
// before it sends a response, or when the response is malformed or cut.
Result<HttpResponse> SendHttpRequest(
    const HttpRequest& request,
    const std::function<void(std::string_view)>& on_bytes = nullptr);

// Returns the error described by a problem+json response, or kInternal with the
// status code if the body describes none.
Error ErrorFromResponse(const HttpResponse& answer);

}  // namespace sequoialb
