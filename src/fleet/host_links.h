// Sends and receives the messages between hosts, over the peer transport. Hosts
// are added while the process runs, as they are discovered. Used only by the
// control thread.
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

  // Listens at `listen`, which other hosts reach at the peer address in `self`.
  // Fails with kIo when `listen` is already in use.
  static Result<std::unique_ptr<HostLinks>> Open(const proto::HostInfo& self,
                                                 const Address& listen,
                                                 Metrics& metrics);

  // Sets the address to which messages for `host` are sent. `host` is the name
  // of the host, or its address as text while the name is not known.
  void SetAddress(const std::string& host, const Address& address);

  void Send(const std::string& host, const proto::FleetMessage& message);
  void AddPollItems(std::vector<zmq::pollitem_t>& items) {
    transport_->AddPollItems(items);
  }
  // True when messages of this host to itself wait to be drained.
  bool HasMessagesToSelf() const { return transport_->HasLocal(); }
  // Passes all messages that have arrived to `handler`.
  void Drain(const Handler& handler);

 private:
  HostLinks() = default;

  Settings settings_;
  std::unique_ptr<PeerTransport> transport_;
};

}  // namespace sequoialb
