// How the replicas found their group, and who a disk is.
//
// A node is a host together with one disk: the first time a replica starts on
// an empty folder it draws a name such as "host-a1@9f2c51d07be4a380" and keeps
// it. A host whose disk was lost therefore comes back as another node, which
// has no vote until an operator lets it replace the lost one.
//
// The group is founded once, when all replicas of the settings say that their
// disks are new: the founders are exactly those nodes. A replica that has
// founded says so; the others adopt its founders if they are among them. A disk
// lost later cannot found a second group, because the remaining replicas answer
// that they have one.
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

  // Takes word of another replica. Returns the founders once they are certain.
  std::optional<std::vector<std::string>> OnHello(
      const std::string& host, const proto::GroupHello& hello);

  // Founds a group of this node alone, when the settings name no other replica.
  std::optional<std::vector<std::string>> SingleNodeMembers() const;

 private:
  std::string node_;
  std::vector<std::string> replica_hosts_;
  // The new nodes that hosts said they are.
  std::map<std::string, std::string> new_nodes_;
};

}  // namespace sequoialb
