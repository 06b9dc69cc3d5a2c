// The ways in which a client account's rate is held over all hosts together.
#pragma once

#include <variant>

namespace sequoialb {

// One host owns an account's bucket and lends expiring grants on demand.
struct OwnerGrants {};

// Baseline: each host has the rate and burst divided by the number of hosts.
struct StaticShares {};

// Baseline: the owner is asked for every single request.
struct AskOwner {};

using RatePolicy = std::variant<OwnerGrants, StaticShares, AskOwner>;

}  // namespace sequoialb
