// The replacement of a lost disk's vote, as an operator asks for it.
//
// The answer to an operator may be late or lost, and the call then comes again
// when the replacement has begun, or has ended. It must succeed again: by then
// the lost node is no voter and the new one no newcomer, so that nothing else
// tells a repetition from a call that names the wrong host. A pure state
// machine of the group's leader.
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
  // Who has been heard with a new disk and has joined no group, by host.
  using NewNodes = std::map<std::string, std::string>;

  // Returns the membership to propose, or nothing when this replacement is
  // under way or done. `is_active` says whether a voter has answered of late.
  Result<std::optional<proto::Membership>> Plan(
      const std::string& lost_host, const std::string& replacement_host,
      const proto::Membership& membership, const NewNodes& new_nodes,
      const std::function<bool(const std::string&)>& is_active) const;

  // The membership for this replacement has been proposed.
  void MarkStarted(const std::string& lost_host,
                   const std::string& replacement_host,
                   const std::string& new_node);

  // Another node leads.
  void Clear() { started_.clear(); }

 private:
  // The new node, by lost host and new host.
  std::map<std::pair<std::string, std::string>, std::string> started_;
};

}  // namespace sequoialb
