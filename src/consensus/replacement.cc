#include "consensus/replacement.h"

#include "consensus/group_formation.h"
#include "consensus/raft_types.h"

namespace sequoialb {
Result<std::optional<proto::Membership>> Replacements::Plan(
    const std::string& lost_host, const std::string& replacement_host,
    const proto::Membership& membership, const NewNodes& new_nodes,
    const std::function<bool(const std::string&)>& is_active) const {
  const std::string& new_host =
      replacement_host.empty() ? lost_host : replacement_host;
  const auto new_node = new_nodes.find(new_host);
  const auto started = started_.find({lost_host, new_host});
  // A node with a new disk on the host means that the disk was lost again.
  if (new_node == new_nodes.end() && started != started_.end() &&
      Contains(membership.voters(), started->second) &&
      is_active(started->second)) {
    return std::optional<proto::Membership>();
  }
  std::string lost;
  for (const std::string& voter : membership.voters()) {
    if (HostOfNode(voter) == lost_host) {
      lost = voter;
    }
  }
  if (lost.empty()) {
    return Fail(ErrorCode::kNotFound, "no voter runs on host " + lost_host);
  }
  if (started != started_.end() &&
      Contains(membership.learners(), started->second)) {
    return std::optional<proto::Membership>();
  }
  if (new_node == new_nodes.end()) {
    return Fail(
        ErrorCode::kNotFound,
        "no replica with a new disk has contacted the leader from host " +
            new_host + "; start it with an empty data folder");
  }
  if (Contains(membership.learners(), new_node->second) ||
      Contains(membership.voters(), new_node->second)) {
    return std::optional<proto::Membership>();
  }
  proto::Membership next = membership;
  next.add_learners(new_node->second);
  if (!Contains(next.retiring(), lost)) {
    next.add_retiring(lost);
  }
  return std::make_optional(std::move(next));
}

void Replacements::MarkStarted(const std::string& lost_host,
                               const std::string& replacement_host,
                               const std::string& new_node) {
  started_[{lost_host, replacement_host.empty() ? lost_host
                                                : replacement_host}] = new_node;
}

}  // namespace sequoialb
