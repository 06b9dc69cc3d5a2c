// Tracks, on the leader, which host processes hold a session lease.
//
// Hosts renew their leases with heartbeats. The leader derives views from the
// leases: a host is added with its first heartbeat and removed when it reports
// that it leaves or when its lease expires. A host counts its lease from the
// time it sent the heartbeat, the leader from the time it received it, plus a
// margin. So a host stops acting on its lease before the leader lets others
// act.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "proto/ledger.pb.h"
#include "proto/peer.pb.h"

namespace sequoialb {

struct SessionOptions {
  milliseconds heartbeat{250};
  // The interval of heartbeats while no leader answers. An ended connection is
  // back after 100 to 200 ms at best, so a shorter one gains little. 60 hosts
  // then send 600 heartbeats a second to each replica.
  milliseconds search{100};
  milliseconds lease{1'000};
  // Added to the lease by the leader, as clocks run at different rates.
  milliseconds margin{100};
};

class SessionTable {
 public:
  explicit SessionTable(SessionOptions options) : options_(options) {}

  // Called when this host becomes the leader. It does not know when the leases
  // of the previous leader end, so it assumes that every member of the view
  // holds a full lease.
  void Reset(const proto::HostView& view, TimePoint now);

  void OnHeartbeat(const std::string& host,
                   const proto::HostHeartbeat& heartbeat, TimePoint now);

  // Returns the next view to announce, or nullopt if `current` is up to date.
  std::optional<proto::HostView> NextView(const proto::HostView& current,
                                          TimePoint now) const;

  // Returns true if the current epoch is not settled yet and every member holds
  // a lease and has reported that epoch.
  bool CanSettle(const proto::HostView& current, TimePoint now) const;

 private:
  struct Session {
    uint64_t incarnation = 0;
    uint64_t seen_epoch = 0;
    TimePoint expires;
    bool leaving = false;
  };

  SessionOptions options_;
  std::map<std::string, Session> sessions_;
};

}  // namespace sequoialb
