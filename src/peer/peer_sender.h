// Interface for sending messages to other hosts. Tests implement it with a fake
// that records the messages.
#pragma once

#include <string>

#include "proto/peer.pb.h"

namespace sequoialb {

class PeerSender {
 public:
  virtual ~PeerSender() = default;
  // Sends a message to a host, which may be this host. Delivery is not
  // guaranteed.
  virtual void Send(const std::string& host, proto::Envelope envelope) = 0;
};

}  // namespace sequoialb
