#include "fleet/load_report_policy.h"

#include <map>

namespace sequoialb {
namespace {

// Returns the relay of each failure domain: its live front with the least name.
std::map<std::string, std::string> Relays(const LiveFronts& fronts) {
  std::map<std::string, std::string> relays;
  for (const proto::LiveFront& front : fronts) {
    std::string& relay = relays[front.failure_domain()];
    if (relay.empty() || front.host() < relay) {
      relay = front.host();
    }
  }
  return relays;
}

}  // namespace

std::vector<std::string> DomainPeers(const LiveFronts& fronts,
                                     const proto::LiveFront& self) {
  std::vector<std::string> peers;
  for (const proto::LiveFront& front : fronts) {
    if (front.failure_domain() == self.failure_domain() &&
        front.host() != self.host()) {
      peers.push_back(front.host());
    }
  }
  return peers;
}

bool IsRelay(const LiveFronts& fronts, const proto::LiveFront& self) {
  const auto relays = Relays(fronts);
  const auto found = relays.find(self.failure_domain());
  return found != relays.end() && found->second == self.host();
}

std::vector<std::string> RemoteRelays(const LiveFronts& fronts,
                                      const proto::LiveFront& self) {
  std::vector<std::string> relays;
  for (const auto& [domain, relay] : Relays(fronts)) {
    if (domain != self.failure_domain()) {
      relays.push_back(relay);
    }
  }
  return relays;
}

}  // namespace sequoialb
