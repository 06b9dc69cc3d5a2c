// Plans the membership of a consensus group, so that it adapts to host and disk
// failures without an operator naming members.
//
// It handles a host that returns with an empty disk (a new node, which joins as
// a learner first), a host replaced by one at another address, hosts added at
// run time, hosts to be decommissioned, and voters that become unresponsive.
// Each change adds or removes at most one voter. Planning is a pure function.
//
// No message reports the lost disk of a host that is replaced at another
// address, so its vote moves only because it does not reply. That is safe: the
// learner that takes the vote holds the log, and a voter that returns becomes a
// learner.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// A host with a disk, as of its last contact.
struct GroupCandidate {
  // "HOST@DISK".
  std::string node;
  std::string failure_domain;
  // Decides whether a host that is no member may join. Members are judged by
  // PlannerInput::last_replies.
  TimePoint last_contact;
};

struct PlannerInput {
  proto::Membership membership;
  // Keyed by host. Each host has only its newest disk; earlier ones are lost.
  std::map<std::string, GroupCandidate> candidates;
  // Learners that answer the leader and whose log is close enough to its own
  // for them to be promoted.
  std::set<std::string> caught_up;
  // When each member last replied to the leader, by node. Members that have not
  // replied in this leadership may be absent.
  std::map<std::string, TimePoint> last_replies;
  // Hosts to be decommissioned.
  std::set<std::string> retiring;
  std::string leader;
  // Maximum number of voters; odd.
  size_t max_voters = 3;
  // Number of learners kept beyond the voters. When not set, every candidate
  // becomes a member. Further members only cost memory, disk space and traffic
  // between failure domains.
  std::optional<size_t> standbys;
  // When the leader was elected. A member counts as unresponsive only after it
  // has not replied for long enough since then, because a new leader may not
  // have received its first reply yet.
  TimePoint leads_since;
  TimePoint now;
};

// Returns the next membership to propose, or nullopt when no change is needed.
std::optional<proto::Membership> PlanMembership(const PlannerInput& input);

// Picks the initial members of a new group, spread over failure domains: an odd
// number of candidates, at most `max_count`, which is expected to be odd.
std::vector<std::string> PickInitialMembers(
    const std::vector<GroupCandidate>& candidates, size_t max_count);

}  // namespace sequoialb
