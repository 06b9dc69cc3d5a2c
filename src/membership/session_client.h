// Sends a host's heartbeats to the leader and tracks its session lease and the
// freshness of its configuration.
//
// The leader's confirmed reply to a heartbeat renews the session lease and
// proves that this host had not missed any key withdrawal when it sent the
// heartbeat. Both periods start when the heartbeat was sent, on this host's
// clock, so a delayed reply or a suspended process does not extend them.
//
// While the leader does not answer, heartbeats go to all replicas and at a
// shorter interval. A process that was suspended cannot tell its own pause from
// silence of the leader, and refuses keyed requests until it is confirmed.
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
  // Returns true if no leader has answered a heartbeat of the last two
  // intervals.
  bool Searching(TimePoint now) const;
  proto::Envelope Heartbeat(TimePoint now, const BlobsMissing& missing) const;

  PeerSender& sender_;
  LeaderClient& leader_;
  ConfigHolder& config_;
  uint64_t incarnation_;
  SessionOptions options_;
  TimePoint next_heartbeat_;
  // Replies to heartbeats sent before are for an earlier process of this host.
  // They bring the changes since that process's configuration only, and would
  // make a later configuration of keys look complete.
  TimePoint first_sent_ = TimePoint::max();
  // When the latest heartbeat that a leader has answered was sent. The time of
  // the reply would not do: old replies may arrive after a pause.
  TimePoint answered_;
  TimePoint lease_until_;
  bool in_view_ = false;
  bool leaving_ = false;
};

}  // namespace sequoialb
