// The backend servers of one failure domain as their dispatcher knows them.
//
// Servers announce themselves several times a second; one that falls silent or
// says that it leaves gets no new work. The dispatcher's own count of requests
// in flight is the truth about load. Reports lag behind, so they only add what
// they persistently show beyond that count (work of an earlier dispatcher).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

struct BackendOptions {
  // A server that has been silent this long gets no new work.
  milliseconds announcement_timeout{1'500};
  // A request's prefix counts as cached this long before events must name it.
  milliseconds prefix_grace{1'000};
  // A silent server is forgotten after this long.
  milliseconds removal_timeout{30'000};
  // Failures in a row after which a server is left alone for a while.
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
  // New batch work stays away until a waiting solo request has its turn.
  bool reserved_for_solo = false;
  // Work beyond this dispatcher's count, by the least of the last reports.
  uint32_t foreign_load = 0;
  uint32_t min_foreign_load = 0;
  uint32_t foreign_load_reports = 0;
  // Prefixes that its cache events name, and those of requests given to it
  // since, which events do not name yet.
  std::unordered_set<uint64_t> prefixes;
  std::map<uint64_t, TimePoint> pending_prefixes;
  // When the prefills that it was given will be done.
  TimePoint prefills_done_at;
  uint32_t failures = 0;
  uint32_t breaker_openings = 0;
  TimePoint breaker_open_until;
  // The last failure; nothing is given until the server is heard after it.
  TimePoint failed_at;
  bool probing = false;
  double first_byte_ms = 0;

  uint32_t in_flight() const { return online + batch; }
  uint32_t load() const { return online + batch + foreign_load; }
};

class BackendTable {
 public:
  explicit BackendTable(BackendOptions options) : options_(options) {}

  // Takes an announcement. Returns true when the server is new or restarted.
  bool OnAnnounce(const proto::Backend& backend, TimePoint now);

  // Counts how an attempt on a server ended, for its breaker.
  void OnOutcome(const proto::SlotRelease& release, TimePoint now);

  // Returns true when the server may be given new work now.
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
