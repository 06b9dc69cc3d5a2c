// Authenticates callers: finds the client account that a request's key belongs
// to.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

#include "base/error.h"
#include "host/host.h"

namespace sequoialb {

// A caller whose key has been checked.
struct Caller {
  std::string account;
  std::string key_sha256;
};

// Checks the request's key against the current configuration. Keys are accepted
// only while this host cannot have missed a withdrawal: once its configuration
// is no longer confirmed, every request with a key is refused as not run.
// `staleness` is how much longer the service's team lets keys be accepted.
Result<Caller> Authenticate(const Poco::Net::HTTPServerRequest& request,
                            Host& host, Duration staleness);

// Returns true while a caller's key has not been withdrawn.
bool KeyStillValid(const Caller& caller, Host& host);

}  // namespace sequoialb
