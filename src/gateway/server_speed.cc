#include "gateway/server_speed.h"

#include <algorithm>
#include <cmath>

namespace sequoialb {
namespace {

// Own samples older than this are used only when there are few later ones.
constexpr milliseconds kSampleFresh{400};
// Own samples count for this long. A stream of a server that is eight times
// slower than usual has an event every 0.3 s.
constexpr milliseconds kSampleExpiry{1'500};
// A median of fewer samples would follow single prompts that are read between
// two events of other streams.
constexpr size_t kMinSamples = 3;
// What was learned of a server is forgotten this long after the last
// observation of any front.
constexpr milliseconds kForgetAfter{4'000};
// A slow server that no front has observed for this long gets one request, so
// that a recovery is noticed within a second.
constexpr milliseconds kProbeAfter{600};

// A server is slow above the first ratio of its gap to the reference, until it
// is below the second. Gaps at a full server are about 1.3 times those at an
// idle one.
constexpr double kSlowRatio = 1.6;
constexpr double kUsualRatio = 1.4;
// A server is slow only when its gap is over this part of the latency target:
// the first event takes a gap, the reading of the prompt and that of others.
constexpr double kSlowTargetFraction = 0.2;
// The limit is reduced when the gap is over this ratio and over this part of
// the latency target.
constexpr double kLateRatio = 3.2;
constexpr double kInTimeRatio = 2.4;
constexpr double kLateTargetFraction = 0.45;
// One reduction divides the limit by at most this.
constexpr double kMaxReduction = 2;
// A refusal, or an answer that is not completed, divides the limit by this.
constexpr double kRefusedReduction = 1.3;
// With fewer requests, a slowdown above this part of the earlier one counts as
// unchanged.
constexpr double kSameSlowdown = 0.75;
// How long the limit of a server that is slow at any concurrency is not reduced
// again.
constexpr milliseconds kUnlimited{3'000};
// The limit is raised by this factor, but at least by one.
constexpr double kRaiseFactor = 1.5;
// The limit changes at most this often; by then the gaps since the last change
// are known.
constexpr milliseconds kChangeInterval{200};
// A concurrency that was too high is tried again after this time, doubled with
// each failure up to the second figure. Fronts to which the server is not
// assigned wait that much longer.
constexpr milliseconds kRetryAfter{2'000};
constexpr uint32_t kMaxRetryDoublings = 2;
constexpr milliseconds kUnassignedRetryDelay{10'000};
// So many refusals in a row make a server slow for some time. They may come
// quickly, so that the server always seems to have free slots.
constexpr uint32_t kRefusalsSlow = 3;
constexpr milliseconds kRefusalsExpiry{1'000};

// What a server says of its machine counts in full, then less, and not at all
// after the second time: it changes many times a second.
constexpr milliseconds kWorkFresh{40};
constexpr milliseconds kWorkExpiry{200};
// From this on, what the server says makes it slow.
constexpr double kWorkSlow = 1.8;

// The slowest rate at which prompts are read by a usual server, in tokens per
// millisecond, and the time that the prompts of other requests may take.
constexpr double kPromptTokensPerMs = 61;
constexpr milliseconds kOtherPrompts{60};
// A first event counts as slow when it takes this many times what its prompt
// explains.
constexpr double kFirstEventSlow = 2;

// The reference gap rises by this part in a second.
constexpr double kReferenceRise = 0.05;

}  // namespace

Duration ReferenceGap(std::vector<Duration> gaps, Duration previous,
                      Duration elapsed) {
  if (gaps.empty()) {
    return previous;
  }
  const size_t quarter = gaps.size() / 4;
  std::nth_element(gaps.begin(),
                   gaps.begin() + static_cast<std::ptrdiff_t>(quarter),
                   gaps.end());
  const Duration gap = gaps[quarter];
  if (previous.count() == 0) {
    return gap;
  }
  const double rise = 1 + kReferenceRise * std::min(1.0, ToSeconds(elapsed));
  return std::min(gap, FromSeconds(ToSeconds(previous) * rise));
}

void ServerSpeed::AddSample(Duration gap, double busy, Duration target,
                            TimePoint now) {
  samples_[next_sample_] = {now, gap};
  next_sample_ = (next_sample_ + 1) % kSamples;
  busy_ = std::max(busy_, busy);
  observed_at_ = now;
  if (target.count() > 0) {
    target_ = target_.count() == 0 ? target : std::min(target_, target);
  }
}

void ServerSpeed::RecordGap(Duration gap, double busy, Duration target,
                            TimePoint now) {
  refusals_ = 0;
  AddSample(gap, busy, target, now);
}

void ServerSpeed::RecordFirstEvent(Duration time, uint64_t prompt_tokens,
                                   double busy, uint32_t slots, Duration target,
                                   TimePoint now) {
  refusals_ = 0;
  observed_at_ = now;
  // The request may have waited at the server until a slot became free.
  if (busy >= slots) {
    return;
  }
  const Duration explained = kNominalGap + kOtherPrompts +
                             FromSeconds(static_cast<double>(prompt_tokens) /
                                         kPromptTokensPerMs / 1'000);
  const double ratio = ToSeconds(time) / ToSeconds(explained);
  if (ratio > kFirstEventSlow) {
    AddSample(FromSeconds(ToSeconds(kNominalGap) * ratio), busy, target, now);
  }
}

void ServerSpeed::RecordRefused(double busy, uint32_t slots, TimePoint now) {
  refusals_ = now - refused_at_ > kRefusalsExpiry ? 1 : refusals_ + 1;
  refused_at_ = now;
  observed_at_ = now;
  // A server that is full by what is known may refuse for that alone.
  if (refusals_ >= kRefusalsSlow && busy < slots &&
      now - changed_at_ >= kChangeInterval) {
    Reduce(busy, kRefusedReduction, slots, now);
  }
}

void ServerSpeed::RecordTruncated(double busy, uint32_t slots, TimePoint now) {
  observed_at_ = now;
  if (now - changed_at_ >= kChangeInterval) {
    Reduce(busy, kRefusedReduction, slots, now);
  }
}

void ServerSpeed::RecordWork(uint32_t percent, TimePoint now) {
  work_ = std::max(1.0, static_cast<double>(percent) / 100);
  work_at_ = now;
}

std::optional<Duration> ServerSpeed::OwnGap(TimePoint now) const {
  std::array<Duration, kSamples> gaps{};
  size_t count = 0;
  // From the newest to the oldest.
  for (size_t i = 1; i <= kSamples; ++i) {
    const Sample& sample = samples_[(next_sample_ + kSamples - i) % kSamples];
    const Duration age = now - sample.at;
    if (sample.gap.count() == 0 || age > kSampleExpiry ||
        (age > kSampleFresh && count >= kMinSamples)) {
      break;
    }
    gaps[count++] = sample.gap;
  }
  if (count < kMinSamples) {
    return std::nullopt;
  }
  auto* const middle = gaps.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(gaps.begin(), middle,
                   gaps.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

uint32_t ServerSpeed::OwnPercent(TimePoint now) const {
  const auto gap = OwnGap(now);
  if (!gap) {
    return 0;
  }
  const double percent = 100 * ToSeconds(kNominalGap) / ToSeconds(*gap);
  return static_cast<uint32_t>(std::clamp(std::round(percent), 1.0, 10'000.0));
}

std::optional<Duration> ServerSpeed::ObservedGap(const ReportedSpeed& reported,
                                                 TimePoint now) const {
  const auto own = OwnGap(now);
  if (reported.percent() == 0) {
    return own;
  }
  const double others = 100 * ToSeconds(kNominalGap) / reported.percent();
  // Reports are older than own samples, and there may be many: both count half.
  return FromSeconds(own ? (others + ToSeconds(*own)) / 2 : others);
}

double ServerSpeed::WorkFactor(TimePoint now) const {
  const Duration age = now - work_at_;
  if (work_ <= 1 || age >= kWorkExpiry) {
    return 1;
  }
  if (age <= kWorkFresh) {
    return work_;
  }
  return 1 + (work_ - 1) * ToSeconds(kWorkExpiry - age) /
                 ToSeconds(kWorkExpiry - kWorkFresh);
}

double ServerSpeed::speed(TimePoint now) const {
  return 1 / std::max(std::max(1.0, slowdown_), WorkFactor(now));
}

bool ServerSpeed::IsSlow(TimePoint now) const {
  return late_ || WorkFactor(now) >= kLateRatio ||
         (refusals_ >= kRefusalsSlow && now - refused_at_ < kRefusalsExpiry);
}

bool ServerSpeed::IsProbeDue(TimePoint now) const {
  return now - observed_at_ > kProbeAfter;
}

double ServerSpeed::limit(uint32_t slots) const {
  return limit_ ? std::min(*limit_, static_cast<double>(slots))
                : static_cast<double>(slots);
}

void ServerSpeed::Reduce(double busy, double factor, uint32_t slots,
                         TimePoint now) {
  const double current = limit(slots);
  const double used = std::clamp(busy, 1.0, current);
  retries_failed_ = bad_ > 0 && used >= bad_
                        ? std::min(retries_failed_ + 1, kMaxRetryDoublings)
                        : 0;
  bad_ = used;
  retry_at_ = now + kRetryAfter * (1U << retries_failed_);
  // A concurrency just below that worked well is better known than the ratio.
  const double reduced = good_ > 0 && good_ < used
                             ? std::max(good_, used - 1)
                             : used / std::clamp(factor, 1.0, kMaxReduction);
  good_ = std::min(good_, std::max(1.0, reduced));
  limit_ = std::max(1.0, std::floor(reduced));
  changed_at_ = now;
}

void ServerSpeed::Raise(double busy, uint32_t slots, bool assigned,
                        TimePoint now) {
  good_ = std::max(good_, busy);
  const bool may_retry =
      now >= retry_at_ + (assigned ? Duration(0) : kUnassignedRetryDelay);
  if (good_ >= bad_) {
    bad_ = 0;
  }
  const double current = limit(slots);
  // A limit that is not used says nothing about a higher one.
  if (busy < current - 1 && busy < current * 0.7) {
    return;
  }
  double raised = std::max(current + 1, std::floor(current * kRaiseFactor));
  if (bad_ > 0 && raised >= bad_) {
    raised = may_retry ? std::max(current, bad_) : std::max(current, bad_ - 1);
  }
  if (raised >= slots) {
    limit_.reset();
  } else {
    limit_ = raised;
  }
  changed_at_ = now;
}

void ServerSpeed::Refresh(Duration reference, const ReportedSpeed& reported,
                          double busy, uint32_t slots, bool assigned,
                          TimePoint now) {
  const auto gap = ObservedGap(reported, now);
  if (reported.reports > 0) {
    observed_at_ = now;
  }
  busy_ = std::max(busy_, busy);
  if (!gap || reference.count() == 0) {
    if (now - observed_at_ > kForgetAfter) {
      slowdown_ = 1;
      slow_ = false;
      late_ = false;
      limit_.reset();
      good_ = 0;
      bad_ = 0;
      retries_failed_ = 0;
    }
    busy_ = busy;
    return;
  }
  slowdown_ = ToSeconds(*gap) / ToSeconds(reference);
  const double target = ToSeconds(target_);
  const double gap_s = ToSeconds(*gap);
  slow_ = slow_
              ? slowdown_ > kUsualRatio
              : slowdown_ > kSlowRatio && gap_s > target * kSlowTargetFraction;
  late_ = late_
              ? slowdown_ > kInTimeRatio
              : slowdown_ > kLateRatio && gap_s > target * kLateTargetFraction;
  if (now - changed_at_ >= kChangeInterval) {
    if (late_) {
      if (limit_ && busy_ > *limit_ + 0.5) {
        // The requests above the limit have not ended yet.
      } else if (limit_ && slowdown_ > reduced_slowdown_ * kSameSlowdown) {
        limit_.reset();
        bad_ = 0;
        unlimited_until_ = now + kUnlimited;
      } else if (now >= unlimited_until_) {
        reduced_slowdown_ = slowdown_;
        Reduce(busy_, kMaxReduction, slots, now);
      }
    } else if (limit_) {
      Raise(std::min<double>(busy, slots), slots, assigned, now);
    } else if (slowdown_ < kUsualRatio) {
      good_ = std::max(good_, std::min<double>(busy, slots));
    }
    busy_ = busy;
  }
}

}  // namespace sequoialb
