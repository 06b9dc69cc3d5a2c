#include "rates/owner_bucket.h"

#include <algorithm>
#include <cmath>

#include "base/check.h"

namespace sequoialb {
namespace {

// Rounding in the sum of available and leased tokens must not fail the checks.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

OwnerBucket::OwnerBucket(RateLimit rate_limit, TimePoint prior_leases_until)
    : rate_limit_(rate_limit),
      recovered_at_(prior_leases_until +
                    FromSeconds(rate_limit.burst / rate_limit.rate)),
      refilled_at_(prior_leases_until) {}

double OwnerBucket::leased() const {
  double sum = 0;
  for (const auto& [host, lease] : leases_) {
    sum += lease.tokens;
  }
  return sum;
}

void OwnerBucket::Refill(TimePoint now) {
  if (now <= refilled_at_) {
    return;
  }
  const double capacity = std::max(0.0, rate_limit_.burst - leased());
  tokens_ = std::min(
      capacity, tokens_ + rate_limit_.rate * ToSeconds(now - refilled_at_));
  refilled_at_ = now;
  has_filled_ = has_filled_ ||
                tokens_ + leased() >= rate_limit_.burst - kRoundingTolerance;
}

void OwnerBucket::SetRateLimit(RateLimit rate_limit, TimePoint now) {
  Refill(now);
  rate_limit_ = rate_limit;
  tokens_ = std::min(tokens_, std::max(0.0, rate_limit_.burst - leased()));
}

void OwnerBucket::Expire(TimePoint now) {
  for (auto entry = leases_.begin(); entry != leases_.end();) {
    if (entry->second.expires > now) {
      ++entry;
      continue;
    }
    // Until it expires, the lease limits how far the bucket refills; so refills
    // up to that time before the lease is dropped.
    Refill(std::min(now, std::max(entry->second.expires, refilled_at_)));
    entry = leases_.erase(entry);
  }
  Refill(now);
}

uint32_t OwnerBucket::LeaseTokens(const std::string& host, uint32_t want,
                                  TimePoint now, TimePoint expires) {
  Expire(now);
  const auto granted =
      static_cast<uint32_t>(std::min<double>(want, std::floor(tokens_)));
  if (granted == 0) {
    return 0;
  }
  tokens_ -= granted;
  TokenLease& lease = leases_[host];
  lease.tokens += granted;
  lease.expires = std::max(lease.expires, expires);
  SEQ_CHECK(tokens_ + leased() <= rate_limit_.burst + leased() && tokens_ >= 0,
            tokens_);
  SEQ_CHECK(granted <= rate_limit_.burst + kRoundingTolerance,
            granted << " of " << rate_limit_.burst);
  return granted;
}

void OwnerBucket::ApplyReport(const std::string& host, uint32_t spent,
                              uint32_t returned, TimePoint now) {
  Expire(now);
  const auto found = leases_.find(host);
  if (found == leases_.end()) {
    return;
  }
  TokenLease& lease = found->second;
  lease.tokens -= std::min<double>(lease.tokens, spent);
  // A host can return only tokens that this bucket still counts as leased to
  // it.
  const double credited = std::min<double>(lease.tokens, returned);
  lease.tokens -= credited;
  tokens_ =
      std::min(tokens_ + credited, std::max(0.0, rate_limit_.burst - leased()));
  if (lease.tokens <= 0) {
    leases_.erase(found);
  }
}

TimePoint OwnerBucket::NextTokenAt(TimePoint now) const {
  const TimePoint from = std::max(now, refilled_at_);
  const double missing = std::max(0.0, 1.0 - tokens_);
  return from + FromSeconds(missing / rate_limit_.rate);
}

std::vector<std::string> OwnerBucket::OtherHolders(
    const std::string& host) const {
  std::vector<std::string> holders;
  for (const auto& [holder, lease] : leases_) {
    if (holder != host && lease.tokens > 0) {
      holders.push_back(holder);
    }
  }
  return holders;
}

}  // namespace sequoialb
