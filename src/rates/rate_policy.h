// The policies by which all hosts together enforce a client account's rate
// limit.
#pragma once

#include <variant>

namespace sequoialb {

// One host owns an account's bucket and leases tokens to other hosts on demand.
struct OwnerGrants {};

// Baseline: each host enforces the rate and burst divided by the number of
// hosts.
struct StaticShares {};

// Baseline: a host requests a token from the owner for every single request.
struct AskOwner {};

using RatePolicy = std::variant<OwnerGrants, StaticShares, AskOwner>;

}  // namespace sequoialb
