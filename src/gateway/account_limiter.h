// This host's part of each account's rate and burst.
//
// Load pattern: one account sends several times its rate while others of the
// same host stay within theirs. Each account has its own bucket, filled at its
// part of the rate (see fleet/rate_shares.h); a part that grows brings no
// tokens with it, so moving parts between hosts admits nothing twice. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "catalog/catalog.h"

namespace sequoialb {

class AccountLimiter {
 public:
  // Takes this host's parts by account; accounts not named get `otherwise`.
  void SetShares(std::map<std::string, double> shares, double otherwise);

  // Takes a token. Returns nothing when it was there, else the seconds until
  // one will be.
  std::optional<double> Take(const Account& account, TimePoint now);
  // Gives back the token of a request that was not run after all.
  void Return(const Account& account);

  // Requests a second of each account over the last moments.
  std::map<std::string, double> Demand(TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
    double demand = 0;
    TimePoint demand_at;
  };

  double ShareOf(const std::string& account) const;
  Bucket& Filled(const Account& account, TimePoint now);

  std::map<std::string, double> shares_;
  double otherwise_ = 0;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace sequoialb
