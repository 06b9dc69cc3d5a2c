// Which client account a request runs for.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

#include "base/error.h"
#include "host/host.h"

namespace sequoialb {

// A caller whose key was checked.
struct Caller {
  std::string account;
  std::string key_sha256;
};

// Checks the request's key against the configuration in force. Keys are
// answered for only while no withdrawal can have been missed: on a host without
// fresh confirmation every keyed request is refused as not run. `staleness` is
// what the service's team allows beyond that.
Result<Caller> Authenticate(const Poco::Net::HTTPServerRequest& request,
                            Host& host, Duration staleness);

// Returns true while a caller's key has not been withdrawn.
bool KeyStillValid(const Caller& caller, Host& host);

}  // namespace sequoialb
