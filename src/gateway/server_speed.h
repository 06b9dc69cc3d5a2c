// Learns for one backend server how fast it works compared with the other
// servers of its service, and how many requests it can run at once without
// making their callers wait too long.
//
// Load pattern: servers of one service differ in speed. Some are slower all the
// time, some for seconds because other work disturbs their machine, and some as
// soon as more than a part of their slots are used. A slow server has free
// slots as often as a fast one, so counting slots alone sends it the same share
// of the requests, and most of those are late.
//
// The measure is the time between two events of a stream, the gap: it depends
// neither on the length of the prompt nor on cached parts of it. The time to
// the first event counts only as far as it is longer than the prompt explains.
//
// The ratio of the gap to that of the fast quarter of the service's servers
// (ReferenceGap) is the server's speed, by which its free slots are weighted.
// Usual servers differ by a factor of 1.5, so a change shows better against the
// server's own past. When the gap is well above the shortest of this server and
// callers are about to be late, its assigned front no longer prefers it, and
// its limit is reduced. If that does not help, the server is slow at any
// concurrency and the limit is lifted. If it does, the limit is raised by steps
// while it is used, and the concurrency that was too high is not tried again
// for some seconds, longer each time.
//
// Fronts tell each other the gaps they observe (FrontLoad.speed_percent). Only
// the assigned front soon tries a concurrency again that was too high; others
// follow what it reports. A slow server keeps a small share of the requests, so
// that its recovery is noticed.
//
// What a server says of itself (`work_percent`) only makes it slower than
// observed, never faster, and only for some tens of milliseconds. Observations
// expire; a server without any is treated as usual. A pure state machine.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace sequoialb {

// The gap that is reported to other fronts as 100 percent: 14 tokens at 2.9 ms.
// It is only the unit of the reports; what is usual is learned.
inline constexpr Duration kNominalGap = milliseconds(40);

// Gaps of one server that other fronts have reported, as speeds in percent of
// 1 / kNominalGap.
struct ReportedSpeed {
  uint32_t percent_sum = 0;
  uint32_t reports = 0;

  void Add(const ReportedSpeed& other) {
    percent_sum += other.percent_sum;
    reports += other.reports;
  }
  // Returns the mean in percent, 0 if unknown.
  uint32_t percent() const { return reports == 0 ? 0 : percent_sum / reports; }
};

// Returns the gap of the fast quarter of a service's servers, given the gaps of
// those that have been observed, or `previous` while there are none. It falls
// at once and rises slowly, so that a load which slows down all servers at once
// is not taken as usual. `previous` is 0 if unknown; `elapsed` is the time
// since it was computed.
Duration ReferenceGap(std::vector<Duration> gaps, Duration previous,
                      Duration elapsed);

class ServerSpeed {
 public:
  // Records the time between two events of a stream. `busy` is how many
  // requests the server had, and `target` the latency target of the route, 0 if
  // it has none.
  void RecordGap(Duration gap, double busy, Duration target, TimePoint now);
  // Records the time from sending a request to its first event.
  void RecordFirstEvent(Duration time, uint64_t prompt_tokens, double busy,
                        uint32_t slots, Duration target, TimePoint now);
  // Records that the server refused a request without running it.
  void RecordRefused(double busy, uint32_t slots, TimePoint now);
  // Records that the server did not complete an answer.
  void RecordTruncated(double busy, uint32_t slots, TimePoint now);
  // Records how long work takes on the server's machine, in percent of the
  // usual time, as the server states it.
  void RecordWork(uint32_t percent, TimePoint now);

  // Takes in what was observed since the last call. `reported` has the gaps
  // that other fronts report. Call it a few times a second.
  void Refresh(Duration reference, const ReportedSpeed& reported, double busy,
               uint32_t slots, bool assigned, TimePoint now);

  // Returns the gap that this front and others have observed, if any.
  std::optional<Duration> ObservedGap(const ReportedSpeed& reported,
                                      TimePoint now) const;
  // Returns the speed to report to other fronts: what this front has observed
  // by itself, or 0.
  uint32_t OwnPercent(TimePoint now) const;

  // Returns how fast the server works; 1 is usual, less is slower.
  double speed(TimePoint now) const;
  // Returns whether the server has refused its last requests, so that others
  // should be preferred. Refusals may come quickly, and then it always seems to
  // have free slots.
  bool IsRefusing(TimePoint now) const;
  // Returns how many requests the server can run at once.
  double limit(uint32_t slots) const;
  bool limited() const { return limit_.has_value(); }
  // Returns whether the server works at a speed below usual, without what it
  // says of itself at this moment.
  bool slow() const { return slow_; }
  // Returns whether its callers are late.
  bool late() const { return late_; }

 private:
  struct Sample {
    TimePoint at;
    Duration gap{0};
  };
  static constexpr size_t kSamples = 8;

  void AddSample(Duration gap, double busy, Duration target, TimePoint now);
  // Returns the median of the recent own samples, if there are enough.
  std::optional<Duration> OwnGap(TimePoint now) const;
  double WorkFactor(TimePoint now) const;
  void Reduce(double busy, double factor, uint32_t slots, TimePoint now);
  void Raise(double busy, uint32_t slots, bool assigned, TimePoint now);

  std::array<Sample, kSamples> samples_{};
  size_t next_sample_ = 0;
  // The highest concurrency seen since the last refresh.
  double busy_ = 0;
  // The shortest latency target of the recent requests; 0 if none.
  Duration target_{0};

  // Gap divided by the reference gap; 1 is usual.
  double slowdown_ = 1;
  bool slow_ = false;
  // The shortest gap of this server, raised slowly. Usual servers differ by a
  // factor of 1.5, so that a change is seen better against its own past.
  Duration own_reference_{0};
  TimePoint refreshed_at_;
  // Unset while all slots may be used.
  std::optional<double> limit_;
  // Its callers are late.
  bool late_ = false;
  TimePoint late_since_;
  // The limit was reduced because callers were late, at this ratio of the gap
  // to own_reference_, and it is not known yet whether that helps. While the
  // ratio stays as high with fewer requests, the server is slow at any
  // concurrency, and until `unlimited_until_` the limit is not reduced again.
  bool awaiting_effect_ = false;
  double reduced_ratio_ = 0;
  TimePoint unlimited_until_;
  // When the requests above the reduced limit had ended.
  TimePoint settled_at_;
  // The highest concurrency that worked well and the lowest that did not.
  double good_ = 0;
  double bad_ = 0;
  // The lowest concurrency since `lasting_since_`; the gaps were usual all that
  // time.
  double lasting_busy_ = 0;
  TimePoint lasting_since_;
  // Until then `bad_` is not tried again.
  TimePoint retry_at_;
  // How often `bad_` has been found to be too high in a row.
  uint32_t retries_failed_ = 0;
  TimePoint observed_at_;
  // Of the last refresh that changed the limit.
  TimePoint changed_at_;
  // Requests in a row that were refused, and when the last was.
  uint32_t refusals_ = 0;
  TimePoint refused_at_;
  double work_ = 1;
  TimePoint work_at_;
};

}  // namespace sequoialb
