#include "rates/owner_bucket.h"

#include <algorithm>
#include <cmath>

#include "base/check.h"

namespace sequoialb {
namespace {

// Rounding in the sum of lent and held tokens must not trip the invariant.
constexpr double kRounding = 1e-6;

}  // namespace

OwnerBucket::OwnerBucket(BucketTerms terms, TimePoint loans_unknown_until)
    : terms_(terms), refilled_at_(loans_unknown_until) {}

double OwnerBucket::lent() const {
  double sum = 0;
  for (const auto& [host, loan] : loans_) {
    sum += loan.tokens;
  }
  return sum;
}

void OwnerBucket::Refill(TimePoint now) {
  if (now <= refilled_at_) {
    return;
  }
  const double room = std::max(0.0, terms_.burst - lent());
  tokens_ =
      std::min(room, tokens_ + terms_.rate * ToSeconds(now - refilled_at_));
  refilled_at_ = now;
  has_filled_ = has_filled_ || tokens_ + lent() >= terms_.burst - kRounding;
}

void OwnerBucket::SetTerms(BucketTerms terms, TimePoint now) {
  Refill(now);
  terms_ = terms;
  tokens_ = std::min(tokens_, std::max(0.0, terms_.burst - lent()));
}

void OwnerBucket::Expire(TimePoint now) {
  for (auto entry = loans_.begin(); entry != loans_.end();) {
    if (entry->second.expires > now) {
      ++entry;
      continue;
    }
    // Accrual up to the end of the loan is bounded by it; then it is gone.
    Refill(std::min(now, std::max(entry->second.expires, refilled_at_)));
    entry = loans_.erase(entry);
  }
  Refill(now);
}

uint32_t OwnerBucket::Lend(const std::string& host, uint32_t want,
                           TimePoint now, TimePoint expires) {
  Expire(now);
  const auto whole =
      static_cast<uint32_t>(std::min<double>(want, std::floor(tokens_)));
  if (whole == 0) {
    return 0;
  }
  tokens_ -= whole;
  Loan& loan = loans_[host];
  loan.tokens += whole;
  loan.expires = std::max(loan.expires, expires);
  SEQ_CHECK(tokens_ + lent() <= terms_.burst + lent() && tokens_ >= 0, tokens_);
  SEQ_CHECK(whole <= terms_.burst + kRounding, whole << " of " << terms_.burst);
  return whole;
}

void OwnerBucket::Report(const std::string& host, uint32_t spent,
                         uint32_t returned, TimePoint now) {
  Expire(now);
  const auto found = loans_.find(host);
  if (found == loans_.end()) {
    return;
  }
  Loan& loan = found->second;
  loan.tokens -= std::min<double>(loan.tokens, spent);
  // A host can give back only what this bucket still counts as lent to it.
  const double back = std::min<double>(loan.tokens, returned);
  loan.tokens -= back;
  tokens_ = std::min(tokens_ + back, std::max(0.0, terms_.burst - lent()));
  if (loan.tokens <= 0) {
    loans_.erase(found);
  }
}

TimePoint OwnerBucket::NextTokenAt(TimePoint now) const {
  const TimePoint from = std::max(now, refilled_at_);
  const double missing = std::max(0.0, 1.0 - tokens_);
  return from + FromSeconds(missing / terms_.rate);
}

std::vector<std::string> OwnerBucket::OtherHolders(
    const std::string& host) const {
  std::vector<std::string> holders;
  for (const auto& [holder, loan] : loans_) {
    if (holder != host && loan.tokens > 0) {
      holders.push_back(holder);
    }
  }
  return holders;
}

}  // namespace sequoialb
