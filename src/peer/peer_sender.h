// How the slices send to other hosts; tests put a recording fake behind it.
#pragma once

#include <string>

#include "proto/peer.pb.h"

namespace sequoialb {

class PeerSender {
 public:
  virtual ~PeerSender() = default;
  // Sends a message to a host, this one included. Delivery is never promised.
  virtual void Send(const std::string& host, proto::Envelope envelope) = 0;
};

}  // namespace sequoialb
