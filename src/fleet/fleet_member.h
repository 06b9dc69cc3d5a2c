// A host's side of membership: greets every control host a few times a second,
// and from the answers learns the other hosts, the catalog in force, the
// backend servers, its part of the rates, and how long its authority runs.
//
// Authority is the right to act on the catalog: it runs from the instant at
// which a greeting was sent that the leader, with its quorum confirmed, has
// answered with no newer catalog than the one held. A host that is cut off or
// was suspended loses it by itself, so a withdrawn key ends there too.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/backend_registry.h"
#include "fleet/host_links.h"

namespace sequoialb {

struct MemberOptions {
  proto::HostInfo self;
  // Peer addresses of some control hosts.
  std::vector<Address> seeds;
  // How long authority lasts from a confirmed greeting.
  milliseconds authority_lease{0};
  bool wants_backends = false;
};

class FleetMember {
 public:
  struct Callbacks {
    // A newer catalog as its author wrote it; false when it cannot be read,
    // which keeps the older one and its authority.
    std::function<bool(uint64_t version, const std::string& content)>
        on_catalog;
    std::function<void(TimePoint until)> on_authority_lease;
    std::function<void()> on_backends;
    // Adds what changes from greeting to greeting.
    std::function<void(proto::HostHello&)> fill_hello;
  };

  FleetMember(MemberOptions options, HostLinks& links, Callbacks callbacks);

  void SetSeeds(const std::vector<Address>& seeds);
  void Tick(TimePoint now);
  void OnReply(const std::string& from, const proto::HelloReply& reply,
               TimePoint now);
  // Says goodbye at the next greeting.
  void Leave() { options_.self.set_leaving(true); }

  const BackendDirectory& backends() const { return backends_; }
  const std::map<std::string, proto::HostInfo>& hosts() const { return hosts_; }
  const proto::HelloReply& last_confirmed_reply() const {
    return last_confirmed_reply_;
  }
  // True while some control host answers.
  bool InContact(TimePoint now) const;
  std::string leader_host() const { return leader_host_; }
  const proto::HostInfo& self() const { return options_.self; }

 private:
  struct ControlHostState {
    uint64_t directory_hash = 0;
    uint64_t registry_incarnation = 0;
    uint64_t registry_cursor = 0;
  };

  std::set<std::string> HeartbeatTargets() const;
  void UpdateHosts(const proto::HelloReply& reply);
  void ExtendAuthorityLease(const proto::HelloReply& reply);

  MemberOptions options_;
  HostLinks& links_;
  Callbacks callbacks_;
  std::map<std::string, ControlHostState> control_hosts_;
  std::map<std::string, proto::HostInfo> hosts_;
  BackendDirectory backends_;
  proto::HelloReply last_confirmed_reply_;
  bool has_catalog_ = false;
  uint64_t catalog_version_ = 0;
  TimePoint authority_until_;
  TimePoint next_heartbeat_;
  TimePoint last_reply_;
  std::string leader_host_;
  bool in_contact_ = false;
};

}  // namespace sequoialb
