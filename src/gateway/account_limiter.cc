#include "gateway/account_limiter.h"

#include <algorithm>
#include <cmath>

namespace sequoialb {
namespace {

// Demand of this long ago weighs e times less than demand of now, in seconds.
constexpr double kDemandMemoryS = 2.0;

}  // namespace

void AccountLimiter::SetShares(std::map<std::string, double> shares,
                               double otherwise) {
  shares_ = std::move(shares);
  otherwise_ = otherwise;
}

double AccountLimiter::ShareOf(const std::string& account) const {
  const auto found = shares_.find(account);
  return found == shares_.end() ? otherwise_ : found->second;
}

AccountLimiter::Bucket& AccountLimiter::Filled(const Account& account,
                                               TimePoint now) {
  const double share = ShareOf(account.name);
  // A part of the burst below one token would let nobody in, ever.
  const double most = std::max(1.0, account.burst * share);
  auto [entry, added] = buckets_.try_emplace(account.name);
  Bucket& bucket = entry->second;
  if (added) {
    bucket = {most, now, 0, now};
  }
  const double gained =
      account.rate * share * ToSeconds(now - bucket.filled_at);
  bucket.tokens = std::min(most, bucket.tokens + gained);
  bucket.filled_at = now;
  return bucket;
}

std::optional<double> AccountLimiter::Take(const Account& account,
                                           TimePoint now) {
  if (account.rate <= 0) {
    return std::nullopt;
  }
  Bucket& bucket = Filled(account, now);
  const double age = ToSeconds(now - bucket.demand_at);
  bucket.demand =
      bucket.demand * std::exp(-age / kDemandMemoryS) + 1 / kDemandMemoryS;
  bucket.demand_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const double rate = account.rate * std::max(ShareOf(account.name), 0.01);
  return (1 - bucket.tokens) / rate;
}

void AccountLimiter::Return(const Account& account) {
  const auto found = buckets_.find(account.name);
  if (found != buckets_.end()) {
    found->second.tokens += 1;
  }
}

std::map<std::string, double> AccountLimiter::Demand(TimePoint now) {
  std::map<std::string, double> demand;
  for (const auto& [name, bucket] : buckets_) {
    const double age = ToSeconds(now - bucket.demand_at);
    demand[name] = bucket.demand * std::exp(-age / kDemandMemoryS);
  }
  return demand;
}

}  // namespace sequoialb
