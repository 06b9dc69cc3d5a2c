// Links between hosts that learn of each other while running, over the peer
// transport. Belongs to the control thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peer/peer_transport.h"
#include "proto/fleet.pb.h"
#include "settings/settings.h"

namespace sequoialb {

class HostLinks {
 public:
  using Handler = std::function<void(const std::string& from,
                                     const proto::FleetMessage& message)>;

  // Listens at `listen`, which others know as the address in `self`; fails with
  // kIo when that is taken.
  static Result<std::unique_ptr<HostLinks>> Open(const proto::HostInfo& self,
                                                 const Address& listen,
                                                 Metrics& metrics);

  // Makes a host reachable by its name, or by its address before that is known.
  void SetAddress(const std::string& host, const Address& address);

  void Send(const std::string& host, const proto::FleetMessage& message);
  void AddPollItems(std::vector<zmq::pollitem_t>& items) {
    transport_->AddPollItems(items);
  }
  bool HasMessagesToSelf() const { return transport_->HasLocal(); }
  void Drain(const Handler& handler);

 private:
  HostLinks() = default;

  Settings settings_;
  std::unique_ptr<PeerTransport> transport_;
};

}  // namespace sequoialb
