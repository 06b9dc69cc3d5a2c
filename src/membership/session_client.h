// Sends a host's heartbeats to the leader and tracks its session lease and the
// freshness of its configuration.
//
// The leader's confirmed reply to a heartbeat renews the session lease and
// proves that this host had not missed any key withdrawal when it sent the
// heartbeat. Both periods start when the heartbeat was sent, on this host's
// clock, so a delayed reply or a suspended process does not extend them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"
#include "batches/blob_service.h"
#include "config/config_view.h"
#include "membership/session_table.h"
#include "peer/leader_client.h"
#include "peer/peer_sender.h"

namespace sequoialb {

class SessionClient {
 public:
  // How long after sending a confirmed heartbeat this host serves keyed
  // requests.
  static constexpr milliseconds kFreshness{3'000};

  SessionClient(PeerSender& sender, LeaderClient& leader, ConfigHolder& config,
                uint64_t incarnation);

  void OnReply(const std::string& from, const proto::HeartbeatReply& reply,
               TimePoint now);
  // Sends a heartbeat if one is due. `missing` reports the blobs that are
  // missing on the disk of a replica.
  void Tick(TimePoint now, const BlobsMissing& missing);
  // Sends a heartbeat at once that reports this host as leaving. All later
  // heartbeats report it, too.
  void Leave(TimePoint now);

  // The time at which the session lease ends. This host must not act on its
  // session after it.
  TimePoint lease_until() const { return lease_until_; }
  // True if the view contains this process (this host's current incarnation).
  bool in_view() const { return in_view_; }

 private:
  void SendHeartbeat(TimePoint now, const BlobsMissing& missing);

  PeerSender& sender_;
  LeaderClient& leader_;
  ConfigHolder& config_;
  uint64_t incarnation_;
  SessionOptions options_;
  TimePoint next_heartbeat_;
  TimePoint last_answer_;
  TimePoint lease_until_;
  bool in_view_ = false;
  bool leaving_ = false;
};

}  // namespace sequoialb
