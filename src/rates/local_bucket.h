// Buckets that a host keeps by itself: its part of a rate that is divided among
// all hosts. The static-shares baseline is made of them, and so is the reserve
// for being cut off.
#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "rates/owner_bucket.h"

namespace sequoialb {

class LocalBuckets {
 public:
  // Takes one token from this host's 1/hosts part; returns 0 when taken, else
  // the milliseconds until the part has one. `min_burst` is what a part holds
  // at least: 1 lets small accounts in at all, 0 keeps the sum of all parts
  // exact. A bucket begins full only with `full`.
  int64_t Take(const std::string& account, RateLimit rate_limit, size_t hosts,
               double min_burst, bool starts_full, TimePoint now) {
    const double rate = rate_limit.rate / static_cast<double>(hosts);
    const double burst =
        std::max(min_burst, rate_limit.burst / static_cast<double>(hosts));
    auto [entry, added] =
        buckets_.try_emplace(account, Bucket{starts_full ? burst : 0, now});
    Bucket& bucket = entry->second;
    bucket.tokens = std::min(
        burst, bucket.tokens + rate * ToSeconds(now - bucket.refilled_at));
    bucket.refilled_at = now;
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return 0;
    }
    return RemainingMs(now + FromSeconds((1 - bucket.tokens) / rate), now) + 1;
  }

 private:
  struct Bucket {
    double tokens;
    TimePoint refilled_at;
  };

  std::map<std::string, Bucket> buckets_;
};

}  // namespace sequoialb
