// Who votes in a group whose members come, go and lose their disks by
// themselves.
//
// Answers: a machine back with an empty disk (another node, a learner first), a
// machine replaced by one at another address, machines added while running, a
// machine that is to be emptied, a voter that stays away. No operator names
// anyone, and one voter changes at a time. A pure function.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// A host with a disk, as last heard.
struct GroupCandidate {
  // "HOST@DISK".
  std::string node;
  std::string failure_domain;
  TimePoint last_contact;
};

struct PlannerInput {
  proto::Membership membership;
  // By host. A host's newest disk is the only one that it has.
  std::map<std::string, GroupCandidate> candidates;
  // Learners that hold nearly the whole log.
  std::set<std::string> caught_up;
  // Hosts to be emptied.
  std::set<std::string> retiring;
  std::string leader;
  // Voters wanted at the most; an odd number.
  size_t max_voters = 3;
  // Learners wanted beyond the voters; every candidate when not set. More
  // members only cost memory, disk and bytes between failure domains.
  std::optional<size_t> standbys;
  // Since when the leader has led: whom it has not heard for less than this
  // time may just be about to speak.
  TimePoint leads_since;
  TimePoint now;
};

// Returns the next membership to propose, or nothing when all is well.
std::optional<proto::Membership> PlanMembership(const PlannerInput& input);

// Picks founders for a new group, spread over failure domains.
std::vector<std::string> PickInitialMembers(
    const std::vector<GroupCandidate>& candidates, size_t max_count);

}  // namespace sequoialb
