// Replacements plans the membership change that an operator requests when a
// voter's disk is lost: a node with a new disk replaces the voter.
//
// The reply to the operator may be late or lost, and the request is then
// repeated when the replacement is in progress or done. The repetition must
// succeed. By then the lost node is no longer a voter and the new node is no
// longer listed as new, so only the record of started replacements
// distinguishes a repetition from a request that names the wrong host. This is
// a pure state machine, used by the group's leader.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "proto/peer.pb.h"

namespace sequoialb {

class Replacements {
 public:
  // Nodes that reported a new disk and have joined no group, by host.
  using NewNodes = std::map<std::string, std::string>;

  // Returns the membership to propose, or nothing if this replacement is in
  // progress or done. An empty `replacement_host` means the lost host itself,
  // with a new disk. `is_active` returns whether a voter replied recently.
  Result<std::optional<proto::Membership>> Plan(
      const std::string& lost_host, const std::string& replacement_host,
      const proto::Membership& membership, const NewNodes& new_nodes,
      const std::function<bool(const std::string&)>& is_active) const;

  // Records that the membership for this replacement has been proposed.
  void MarkStarted(const std::string& lost_host,
                   const std::string& replacement_host,
                   const std::string& new_node);

  // Drops the recorded replacements; called when the leadership changes.
  void Clear() { started_.clear(); }

 private:
  // The new node, by lost host and new host.
  std::map<std::pair<std::string, std::string>, std::string> started_;
};

}  // namespace sequoialb
