// Reads request bodies and sends responses, with the system's size limits and
// error format.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb {

// Reads a whole request body. Fails with kTooLarge if it has more than
// `max_bytes` bytes, and with kMalformed if the connection ended before all
// bytes of the Content-Length arrived.
Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request,
                             uint64_t max_bytes);

// Reads and drops what a handler left unread of a request's body. Closing a
// connection with unread bytes resets it, and a caller that is still writing
// would not see the response; on a connection that stays open the bytes would
// be taken for the next request. Ends after `max_bytes`, but not before 16 MiB,
// or at the first receipt after `deadline`. Returns whether the connection can
// carry another request.
bool DiscardBody(Poco::Net::HTTPServerRequest& request, uint64_t max_bytes,
                 TimePoint deadline);

// Sends an error as application/problem+json with the members "code" and "run",
// and with a Retry-After header if the delay is known.
void SendError(Poco::Net::HTTPServerResponse& response, const Error& error);

// Sends a JSON body.
void SendJson(Poco::Net::HTTPServerResponse& response, const std::string& json,
              int status = 200);

// Sends a body of the given content type.
void SendBody(Poco::Net::HTTPServerResponse& response, const std::string& body,
              const std::string& content_type, int status = 200);

// Returns the token of an "Authorization: Bearer" header, or an empty string.
std::string BearerToken(const Poco::Net::HTTPServerRequest& request);

// Returns the path of the request's URI, without the query.
std::string PathOf(const Poco::Net::HTTPServerRequest& request);

// Returns the value of a query parameter, or an empty string.
std::string QueryParameter(const Poco::Net::HTTPServerRequest& request,
                           const std::string& name);

// Returns the error as problem+json text.
std::string ProblemJson(const Error& error);

}  // namespace sequoialb
