// Decides when the caller of a request that is refused for lack of an authority
// lease should retry.
//
// Load pattern: all hosts lose power, or a failure domain is cut off, and the
// callers of whole seconds are refused. Each of them retries once or twice. One
// that is sent back too early is refused again and lost; one that returns when
// the front serves again is answered. How long that takes is known from the
// phase of the recovery: a front that has just started waits for its control
// hosts to start and to elect a leader; one that has lost its lease while it
// ran is cut off, and what helps its callers is the load balancer, which sends
// them to another front once it has found this one not ready. Callers that are
// refused together must not return together. Pure functions.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace sequoialb {

// What a front knows about its authority lease, on the clock of BootNow.
struct AuthorityStatus {
  TimePoint started_at;
  // When a control host first answered after the start or after a loss of
  // contact; TimePoint() while none has.
  TimePoint contact_at;
  // When the last lease ended or will end; TimePoint() before the first lease.
  TimePoint lease_until;
};

// From the start of all hosts until the control hosts answer.
inline constexpr milliseconds kControlStartTime{600};
// From the first answer of a control host until an elected leader has confirmed
// a lease: restarted hosts vote after 500 ms at the earliest.
inline constexpr milliseconds kElectionTime{600};
// From the end of a lease until the load balancer sends new connections to
// other fronts. It checks once a second and needs two failed checks.
inline constexpr milliseconds kBalancerReactionTime{2'000};
inline constexpr milliseconds kMinAuthorityRetry{100};
// Callers that wait longer than this have little of their deadline left.
inline constexpr milliseconds kMaxAuthorityRetry{1'600};

// Returns when a front without a lease is expected to have one, or its callers
// to be sent elsewhere. The result may lie in the past if that takes longer
// than usual.
inline TimePoint ExpectedServiceAt(const AuthorityStatus& status) {
  if (status.contact_at > status.lease_until) {
    return status.contact_at + kElectionTime;
  }
  if (status.lease_until != TimePoint()) {
    return status.lease_until + kBalancerReactionTime;
  }
  return status.started_at + kControlStartTime + kElectionTime;
}

// Returns after what delay the caller should retry: at a random time between
// the expected one and the longest delay, so that the callers of a whole outage
// return over a time as long as the outage and not all at its end. A recovery
// that takes longer than usual is expected to take as long again as it is
// overdue. `jitter` is in [0, 1).
inline milliseconds RetryWithoutAuthority(const AuthorityStatus& status,
                                          TimePoint now, double jitter) {
  const Duration until = ExpectedServiceAt(status) - now;
  const auto earliest = std::clamp(std::chrono::duration_cast<milliseconds>(
                                       until.count() >= 0 ? until : -until),
                                   kMinAuthorityRetry, kMaxAuthorityRetry);
  return earliest + milliseconds(static_cast<int64_t>(
                        jitter * static_cast<double>(
                                     (kMaxAuthorityRetry - earliest).count())));
}

}  // namespace sequoialb
