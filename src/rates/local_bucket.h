// The static-shares baseline: each host has its part of the rate and burst.
#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "rates/owner_bucket.h"

namespace sequoialb {

class LocalBuckets {
 public:
  // Takes one token from this host's 1/hosts share; returns 0 when taken, else
  // the milliseconds until the share has one.
  int64_t Take(const std::string& account, BucketTerms terms, size_t hosts,
               TimePoint now) {
    const double rate = terms.rate / static_cast<double>(hosts);
    const double burst =
        std::max(1.0, terms.burst / static_cast<double>(hosts));
    auto [entry, added] = buckets_.try_emplace(account, Bucket{burst, now});
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
