// The token bucket of one client account, kept by the account's owner host,
// which leases tokens to the hosts that admit requests.
//
// Invariant under any failure: in any span of w seconds all hosts together
// admit at most burst + rate * w requests. Suppose the owner leased its whole
// burst, refilled while the leased tokens were unspent on other hosts, and
// leased again: the hosts could spend both at the same instant, twice the
// burst. So the bucket refills only up to the part of the burst that is not
// leased:
//
//   tokens + leased <= burst   at every instant.
//
// Tokens that a host reports as spent are subtracted from `leased`; tokens that
// it returns move back to `tokens`. A lease that expires without a report
// counts as spent, because the host may have crashed after spending it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

struct RateLimit {
  // Tokens per second.
  double rate = 0;
  double burst = 0;
};

class OwnerBucket {
 public:
  // Creates an empty bucket. Tokens leased by a previous owner may still be
  // spent until `prior_leases_until`, so no tokens accrue or are leased before.
  OwnerBucket(RateLimit rate_limit, TimePoint prior_leases_until);

  // Applies the account's rate limit, which changes with the configuration.
  void SetRateLimit(RateLimit rate_limit, TimePoint now);

  // Leases up to `want` whole tokens to a host until `expires`. Returns how
  // many were leased.
  uint32_t LeaseTokens(const std::string& host, uint32_t want, TimePoint now,
                       TimePoint expires);

  // Applies a host's report on its leased tokens.
  void ApplyReport(const std::string& host, uint32_t spent, uint32_t returned,
                   TimePoint now);

  // Drops expired leases; their tokens count as spent.
  void Expire(TimePoint now);

  // Returns when a token will be available if no more are leased until then.
  TimePoint NextTokenAt(TimePoint now) const;

  // Returns the hosts other than `host` that hold leased tokens.
  std::vector<std::string> OtherHolders(const std::string& host) const;

  // True while the bucket may hold less than the account is owed, because it
  // began empty: until available and leased tokens together have reached the
  // burst, and no longer than an unused bucket takes to fill.
  bool IsRecovering(TimePoint now) const {
    return !has_filled_ && now < recovered_at_;
  }

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
  TimePoint recovered_at_;
  TimePoint refilled_at_;
  std::map<std::string, TokenLease> leases_;
};

}  // namespace sequoialb
