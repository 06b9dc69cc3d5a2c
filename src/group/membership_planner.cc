#include "group/membership_planner.h"

#include <algorithm>

#include "consensus/group_formation.h"
#include "consensus/raft_types.h"

namespace sequoialb {
namespace {

// A member that has not replied for this long counts as unresponsive, and a
// learner may take its vote.
//
// The budget: a deployment may lose the next disk once the successor of a lost
// host has had its time to catch up, 4,600 ms or more (CatchUpS of DEPLOY.md).
// The lost host may have led, and its successor may start at the same moment.
// Until the vote has moved, these follow each other:
//   election, with one split vote               2,000 ms
//   no reply, since the election                1,500 ms
//   promotion and removal, each planned every
//   200 ms and committed                          700 ms
// Beside the first two, the successor starts, is told of the group, joins it as
// a learner and receives its state.
constexpr milliseconds kUnresponsiveAfter{1'500};
// A host that is no member joins only if it has had contact within this time.
constexpr milliseconds kContactLost{6'000};
// A learner that has not replied for this long is removed.
constexpr milliseconds kLearnerDroppedAfter{60'000};

using Names = google::protobuf::RepeatedPtrField<std::string>;

void Erase(Names& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) {
    names.erase(found);
  }
}

class Planner {
 public:
  explicit Planner(const PlannerInput& input)
      : in_(input), next_(input.membership) {}

  std::optional<proto::Membership> Plan() {
    if (RemoveUnusableLearner() || RemoveReplacedVoter() || AddLearner() ||
        Promote() || RemoveOrDemoteVoter()) {
      return next_;
    }
    return std::nullopt;
  }

 private:
  // Returns the candidate of the node's host if the node is the host's current
  // disk, else nullptr.
  const GroupCandidate* CurrentCandidate(const std::string& node) const {
    const auto found = in_.candidates.find(HostOfNode(node));
    return found != in_.candidates.end() && found->second.node == node
               ? &found->second
               : nullptr;
  }

  // True when the node's host has another disk now, so that the node can never
  // return.
  bool Replaced(const std::string& node) const {
    const auto found = in_.candidates.find(HostOfNode(node));
    return found != in_.candidates.end() && found->second.node != node;
  }

  // For how long a member has not replied in this leadership.
  Duration TimeSinceReply(const std::string& node) const {
    const auto found = in_.last_replies.find(node);
    const TimePoint last_reply =
        found == in_.last_replies.end() ? TimePoint() : found->second;
    return in_.now - std::max(last_reply, in_.leads_since);
  }

  bool Unresponsive(const std::string& node) const {
    return node != in_.leader && TimeSinceReply(node) > kUnresponsiveAfter;
  }

  bool Retiring(const std::string& node) const {
    return in_.retiring.count(HostOfNode(node)) > 0;
  }

  std::string DomainOf(const std::string& node) const {
    const auto found = in_.candidates.find(HostOfNode(node));
    return found == in_.candidates.end() ? "" : found->second.failure_domain;
  }

  size_t VotersIn(const std::string& domain) const {
    return static_cast<size_t>(std::count_if(
        next_.voters().begin(), next_.voters().end(),
        [&](const std::string& voter) { return DomainOf(voter) == domain; }));
  }

  // Voters that reply, are on their host's current disk, and are not being
  // decommissioned.
  size_t CountHealthyVoters() const {
    return static_cast<size_t>(std::count_if(
        next_.voters().begin(), next_.voters().end(),
        [&](const std::string& voter) {
          return !Unresponsive(voter) && !Replaced(voter) && !Retiring(voter);
        }));
  }

  bool RemoveUnusableLearner() {
    for (const std::string& learner : in_.membership.learners()) {
      const bool lost = TimeSinceReply(learner) > kLearnerDroppedAfter;
      if (Replaced(learner) || lost || Retiring(learner)) {
        Erase(*next_.mutable_learners(), learner);
        return true;
      }
    }
    return false;
  }

  bool RemoveReplacedVoter() {
    for (const std::string& voter : in_.membership.voters()) {
      if (Replaced(voter) && next_.voters_size() > 1) {
        Erase(*next_.mutable_voters(), voter);
        return true;
      }
    }
    return false;
  }

  bool IsMember(const std::string& node) const {
    return Contains(next_.voters(), node) || Contains(next_.learners(), node);
  }

  // Counts the members on hosts that are not being decommissioned: those of a
  // failure domain, or, without a domain, the ones of all domains that reply.
  size_t CountMembers(const std::string* domain) const {
    size_t members = 0;
    for (const auto& [host, candidate] : in_.candidates) {
      const bool counts = domain == nullptr
                              ? !Unresponsive(candidate.node)
                              : candidate.failure_domain == *domain;
      members += counts && IsMember(candidate.node) && !Retiring(candidate.node)
                     ? 1
                     : 0;
    }
    return members;
  }

  // Adds a learner in the failure domain with the fewest members.
  bool AddLearner() {
    if (in_.standbys &&
        CountMembers(nullptr) >= in_.max_voters + *in_.standbys) {
      return false;
    }
    const GroupCandidate* best = nullptr;
    size_t fewest = 0;
    for (const auto& [host, candidate] : in_.candidates) {
      const size_t members = CountMembers(&candidate.failure_domain);
      if (!IsMember(candidate.node) && in_.retiring.count(host) == 0 &&
          in_.now - candidate.last_contact <= kContactLost &&
          (best == nullptr || members < fewest)) {
        best = &candidate;
        fewest = members;
      }
    }
    if (best == nullptr) {
      return false;
    }
    next_.add_learners(best->node);
    return true;
  }

  bool Promote() {
    const std::string* best = nullptr;
    for (const std::string& learner : next_.learners()) {
      const bool eligible =
          in_.caught_up.count(learner) > 0 && !Retiring(learner);
      if (eligible && (best == nullptr || VotersIn(DomainOf(learner)) <
                                              VotersIn(DomainOf(*best)))) {
        best = &learner;
      }
    }
    if (best == nullptr || !(NeedsVoter() || ImprovesSpread(*best))) {
      return false;
    }
    const std::string promoted = *best;
    Erase(*next_.mutable_learners(), promoted);
    next_.add_voters(promoted);
    return true;
  }

  bool NeedsVoter() const {
    const size_t healthy = CountHealthyVoters();
    // An even number of voters tolerates no more failures than one voter fewer,
    // so a learner is promoted to an even count only to replace a voter or when
    // another learner can follow.
    const bool replaces_voter =
        healthy < static_cast<size_t>(next_.voters_size());
    const bool can_reach_odd =
        next_.voters_size() % 2 == 0 || next_.learners_size() >= 2;
    return healthy < in_.max_voters && (replaces_voter || can_reach_odd);
  }

  // True when the learner's vote, in exchange for one of the failure domain
  // with the most voters, spreads the voters more evenly. The votes of a
  // domain that was unreachable have moved to the others, and one of those may
  // be lost next.
  bool ImprovesSpread(const std::string& learner) const {
    const bool settled =
        next_.voters_size() % 2 != 0 && CountHealthyVoters() == in_.max_voters;
    const size_t voters_beside = VotersIn(DomainOf(learner));
    return settled && std::any_of(next_.voters().begin(), next_.voters().end(),
                                  [&](const std::string& voter) {
                                    const std::string domain = DomainOf(voter);
                                    return !domain.empty() &&
                                           VotersIn(domain) > voters_beside + 1;
                                  });
  }

  bool RemoveOrDemoteVoter() {
    const size_t healthy = CountHealthyVoters();
    for (const std::string& voter : in_.membership.voters()) {
      const bool removable = Retiring(voter) || Unresponsive(voter);
      // A voter is removed only after a replacement has been promoted: with
      // fewer voters, one more failure could cost the quorum.
      const bool enough =
          Retiring(voter) ? healthy >= in_.max_voters : healthy >= 3;
      const bool parity_ok = next_.voters_size() % 2 == 0 || Retiring(voter);
      if (removable && enough && parity_ok && voter != in_.leader) {
        Erase(*next_.mutable_voters(), voter);
        return true;
      }
    }
    return healthy > in_.max_voters && DemoteSurplusVoter();
  }

  // Turns a surplus voter back into a learner, for example when a voter returns
  // after its replacement was promoted. Picks a voter of the failure domain
  // with the most voters.
  bool DemoteSurplusVoter() {
    std::string demoted;
    for (const std::string& voter : in_.membership.voters()) {
      const bool better = demoted.empty() || VotersIn(DomainOf(voter)) >
                                                 VotersIn(DomainOf(demoted));
      if (voter != in_.leader && better) {
        demoted = voter;
      }
    }
    if (demoted.empty()) {
      return false;
    }
    Erase(*next_.mutable_voters(), demoted);
    next_.add_learners(demoted);
    return true;
  }

  const PlannerInput& in_;
  proto::Membership next_;
};

}  // namespace

std::optional<proto::Membership> PlanMembership(const PlannerInput& input) {
  return Planner(input).Plan();
}

std::vector<std::string> PickInitialMembers(
    const std::vector<GroupCandidate>& candidates, size_t max_count) {
  std::vector<GroupCandidate> remaining = candidates;
  std::sort(remaining.begin(), remaining.end(),
            [](const GroupCandidate& a, const GroupCandidate& b) {
              return a.node < b.node;
            });
  const size_t odd_count = remaining.size() % 2 == 0 && !remaining.empty()
                               ? remaining.size() - 1
                               : remaining.size();
  const size_t wanted = std::min(max_count, odd_count);
  std::map<std::string, size_t> picked_per_domain;
  std::vector<std::string> picked;
  while (picked.size() < wanted) {
    const auto best =
        std::min_element(remaining.begin(), remaining.end(),
                         [&](const GroupCandidate& a, const GroupCandidate& b) {
                           return picked_per_domain[a.failure_domain] <
                                  picked_per_domain[b.failure_domain];
                         });
    ++picked_per_domain[best->failure_domain];
    picked.push_back(best->node);
    remaining.erase(best);
  }
  return picked;
}

}  // namespace sequoialb
