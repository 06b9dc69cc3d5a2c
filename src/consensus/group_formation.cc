#include "consensus/group_formation.h"

#include <algorithm>

#include "base/hash.h"

namespace sequoialb {
namespace {

constexpr size_t kDiskNameBytes = 8;

}  // namespace

std::string HostOfNode(const std::string& node) {
  return node.substr(0, node.find('@'));
}

std::string NewNodeName(const std::string& host) {
  return host + "@" + RandomHex(kDiskNameBytes);
}

GroupFormation::GroupFormation(std::string node,
                               std::vector<std::string> replica_hosts)
    : node_(std::move(node)), replica_hosts_(std::move(replica_hosts)) {
  new_nodes_[HostOfNode(node_)] = node_;
}

std::optional<std::vector<std::string>> GroupFormation::SingleNodeMembers()
    const {
  if (replica_hosts_.size() == 1) {
    return std::vector<std::string>{node_};
  }
  return std::nullopt;
}

std::optional<std::vector<std::string>> GroupFormation::OnHello(
    const std::string& host, const proto::GroupHello& hello) {
  if (hello.initialised()) {
    new_nodes_.erase(host);
    const auto& initial_members = hello.founders();
    if (std::find(initial_members.begin(), initial_members.end(), node_) !=
        initial_members.end()) {
      return std::vector<std::string>(initial_members.begin(),
                                      initial_members.end());
    }
    return std::nullopt;
  }
  new_nodes_[host] = hello.node();
  std::vector<std::string> initial_members;
  for (const std::string& replica : replica_hosts_) {
    const auto found = new_nodes_.find(replica);
    if (found == new_nodes_.end()) {
      return std::nullopt;
    }
    initial_members.push_back(found->second);
  }
  std::sort(initial_members.begin(), initial_members.end());
  return initial_members;
}

}  // namespace sequoialb
