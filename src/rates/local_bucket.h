// Token buckets that a host keeps without an owner: each holds the host's share
// of a rate limit that is divided evenly among all hosts. Used by the
// static-shares baseline, by the reserve that lets a host admit requests while
// it is cut off from the other hosts, and by a front while the bucket's owner
// does not answer.
#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "rates/owner_bucket.h"

namespace sequoialb {

class LocalBuckets {
 public:
  // Takes one token from this host's 1/hosts share. Returns 0 when taken, else
  // the milliseconds until the share has a token. `min_burst` is the minimum
  // burst of a share: with 1 small accounts are admitted at all, with 0 the
  // shares add up to exactly the account's burst. A new bucket is full if
  // `starts_full`, else empty.
  int64_t Take(const std::string& account, RateLimit rate_limit, size_t hosts,
               double min_burst, bool starts_full, TimePoint now) {
    const double rate = rate_limit.rate / static_cast<double>(hosts);
    Bucket& bucket =
        Refilled(account, rate_limit, hosts, min_burst, starts_full, now);
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return 0;
    }
    return RemainingMs(now + FromSeconds((1 - bucket.tokens) / rate), now) + 1;
  }

  // Counts a token that the owner has granted against this host's share, so
  // that the share does not add to what has been admitted already. Without a
  // token left, the share stays empty. Parameters as for Take.
  void CountGranted(const std::string& account, RateLimit rate_limit,
                    size_t hosts, double min_burst, bool starts_full,
                    TimePoint now) {
    Bucket& bucket =
        Refilled(account, rate_limit, hosts, min_burst, starts_full, now);
    bucket.tokens = std::max(0.0, bucket.tokens - 1);
  }

 private:
  struct Bucket {
    double tokens;
    TimePoint refilled_at;
  };

  Bucket& Refilled(const std::string& account, RateLimit rate_limit,
                   size_t hosts, double min_burst, bool starts_full,
                   TimePoint now) {
    const double rate = rate_limit.rate / static_cast<double>(hosts);
    const double burst =
        std::max(min_burst, rate_limit.burst / static_cast<double>(hosts));
    auto [entry, added] =
        buckets_.try_emplace(account, Bucket{starts_full ? burst : 0, now});
    Bucket& bucket = entry->second;
    bucket.tokens = std::min(
        burst, bucket.tokens + rate * ToSeconds(now - bucket.refilled_at));
    bucket.refilled_at = now;
    return bucket;
  }

  std::map<std::string, Bucket> buckets_;
};

}  // namespace sequoialb
