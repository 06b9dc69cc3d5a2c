// One client account's token bucket, kept by the account's owner host.
//
// The bound to keep, whatever happens: in any span of w seconds all hosts
// together admit at most burst + rate * w requests. Lent tokens make this
// subtle. Suppose the owner lends its whole burst, refills while the lent
// tokens lie unspent on other hosts, and lends again: both could be spent in
// one instant, twice the burst. So the bucket refills only up to what is not
// lent:
//
//   tokens + lent <= burst   at every instant.
//
// Tokens that a host reports as spent leave `lent`; tokens that it returns go
// back to `tokens`; a loan that runs out unreported counts as spent, because
// the host may have died after spending it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

struct RateLimit {
  // Tokens a second.
  double rate = 0;
  double burst = 0;
};

class OwnerBucket {
 public:
  // A bucket that begins empty. Until `prior_leases_until` a former owner's
  // loans may still be spent, so nothing is lent and nothing accrues before.
  OwnerBucket(RateLimit rate_limit, TimePoint prior_leases_until);

  // Takes changed terms of the service document.
  void SetRateLimit(RateLimit rate_limit, TimePoint now);

  // Lends up to `want` whole tokens to a host until `expires`.
  uint32_t LeaseTokens(const std::string& host, uint32_t want, TimePoint now,
                       TimePoint expires);

  // Takes a host's report on tokens that it was lent.
  void ApplyReport(const std::string& host, uint32_t spent, uint32_t returned,
                   TimePoint now);

  // Drops loans that have run out.
  void Expire(TimePoint now);

  // Returns when one token will be there if nothing else is lent.
  TimePoint NextTokenAt(TimePoint now) const;

  // Hosts other than `host` that hold lent tokens.
  std::vector<std::string> OtherHolders(const std::string& host) const;

  // True once the bucket was full, or as full as its loans let it be.
  bool has_filled() const { return has_filled_; }

  double tokens() const { return tokens_; }
  double leased() const;

 private:
  struct TokenLease {
    double tokens = 0;
    TimePoint expires;
  };

  void Refill(TimePoint now);

  RateLimit rate_limit_;
  double tokens_ = 0;
  bool has_filled_ = false;
  TimePoint refilled_at_;
  std::map<std::string, TokenLease> leases_;
};

}  // namespace sequoialb
