// GroupFormation decides when the replicas bootstrap their Raft group, and with
// which initial members. This file also names nodes.
//
// A node is a host together with one disk. When a replica first starts on an
// empty folder, it generates a name such as "host-a1@9f2c51d07be4a380" and
// stores it. A host whose disk was lost therefore returns as another node,
// which has no vote until an operator lets it replace the lost one.
//
// The group is bootstrapped once, when all replicas in the settings report that
// their disks are new; the initial members are exactly those nodes. A replica
// that has bootstrapped reports this and its initial members, and the others
// adopt the list if they are on it. A host that loses its disk later cannot
// bootstrap a second group, because the remaining replicas reply that they have
// one.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proto/peer.pb.h"

namespace sequoialb {

// Returns the host of a node name.
std::string HostOfNode(const std::string& node);

// Returns a new node name for a host.
std::string NewNodeName(const std::string& host);

class GroupFormation {
 public:
  GroupFormation(std::string node, std::vector<std::string> replica_hosts);

  // Handles a GroupHello from another replica. Returns the initial members once
  // they are certain.
  std::optional<std::vector<std::string>> OnHello(
      const std::string& host, const proto::GroupHello& hello);

  // Returns this node as the only initial member if the settings name a single
  // replica, otherwise nothing.
  std::optional<std::vector<std::string>> SingleNodeMembers() const;

 private:
  std::string node_;
  std::vector<std::string> replica_hosts_;
  // The nodes that reported a new disk, and this node, by host.
  std::map<std::string, std::string> new_nodes_;
};

}  // namespace sequoialb
