// A sender of messages between hosts that keeps the last one.
#pragma once

#include <string>
#include <utility>

#include "peer/peer_sender.h"

namespace sequoialb::fakes {

class LastMessage : public PeerSender {
 public:
  void Send(const std::string& /*host*/, proto::Envelope envelope) override {
    last = std::move(envelope);
  }

  proto::Envelope last;
};

}  // namespace sequoialb::fakes
