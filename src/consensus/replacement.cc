#include "consensus/replacement.h"

#include "consensus/group_formation.h"
#include "consensus/raft_types.h"

namespace sequoialb {
Result<std::optional<proto::Membership>> Replacements::Plan(
    const std::string& host, const std::string& with,
    const proto::Membership& membership, const Newcomers& newcomers,
    const std::function<bool(const std::string&)>& is_active) const {
  const std::string& new_host = with.empty() ? host : with;
  const auto fresh = newcomers.find(new_host);
  const auto begun = begun_.find({host, new_host});
  // A newcomer there means that the disk was lost once more.
  if (fresh == newcomers.end() && begun != begun_.end() &&
      Contains(membership.voters(), begun->second) &&
      is_active(begun->second)) {
    return std::optional<proto::Membership>();
  }
  std::string lost;
  for (const std::string& voter : membership.voters()) {
    if (HostOfNode(voter) == host) {
      lost = voter;
    }
  }
  if (lost.empty()) {
    return Fail(ErrorCode::kNotFound, "no voter runs on host " + host);
  }
  if (begun != begun_.end() && Contains(membership.learners(), begun->second)) {
    return std::optional<proto::Membership>();
  }
  if (fresh == newcomers.end()) {
    return Fail(ErrorCode::kNotFound,
                "no replica with a new disk has been heard from host " +
                    new_host + "; start it with an empty data folder");
  }
  if (Contains(membership.learners(), fresh->second) ||
      Contains(membership.voters(), fresh->second)) {
    return std::optional<proto::Membership>();
  }
  proto::Membership next = membership;
  next.add_learners(fresh->second);
  if (!Contains(next.retiring(), lost)) {
    next.add_retiring(lost);
  }
  return std::make_optional(std::move(next));
}

void Replacements::Begun(const std::string& host, const std::string& with,
                         const std::string& node) {
  begun_[{host, with.empty() ? host : with}] = node;
}

}  // namespace sequoialb
