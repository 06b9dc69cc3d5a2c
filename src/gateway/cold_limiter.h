// Limits what one front sends to cold backend servers.
//
// Load pattern: a recovered failure domain takes back its traffic at once. Its
// servers are empty, so every front prefers them, while each of them sustains
// only a few requests per second and crashes well above that rate. All fronts
// together must stay at or below a bound in any second, also fronts that do not
// know of each other.
//
// Only the assigned front of a cold server sends to it, through a token bucket
// with a burst of one. The owner is chosen by rendezvous hashing, so that a
// server or front that comes or goes does not move the ownership of others. Two
// fronts that both consider themselves the owner, one of them on an old list of
// live fronts, stay below the bound together: each uses at most half of it.
// docs/design/cold-servers.md states what is not covered.
//
// Servers of a service without a cold rate are not limited. Pure state machines
// without I/O, clock or thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

// The shortest time between two requests of one front to a cold server.
// `rate` is in requests per second; all fronts together may send
// rate * excess + slack in any second. Returns 0 without a rate.
Duration ColdSendInterval(double rate, double excess, double slack);

// A front that has become the owner of a cold server, or learns that a server
// that it knew as warm is cold, sends nothing to it for this long: the lists
// and records of other fronts in contact may be a second older, and what they
// have sent counts for one more second.
inline constexpr milliseconds kColdTakeoverWait{2'000};

// What a front knows of a server's cold period. Times are on the clock of the
// thread that holds the object.
struct ColdServer {
  // 0 when the server's service has no cold rate: all else is then ignored.
  Duration send_interval{0};
  // How long a server of the service is cold after a start.
  milliseconds duration{0};
  // The end of the cold period by the server's last announcement; nothing when
  // the announcement does not state it.
  std::optional<TimePoint> cold_until;
  TimePoint announced_at;
  // Since when this front has been the owner; nothing when it is not.
  std::optional<TimePoint> owner_since;
  // When this information was put together.
  TimePoint as_of;

  // Moves all times by `offset`, the difference of two clocks.
  void Shift(Duration offset);
};

// Keeps which front owns each server while it is cold, and since when. Used by
// the thread that knows the live fronts.
class ColdOwners {
 public:
  struct Owner {
    // Empty when there is no front.
    std::string front;
    TimePoint since;
  };

  // Sets the hash of the list of all live fronts and of what else decides which
  // of them may be assigned. Call it with every list, also when no server is
  // known.
  void SetLiveFronts(uint64_t list_hash, TimePoint now);

  // Returns the owner of a server among `fronts`, those of the live fronts that
  // may be assigned to the servers of its failure domain. They change with the
  // list of live fronts, and also when another domain is evacuated.
  Owner OwnerOf(const std::string& backend,
                const std::vector<std::string>& fronts, TimePoint now);

 private:
  struct Entry {
    Owner owner;
    // The hash of the fronts that the owner was chosen from.
    std::optional<uint64_t> fronts_hash;
    TimePoint used_at;
  };

  std::optional<uint64_t> list_hash_;
  TimePoint list_changed_at_;
  std::map<std::string, Entry> entries_;
};

class ColdLimiter {
 public:
  // Takes what is known of a server. `started_unix_ms` identifies its process.
  void Update(const std::string& backend, int64_t started_unix_ms,
              const ColdServer& server);

  // Records that a connection to the server was refused, or ended before its
  // answer did. The server may have restarted, so it is treated as cold until a
  // later announcement, at most for the duration of a cold period.
  void RecordConnectionLost(const std::string& backend, TimePoint now);

  // Counts a request of any kind that this front has sent to the server.
  void RecordSent(const std::string& backend, TimePoint now);

  // Returns whether the server is cold and limited.
  bool IsCold(const std::string& backend, TimePoint now) const;
  // Returns whether this front may send one request to the server now. Always
  // true for a server that is not cold.
  bool MaySend(const std::string& backend, TimePoint now) const;

  // Returns how many servers are cold, and how many of them may get no request
  // of this front now.
  size_t ColdServers(TimePoint now) const;
  size_t HeldServers(TimePoint now) const;
  // Returns how many requests this front has sent to cold servers.
  uint64_t sent() const { return sent_; }

 private:
  struct Entry {
    int64_t started_unix_ms = 0;
    ColdServer server;
    TimePoint cold_until;
    // The end of the cold period of a restart whose announcement states none.
    TimePoint restart_until;
    // Set when a connection was lost; the end of the resulting limit.
    TimePoint lost_at;
    TimePoint lost_until;
    // Nothing is sent before this time while the server is cold.
    TimePoint held_until;
    std::optional<TimePoint> sent_at;
    // The last log line about the server said that it is cold.
    bool reported_cold = false;
  };

  static bool IsCold(const Entry& entry, TimePoint now) {
    return now < entry.cold_until;
  }
  static bool MaySend(const Entry& entry, TimePoint now);
  void Expire(TimePoint now);

  std::map<std::string, Entry> entries_;
  uint64_t sent_ = 0;
};

}  // namespace sequoialb
