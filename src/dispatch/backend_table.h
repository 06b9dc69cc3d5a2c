// The dispatcher's table of the backend servers of its failure domain, with
// their load, cached prefixes and circuit breakers.
//
// Servers announce themselves several times a second; one that stops doing so
// or announces that it is draining gets no new work. The dispatcher's own count
// of requests in flight is authoritative for the load. Reports lag behind, so
// they only add requests that several of them in a row show beyond that count
// (such as those that an earlier dispatcher granted).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

struct BackendOptions {
  // A server without an announcement for this long gets no new work.
  milliseconds announcement_timeout{1'500};
  // The prefix of a granted request counts as cached for this long. After that
  // it counts only if the server's cache events list it.
  milliseconds prefix_grace{1'000};
  // A server without an announcement for this long, and without requests in
  // flight, is removed from the table.
  milliseconds removal_timeout{30'000};
  // Consecutive failures that open a server's breaker. It first stays open for
  // min_open_time, then twice as long with each opening up to max_open_time.
  uint32_t failures_to_open = 3;
  milliseconds min_open_time{1'000};
  milliseconds max_open_time{30'000};
};

struct BackendState {
  proto::Backend info;
  TimePoint last_announced_at;
  uint32_t online = 0;
  uint32_t batch = 0;
  uint32_t solo = 0;
  uint32_t revoking = 0;
  // No other batch request is granted here, so that a queued solo request,
  // which needs a server without other batch work, can start.
  bool reserved_for_solo = false;
  // Requests beyond this dispatcher's count: the estimate in use, the lowest
  // excess in the current series of reports, and the length of that series.
  uint32_t foreign_load = 0;
  uint32_t min_foreign_load = 0;
  uint32_t foreign_load_reports = 0;
  // Prefixes that the server's cache events list, and those of recently granted
  // requests, which events may not list yet, with the times of the grants.
  std::unordered_set<uint64_t> prefixes;
  std::map<uint64_t, TimePoint> pending_prefixes;
  // When the prefills of the granted requests are expected to be done.
  TimePoint prefills_done_at;
  uint32_t failures = 0;
  uint32_t breaker_openings = 0;
  TimePoint breaker_open_until;
  // The last failure; nothing is granted until the server's next announcement.
  TimePoint failed_at;
  bool probing = false;
  double first_byte_ms = 0;

  uint32_t in_flight() const { return online + batch; }
  uint32_t load() const { return online + batch + foreign_load; }
};

class BackendTable {
 public:
  explicit BackendTable(BackendOptions options) : options_(options) {}

  // Records an announcement. Returns true when the server is new or restarted.
  bool OnAnnounce(const proto::Backend& backend, TimePoint now);

  // Records how an attempt on a server ended, for its breaker and its time to
  // first byte.
  void OnOutcome(const proto::SlotRelease& release, TimePoint now);

  // Returns true when the server may be granted new work now.
  bool Usable(const BackendState& state, TimePoint now) const;

  // Returns true when the server's cache probably holds a prefix.
  bool HoldsPrefix(const BackendState& state, uint64_t prefix,
                   TimePoint now) const;

  void RemoveExpired(TimePoint now);

  BackendState* Find(const std::string& backend);
  std::map<std::string, BackendState>& all() { return backends_; }
  const std::map<std::string, BackendState>& all() const { return backends_; }

 private:
  static void UpdateForeignLoad(BackendState& state);

  BackendOptions options_;
  std::map<std::string, BackendState> backends_;
};

}  // namespace sequoialb
