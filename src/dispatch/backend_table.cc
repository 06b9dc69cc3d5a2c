#include "dispatch/backend_table.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr uint32_t kReportsPerForeignEstimate = 4;
constexpr double kFirstByteSmoothing = 0.2;
constexpr uint32_t kMaxBackoffDoublings = 6;

}  // namespace

BackendState* BackendTable::Find(const std::string& backend) {
  const auto found = backends_.find(backend);
  return found == backends_.end() ? nullptr : &found->second;
}

bool BackendTable::OnAnnounce(const proto::Backend& backend, TimePoint now) {
  const auto found = backends_.find(backend.id());
  const bool restarted =
      found == backends_.end() ||
      found->second.info.incarnation() != backend.incarnation();
  BackendState& state = backends_[backend.id()];
  if (restarted && found != backends_.end()) {
    // Failures and load of the earlier process do not apply to the new one.
    state.failures = 0;
    state.breaker_openings = 0;
    state.breaker_open_until = TimePoint();
    state.failed_at = TimePoint();
    state.foreign_load = 0;
    state.foreign_load_reports = 0;
    state.first_byte_ms = 0;
  }
  state.info = backend;
  state.last_announced_at = now;
  for (auto pending = state.pending_prefixes.begin();
       pending != state.pending_prefixes.end();) {
    const bool expired = now >= pending->second + options_.prefix_grace;
    pending =
        expired ? state.pending_prefixes.erase(pending) : std::next(pending);
  }
  state.prefixes = {backend.cached_prefixes().begin(),
                    backend.cached_prefixes().end()};
  UpdateForeignLoad(state);
  return restarted;
}

// Estimates the requests on a server that this dispatcher does not count. The
// estimate falls with any report that shows less, but rises only to the lowest
// excess of several consecutive reports: a single one may include requests that
// have ended since.
void BackendTable::UpdateForeignLoad(BackendState& state) {
  const uint32_t reported = state.info.running() + state.info.waiting();
  const uint32_t own = state.in_flight();
  const uint32_t excess = reported > own ? reported - own : 0;
  state.min_foreign_load = state.foreign_load_reports == 0
                               ? excess
                               : std::min(state.min_foreign_load, excess);
  ++state.foreign_load_reports;
  if (excess < state.foreign_load) {
    state.foreign_load = excess;
  }
  if (state.foreign_load_reports >= kReportsPerForeignEstimate) {
    state.foreign_load = state.min_foreign_load;
    state.foreign_load_reports = 0;
  }
}

void BackendTable::OnOutcome(const proto::SlotRelease& release, TimePoint now) {
  BackendState* state = Find(release.backend());
  if (state == nullptr) {
    return;
  }
  state->probing = false;
  const uint32_t first_byte_ms = release.first_byte_ms();
  if (!release.failed()) {
    state->failures = 0;
    state->breaker_openings = 0;
    if (first_byte_ms > 0) {
      state->first_byte_ms +=
          kFirstByteSmoothing * (first_byte_ms - state->first_byte_ms);
    }
    return;
  }
  state->failed_at = now;
  // A server that cannot be connected to opens its breaker at the first
  // failure.
  state->failures += release.unreachable() ? options_.failures_to_open : 1;
  if (state->failures < options_.failures_to_open) {
    return;
  }
  const auto pause =
      options_.min_open_time *
      (1U << std::min(state->breaker_openings, kMaxBackoffDoublings));
  state->breaker_open_until =
      now + std::min<milliseconds>(pause, options_.max_open_time);
  ++state->breaker_openings;
}

bool BackendTable::Usable(const BackendState& state, TimePoint now) const {
  if (state.info.leaving() ||
      now >= state.last_announced_at + options_.announcement_timeout) {
    return false;
  }
  // After a failure the server must announce itself again: a process that has
  // just crashed may still accept connections, and requests sent to it would
  // fail and have the failure counted against them.
  if (now < state.breaker_open_until ||
      state.last_announced_at <= state.failed_at) {
    return false;
  }
  // Once the breaker is no longer open, a single request probes the server.
  const bool half_open = state.failures >= options_.failures_to_open;
  return !half_open || !state.probing;
}

bool BackendTable::HoldsPrefix(const BackendState& state, uint64_t prefix,
                               TimePoint now) const {
  if (state.prefixes.count(prefix) > 0) {
    return true;
  }
  const auto pending = state.pending_prefixes.find(prefix);
  return pending != state.pending_prefixes.end() &&
         now < pending->second + options_.prefix_grace;
}

void BackendTable::RemoveExpired(TimePoint now) {
  for (auto entry = backends_.begin(); entry != backends_.end();) {
    const bool expired =
        now >= entry->second.last_announced_at + options_.removal_timeout &&
        entry->second.in_flight() == 0;
    entry = expired ? backends_.erase(entry) : std::next(entry);
  }
}

}  // namespace sequoialb
