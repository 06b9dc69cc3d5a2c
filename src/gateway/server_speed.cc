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
constexpr milliseconds kForgetAfter{2'000};

// A server is slow above the first ratio of its gap to the reference, until it
// is below the second. Slow is a class for logs and metrics; requests are
// placed by the ratio itself. Gaps at a full server are about 1.3 times those
// at an idle one.
constexpr double kSlowRatio = 1.6;
constexpr double kUsualRatio = 1.4;
// The newest ratio changes the slowdown by this part: single prompts that are
// read between events must not change the class of a server.
constexpr double kNewestSlowdown = 0.4;
// A server is slow only when its gap is also over this part of the latency
// target, 60 ms of 300.
constexpr double kSlowTargetFraction = 0.2;
// A server is late when its gap is over this ratio to its own shortest gap, and
// over this part of the latency target, until it is below the second ratio. The
// first event takes a gap and the reading of the prompt and of others.
constexpr double kLateRatio = 2.2;
constexpr double kInTimeRatio = 1.6;
constexpr double kLateTargetFraction = 0.33;
// The limit is reduced after a server has been late for this long. Speeds that
// change several times a second would otherwise keep limits low.
constexpr milliseconds kLateTime{800};
// One reduction divides the limit by at most this.
constexpr double kMaxReduction = 2;
// A refusal, or an answer that is not completed, divides the limit by this.
constexpr double kRefusedReduction = 1.3;
// With fewer requests, a ratio above this part of the earlier one counts as
// unchanged: below a cliff it falls to a third or less.
constexpr double kSameRatio = 0.75;
// Gaps observed this long after the requests above a reduced limit have ended
// show whether the reduction has helped.
constexpr milliseconds kSettled{700};
// How long the limit of a server that is slow at any concurrency is not reduced
// again. Disturbances last some seconds.
constexpr milliseconds kUnlimited{3'000};
// The limit is raised by this factor, but at least by one, and by one while a
// concurrency is known to be too high: from 1 to 8 slots in 3 s.
constexpr double kRaiseFactor = 1.5;
// The limit changes at most this often; by then the gaps since the last change
// are known.
constexpr milliseconds kChangeInterval{200};
// A concurrency that was too high is tried again after this time, doubled with
// each failure up to the second figure. Fronts to which the server is not
// assigned wait that much longer: 58 fronts must not try it in turn.
constexpr milliseconds kRetryAfter{2'000};
constexpr uint32_t kMaxRetryDoublings = 2;
constexpr milliseconds kUnassignedRetryDelay{10'000};
// After so many refusals in a row, other servers are preferred until the last
// is older than this.
constexpr uint32_t kMaxRefusals = 3;
constexpr milliseconds kRefusalsExpiry{1'000};

// What a server says of its machine counts in full, then less, and not at all
// after the second time: it changes many times a second.
constexpr milliseconds kWorkFresh{40};
constexpr milliseconds kWorkExpiry{200};

// The slowest rate at which prompts are read by a usual server, in tokens per
// millisecond, and the time that the prompts of other requests may take.
constexpr double kPromptTokensPerMs = 61;
constexpr milliseconds kOtherPrompts{60};
// A first event counts as slow when it takes this many times what its prompt
// explains.
constexpr double kFirstEventSlow = 3;

// The reference gaps rise by this part in a second: a lasting change to twice
// the gap is usual after 14 s, a disturbance of 5 s is not.
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
  // The request may have waited at the server until a slot became free.
  if (busy >= slots) {
    return;
  }
  const Duration explained = kNominalGap + kOtherPrompts +
                             FromSeconds(static_cast<double>(prompt_tokens) /
                                         kPromptTokensPerMs / 1'000);
  const double ratio = ToSeconds(time) / ToSeconds(explained);
  if (ratio > kFirstEventSlow && !OwnGap(now)) {
    AddSample(FromSeconds(ToSeconds(kNominalGap) * ratio), busy, target, now);
  }
}

void ServerSpeed::RecordRefused(double busy, uint32_t slots, TimePoint now) {
  refusals_ = now - refused_at_ > kRefusalsExpiry ? 1 : refusals_ + 1;
  refused_at_ = now;
  observed_at_ = now;
  // A server that is full by what is known may refuse for that alone.
  if (refusals_ >= kMaxRefusals && busy < slots &&
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

bool ServerSpeed::IsRefusing(TimePoint now) const {
  return refusals_ >= kMaxRefusals && now - refused_at_ < kRefusalsExpiry;
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
  // A concurrency that worked well is better known than the factor.
  const double divided = used / std::clamp(factor, 1.0, kMaxReduction);
  const double reduced = good_ < used ? std::max(good_, divided) : divided;
  good_ = std::min(good_, reduced);
  limit_ = std::max(1.0, std::floor(reduced));
  changed_at_ = now;
}

void ServerSpeed::Raise(double busy, uint32_t slots, bool assigned,
                        TimePoint now) {
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
  double raised =
      bad_ > 0 ? current + 1
               : std::max(current + 1, std::floor(current * kRaiseFactor));
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
  slowdown_ +=
      (ToSeconds(*gap) / ToSeconds(reference) - slowdown_) * kNewestSlowdown;
  const double target = ToSeconds(target_);
  const double gap_s = slowdown_ * ToSeconds(reference);
  slow_ = slow_
              ? slowdown_ > kUsualRatio
              : slowdown_ > kSlowRatio && gap_s > target * kSlowTargetFraction;
  const Duration smoothed = FromSeconds(gap_s);
  const double rise = ToSeconds(now - refreshed_at_) * kReferenceRise;
  refreshed_at_ = now;
  own_reference_ =
      own_reference_.count() == 0
          ? smoothed
          : std::min(smoothed,
                     FromSeconds(ToSeconds(own_reference_) * (1 + rise)));
  const double own_ratio = gap_s / ToSeconds(own_reference_);
  late_ = late_
              ? own_ratio > kInTimeRatio
              : own_ratio > kLateRatio && gap_s > target * kLateTargetFraction;
  // Gaps follow the concurrency with a delay, so one that worked well is known
  // only after it has lasted.
  if (own_ratio >= kInTimeRatio) {
    lasting_since_ = now;
    lasting_busy_ = busy;
  }
  lasting_busy_ = std::min({lasting_busy_, busy, static_cast<double>(slots)});
  if (now - lasting_since_ >= kSettled) {
    good_ = std::max(good_, lasting_busy_);
    if (limit_) {
      Raise(lasting_busy_, slots, assigned, now);
    }
    lasting_since_ = now;
    lasting_busy_ = busy;
  }
  if (now - changed_at_ >= kChangeInterval) {
    if (!late_) {
      awaiting_effect_ = false;
      late_since_ = now;
    }
    if (late_ && awaiting_effect_) {
      if (limit_ && busy_ > *limit_ + 0.5) {
        // The requests above the limit have not ended yet.
        settled_at_ = now;
      } else if (now - settled_at_ >= kSettled) {
        awaiting_effect_ = false;
        if (own_ratio > reduced_ratio_ * kSameRatio) {
          limit_.reset();
          bad_ = 0;
          unlimited_until_ = now + kUnlimited;
        }
      }
    } else if (late_) {
      if (now >= unlimited_until_ && now - late_since_ >= kLateTime) {
        awaiting_effect_ = true;
        settled_at_ = now;
        reduced_ratio_ = own_ratio;
        Reduce(busy_, kMaxReduction, slots, now);
      }
    }
    busy_ = busy;
  }
}

}  // namespace sequoialb
