#include "fleet/host_links.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {

Result<std::unique_ptr<HostLinks>> HostLinks::Open(const proto::HostInfo& self,
                                                   const Address& listen,
                                                   Metrics& metrics) {
  const auto address = ParseAddress(self.peer_address());
  if (!address) {
    return tl::unexpected<Error>(address.error());
  }
  std::unique_ptr<HostLinks> links(new HostLinks());
  links->settings_.host = self.host();
  links->settings_.open_membership = true;
  links->settings_.peer_listen = listen;
  links->SetAddress(self.host(), *address);
  auto transport =
      PeerTransport::Open(links->settings_, self.incarnation(), metrics);
  if (!transport) {
    return tl::unexpected<Error>(transport.error());
  }
  links->transport_ = std::move(*transport);
  return links;
}

void HostLinks::SetAddress(const std::string& host, const Address& address) {
  auto& hosts = settings_.hosts;
  const auto found =
      std::find_if(hosts.begin(), hosts.end(),
                   [&](const HostEntry& entry) { return entry.host == host; });
  if (found != hosts.end()) {
    found->peer = address;
    return;
  }
  HostEntry entry;
  entry.host = host;
  entry.peer = address;
  hosts.push_back(std::move(entry));
}

void HostLinks::Send(const std::string& host,
                     const proto::FleetMessage& message) {
  proto::Envelope envelope;
  envelope.set_fleet(message.SerializeAsString());
  transport_->Send(host, std::move(envelope));
}

void HostLinks::Drain(const Handler& handler) {
  transport_->Drain([&](const proto::Envelope& envelope) {
    proto::FleetMessage message;
    if (!message.ParseFromString(envelope.fleet())) {
      LogWarn("message_unreadable", {{"from", envelope.from()}});
      return;
    }
    handler(envelope.from(), message);
  });
}

}  // namespace sequoialb
