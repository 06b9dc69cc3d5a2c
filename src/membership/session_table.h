// The leader's account of which host processes hold a session lease.
//
// Hosts renew their leases by heartbeats. The leader turns changes into views:
// a host enters with its first heartbeat and leaves when it says so or when its
// lease has run out. Because a host counts its lease from the instant it sent
// the heartbeat and the leader from the instant it arrived, plus a margin, a
// host stops acting on its lease before the leader lets others act.
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
  milliseconds lease{1'000};
  // What the leader adds to a lease for clocks that run at different rates.
  milliseconds margin{100};
};

class SessionTable {
 public:
  explicit SessionTable(SessionOptions options) : options_(options) {}

  // Begins a leadership: the earlier leader's leases are unknown, so every
  // member of the view is taken to hold a full one.
  void Reset(const proto::HostView& view, TimePoint now);

  void OnHeartbeat(const std::string& host,
                   const proto::HostHeartbeat& heartbeat, TimePoint now);

  // Returns the view to announce next, if the present one is out of date.
  std::optional<proto::HostView> NextView(const proto::HostView& current,
                                          TimePoint now) const;

  // Returns true when every member has seen the present epoch.
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
