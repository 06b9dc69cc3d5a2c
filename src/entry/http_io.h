// Reading and writing of HTTP messages with the system's limits and errors.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb {

// Reads a whole body; fails with kTooLarge over `most` bytes, with kMalformed
// when the connection ended before the announced length.
Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request,
                             uint64_t max_bytes);

// Answers an error as application/problem+json with the members "code", "run"
// and, where it is known, a Retry-After header.
void SendError(Poco::Net::HTTPServerResponse& response, const Error& error);

// Answers a JSON text.
void SendJson(Poco::Net::HTTPServerResponse& response, const std::string& json,
              int status = 200);

// Answers a body of another type.
void SendBody(Poco::Net::HTTPServerResponse& response, const std::string& body,
              const std::string& content_type, int status = 200);

// Returns the token of an "Authorization: Bearer" header, or empty.
std::string BearerToken(const Poco::Net::HTTPServerRequest& request);

// Returns the path without its query.
std::string PathOf(const Poco::Net::HTTPServerRequest& request);

// Returns a parameter of the query, or empty.
std::string QueryParameter(const Poco::Net::HTTPServerRequest& request,
                           const std::string& name);

// Returns the error as problem+json text.
std::string ProblemJson(const Error& error);

}  // namespace sequoialb
