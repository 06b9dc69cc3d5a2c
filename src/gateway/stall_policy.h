// Decides when a backend server that sends nothing is considered stalled, so
// that its requests are retried at another server.
//
// Load pattern: a server or its failure domain stops responding with requests
// in progress, and no connection reset reports it. A healthy server sends an
// event every few tens of milliseconds, so a stream without events for most of
// the gap that the route allows has nearly always failed, and resuming it then
// at another server still keeps it within its target. Before its first event a
// request may just be queued at the server, so it is retried elsewhere only
// when another server has a free slot.
//
// A server gets no new requests once none of its streams has received a byte
// for a while, long before the streams themselves are given up, because an
// attempt spent on a failed server leaves one fewer for the request.
//
// A server does not answer a request while it reads the prompt, so the time to
// the first event is extended by that. Its other streams go on in between, more
// slowly. A stream whose request was preempted pauses until its prompt has been
// read again; it is resumed elsewhere as before, but that is no failure of a
// server that goes on with other streams. Pure functions.
#pragma once

#include <algorithm>

#include "base/time.h"
#include "catalog/catalog.h"

namespace sequoialb {

// The fraction of the allowed gap after which a stream is resumed at another
// server; that server needs the rest for its first event.
inline constexpr double kStallFraction = 0.7;
// The fraction of the latency target after which a request without any event is
// retried at another server.
inline constexpr double kFirstEventFraction = 0.5;
// The least time before a request counts as stalled. It covers a round trip,
// the processing of a prompt and a busy host.
inline constexpr milliseconds kMinStallTime{100};
// A server that streams to this front and has sent nothing for this long gets
// no new requests: several times the gap between two events, and half of the
// shortest latency target of the deployments.
inline constexpr milliseconds kServerStallTime{150};
// A server with a longer mean gap between bytes is given this many such gaps.
inline constexpr int kServerStallGaps = 4;
// Prompts of this many tokens together are read within the times above.
inline constexpr uint64_t kCoveredPromptTokens = 4'000;
// Prompt tokens that a server reads in a millisecond. The slowest servers of
// the deployments read 61 tokens of a short prompt, and 36 of one of 80,000,
// where each token takes longer.
inline constexpr double kPromptTokensReadPerMs = 40;
// A caller states the size of its prompt, which may be wrong.
inline constexpr milliseconds kMaxReadingTime{10'000};
// The allowed gap for routes without a gap target.
inline constexpr milliseconds kDefaultGap{1'000};

// Returns how much longer than usual a healthy server may send nothing while it
// reads prompts of `tokens` tokens. `speed` is its learned speed, 1 is usual.
inline Duration ExtraReadingTime(uint64_t tokens, double speed = 1) {
  if (tokens <= kCoveredPromptTokens) {
    return Duration(0);
  }
  const double reading_ms = static_cast<double>(tokens - kCoveredPromptTokens) /
                            kPromptTokensReadPerMs /
                            std::clamp(speed, 0.1, 1.0);
  const auto most_ms = static_cast<double>(kMaxReadingTime.count());
  return FromSeconds(std::min(reading_ms, most_ms) / 1'000);
}

// Returns when a stream that last had an event at `last_event` has stalled.
// `reading` is the extra time for the prompt before the first event.
inline TimePoint StreamStallsAt(const Route& route, TimePoint last_event,
                                Duration reading = Duration(0)) {
  const milliseconds gap =
      route.gap_target.count() > 0 ? route.gap_target : kDefaultGap;
  return last_event + reading +
         std::max<Duration>(kMinStallTime, std::chrono::duration_cast<Duration>(
                                               gap * kStallFraction));
}

// Returns whether a server that has begun to answer `streaming` requests has
// stalled on all of them. Its last bytes were received at `last_progress_at`,
// `mean_gap` is the mean time between received bytes, and `reading` the extra
// time for the prompts that it may be reading, in parts.
inline bool IsServerStalled(uint32_t streaming, TimePoint last_progress_at,
                            Duration mean_gap, Duration reading,
                            TimePoint now) {
  return streaming > 0 &&
         now - last_progress_at >
             std::min<Duration>(reading, kServerStallTime) +
                 std::max<Duration>(kServerStallTime,
                                    mean_gap * kServerStallGaps);
}

// Returns when a request that was sent at `sent_at` and has had no event is
// late enough to be retried at another server. `speed` is the learned speed of
// its server, 1 is usual. A slower server is given more time, at most the
// latency target: its requests would otherwise nearly all be sent twice, which
// takes the slots that the slow servers have left short. `reading` is the extra
// time for the prompt.
inline TimePoint FirstEventStallsAt(const Route& route, TimePoint sent_at,
                                    double speed = 1,
                                    Duration reading = Duration(0)) {
  const double fraction =
      std::min(1.0, kFirstEventFraction / std::clamp(speed, 0.1, 1.0));
  return sent_at + reading +
         std::max<Duration>(kMinStallTime,
                            std::chrono::duration_cast<Duration>(
                                route.latency_target * fraction));
}

}  // namespace sequoialb
