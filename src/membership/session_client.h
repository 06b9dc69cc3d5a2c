// A host's side of its session lease and of its configuration's freshness.
//
// One heartbeat does both: the leader's confirmed answer renews the session
// lease and proves that no withdrawal of a key had been missed when the
// heartbeat was sent. Both are counted from the sending, on this host's clock,
// so an answer that was long under way, or a process that was frozen, extends
// nothing.
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
  // Keyed requests are served this long after a confirmed heartbeat was sent.
  static constexpr milliseconds kFreshness{3'000};

  SessionClient(PeerSender& sender, LeaderClient& leader, ConfigHolder& config,
                uint64_t incarnation);

  void OnReply(const std::string& from, const proto::HeartbeatReply& reply,
               TimePoint now);
  // Sends a heartbeat when one is due. `missing` is what a replica's disk
  // lacks.
  void Tick(TimePoint now, const BlobsMissing& missing);
  // Says from the next heartbeat on that this host leaves, and sends it now.
  void Leave(TimePoint now);

  // The instant at which this host must stop acting on its session.
  TimePoint lease_until() const { return lease_until_; }
  // True when this very process is in the view.
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
