#include "group/membership_planner.h"

#include <algorithm>

#include "consensus/group_formation.h"
#include "consensus/raft_types.h"

namespace sequoialb {
namespace {

// A member unheard for this long counts as away: beyond the few seconds in
// which hosts restart.
constexpr milliseconds kAwayAfter{6'000};
// A learner unheard for this long is dropped.
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
    if (DropReplacedLearner() || RemoveReplacedVoter() || AddLearner() ||
        Promote() || RemoveSurplus()) {
      return next_;
    }
    return std::nullopt;
  }

 private:
  const GroupCandidate* Current(const std::string& node) const {
    const auto found = in_.candidates.find(HostOfNode(node));
    return found != in_.candidates.end() && found->second.node == node
               ? &found->second
               : nullptr;
  }

  // Its host has another disk now, so this one can never answer again.
  bool Replaced(const std::string& node) const {
    const auto found = in_.candidates.find(HostOfNode(node));
    return found != in_.candidates.end() && found->second.node != node;
  }

  bool Away(const std::string& node) const {
    const GroupCandidate* current = Current(node);
    const TimePoint heard_at =
        current == nullptr ? in_.leads_since
                           : std::max(current->heard_at, in_.leads_since);
    return node != in_.leader && in_.now - heard_at > kAwayAfter;
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

  // Voters that are there and stay.
  size_t SoundVoters() const {
    return static_cast<size_t>(std::count_if(
        next_.voters().begin(), next_.voters().end(),
        [&](const std::string& voter) {
          return !Away(voter) && !Replaced(voter) && !Retiring(voter);
        }));
  }

  bool DropReplacedLearner() {
    for (const std::string& learner : in_.membership.learners()) {
      const GroupCandidate* current = Current(learner);
      const bool gone = current != nullptr &&
                        in_.now - current->heard_at > kLearnerDroppedAfter;
      if (Replaced(learner) || gone || Retiring(learner)) {
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

  // Members of a domain; with no domain named, of all, that are there and stay.
  size_t SoundMembers(const std::string* domain) const {
    size_t sound = 0;
    for (const auto& [host, candidate] : in_.candidates) {
      const bool counts = domain == nullptr
                              ? !Away(candidate.node)
                              : candidate.failure_domain == *domain;
      sound += counts && IsMember(candidate.node) && !Retiring(candidate.node)
                   ? 1
                   : 0;
    }
    return sound;
  }

  // The domain with fewest members gets the next one.
  bool AddLearner() {
    if (in_.stand_bys &&
        SoundMembers(nullptr) >= in_.most_voters + *in_.stand_bys) {
      return false;
    }
    const GroupCandidate* best = nullptr;
    size_t fewest = 0;
    for (const auto& [host, candidate] : in_.candidates) {
      const size_t members = SoundMembers(&candidate.failure_domain);
      if (!IsMember(candidate.node) && in_.retiring.count(host) == 0 &&
          in_.now - candidate.heard_at <= kAwayAfter &&
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
    if (SoundVoters() >= in_.most_voters) {
      return false;
    }
    std::string best;
    for (const std::string& learner : next_.learners()) {
      const bool able = in_.caught_up.count(learner) > 0 && !Away(learner) &&
                        !Retiring(learner);
      if (able && (best.empty() ||
                   VotersIn(DomainOf(learner)) < VotersIn(DomainOf(best)))) {
        best = learner;
      }
    }
    // An even number of voters bears no more losses than one fewer, so a
    // learner joins alone only to stand in for a voter.
    const bool stands_in =
        SoundVoters() < static_cast<size_t>(next_.voters_size());
    const bool completes =
        next_.voters_size() % 2 == 0 || next_.learners_size() >= 2;
    if (best.empty() || (!stands_in && !completes)) {
      return false;
    }
    Erase(*next_.mutable_learners(), best);
    next_.add_voters(best);
    return true;
  }

  bool RemoveSurplus() {
    const size_t sound = SoundVoters();
    for (const std::string& voter : in_.membership.voters()) {
      const bool wanted_away = Retiring(voter) || Away(voter);
      // A voter is kept until another stands in for it: with fewer voters one
      // more loss could leave none to agree with.
      const bool enough =
          Retiring(voter) ? sound >= in_.most_voters : sound >= 3;
      const bool even = next_.voters_size() % 2 == 0 || Retiring(voter);
      if (wanted_away && enough && even && voter != in_.leader) {
        Erase(*next_.mutable_voters(), voter);
        return true;
      }
    }
    return sound > in_.most_voters && Demote();
  }

  // A voter too many, as when one that was stood in for is back, learns again:
  // the one whose domain has most voters.
  bool Demote() {
    std::string most;
    for (const std::string& voter : in_.membership.voters()) {
      const bool better =
          most.empty() || VotersIn(DomainOf(voter)) > VotersIn(DomainOf(most));
      if (voter != in_.leader && better) {
        most = voter;
      }
    }
    if (most.empty()) {
      return false;
    }
    Erase(*next_.mutable_voters(), most);
    next_.add_learners(most);
    return true;
  }

  const PlannerInput& in_;
  proto::Membership next_;
};

}  // namespace

std::optional<proto::Membership> PlanMembership(const PlannerInput& input) {
  return Planner(input).Plan();
}

std::vector<std::string> PickFounders(
    const std::vector<GroupCandidate>& candidates, size_t most) {
  std::vector<GroupCandidate> left = candidates;
  std::sort(left.begin(), left.end(),
            [](const GroupCandidate& a, const GroupCandidate& b) {
              return a.node < b.node;
            });
  const size_t odd =
      left.size() % 2 == 0 && !left.empty() ? left.size() - 1 : left.size();
  const size_t wanted = std::min(most, odd);
  std::map<std::string, size_t> in_domain;
  std::vector<std::string> picked;
  while (picked.size() < wanted) {
    const auto best = std::min_element(
        left.begin(), left.end(),
        [&](const GroupCandidate& a, const GroupCandidate& b) {
          return in_domain[a.failure_domain] < in_domain[b.failure_domain];
        });
    ++in_domain[best->failure_domain];
    picked.push_back(best->node);
    left.erase(best);
  }
  return picked;
}

}  // namespace sequoialb
