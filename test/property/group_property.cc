// Property tests of consensus groups that manage their own membership, under
// random message loss, killed hosts, lost disks and full disks: no acknowledged
// command is ever lost, and no two nodes apply different commands at the same
// position.
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../fakes/memory_files.h"
#include "group/consensus_group.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

using fakes::DiskSpace;
using fakes::MemoryFiles;

// Ends a simulated process.
struct DiskFailure {};

// A process is silent for this long after a failed write, before it ends.
constexpr milliseconds kSilentFor{2'000};

// Stores every applied command in order.
class ListState : public GroupState {
 public:
  Status Apply(const std::string& command) override {
    commands.push_back(command);
    return {};
  }
  // Each part is one command.
  StateParts Save() const override {
    return [frozen = commands,
            next = size_t{0}]() mutable -> std::optional<std::string> {
      return next == frozen.size() ? std::nullopt
                                   : std::make_optional(frozen[next++]);
    };
  }
  void Clear() override { commands.clear(); }
  Status LoadPart(const std::string& part) override {
    commands.push_back(part);
    return {};
  }

  std::vector<std::string> commands;
};

struct Member {
  std::string host;
  std::string domain;
  std::unique_ptr<MemoryFiles> files = std::make_unique<MemoryFiles>();
  std::unique_ptr<ListState> state;
  Metrics metrics;
  std::unique_ptr<ConsensusGroup> group;
  // Set from a failed write until the process starts again.
  std::optional<TimePoint> restart_at;
};

// Simulates a fleet in virtual time on a single thread.
class Fleet {
 public:
  // The disk of the host `full_disk`, if any, refuses data from the founding
  // until SetSpace.
  explicit Fleet(size_t hosts, size_t max_voters = 3,
                 std::optional<size_t> full_disk = std::nullopt)
      : max_voters_(max_voters) {
    founding_seeds_ = {"seeds"};
    for (size_t i = 0; i < hosts; ++i) {
      auto member = std::make_unique<Member>();
      member->host = "h" + std::to_string(i);
      member->domain = "d" + std::to_string(i % 3);
      members_.push_back(std::move(member));
      Start(i);
    }
    std::vector<GroupCandidate> all;
    for (const auto& member : members_) {
      all.push_back({member->group->node(), member->domain, now_});
    }
    initial_members_ = PickInitialMembers(all, max_voters_);
    founding_seeds_.clear();
    if (full_disk) {
      SetSpace(*full_disk, DiskSpace::kNoData);
    }
    Found();
  }

  void Start(size_t i) { RC_ASSERT(TryStart(i)); }

  // Returns false when the disk cannot be opened.
  bool TryStart(size_t i) {
    Member& member = *members_[i];
    member.state = std::make_unique<ListState>();
    GroupOptions options;
    options.name = "test";
    options.host = member.host;
    options.folder = "data";
    options.founding_seeds = founding_seeds_;
    options.snapshot_log_bytes = 400;
    options.log_memory_bytes = 300;
    options.background_snapshots = false;
    options.max_voters = max_voters_;
    options.standbys = 1;
    options.end_process = [] { throw DiskFailure(); };
    options.make_node_name = [this](const std::string& host) {
      return host + "@" + std::to_string(++disks_);
    };
    auto opened = ConsensusGroup::Open(
        options, *member.files, *member.state, member.metrics,
        [this](const std::string& to, const proto::RaftMessage& message) {
          network_.emplace_back(to, message);
        },
        now_);
    if (!opened) {
      return false;
    }
    member.group = std::move(*opened);
    return true;
  }

  // Starts an empty host at another address, in the domain of host `i`, which
  // it succeeds. Returns its index.
  size_t AddSuccessor(size_t i) {
    auto member = std::make_unique<Member>();
    member->host = "h" + std::to_string(members_.size());
    member->domain = members_[i]->domain;
    members_.push_back(std::move(member));
    Start(members_.size() - 1);
    return members_.size() - 1;
  }

  void SetSpace(size_t i, DiskSpace space) {
    members_[i]->files->SetSpace(space);
  }
  // Leaders plan their membership this often; in every step by default.
  void SetMaintainInterval(milliseconds interval) {
    maintain_interval_ = interval;
  }
  // Time that a process takes to start after it has ended.
  void SetRestartDelay(milliseconds delay) { restart_delay_ = delay; }

  // Starts to decommission a host. Returns false when too few hosts would
  // remain or another one is being decommissioned.
  bool Retire(size_t i) {
    if (size() < 4 || !retiring_.empty()) {
      return false;
    }
    retiring_.insert(members_[i]->host);
    return true;
  }
  // Returns whether a confirmed leader no longer lists the host as a voter.
  bool Retired(size_t i) const {
    for (const auto& member : members_) {
      if (member->group == nullptr || !member->group->IsConfirmedLeader(now_)) {
        continue;
      }
      const auto voters = member->group->status().membership().voters();
      return std::none_of(voters.begin(), voters.end(), [&](const auto& node) {
        return HostOfNode(node) == members_[i]->host;
      });
    }
    return false;
  }

  // Stops a host and loses its unsynced writes; with `wipe`, the whole disk.
  void Kill(size_t i, bool wipe) {
    Member& member = *members_[i];
    member.group.reset();
    member.files->Crash(0);
    if (wipe) {
      member.files = std::make_unique<MemoryFiles>();
    }
  }

  bool up(size_t i) const { return members_[i]->group != nullptr; }
  size_t size() const { return members_.size(); }

  void Step(int loss_percent) {
    now_ += milliseconds(20);
    std::deque<std::pair<std::string, proto::RaftMessage>> batch;
    batch.swap(network_);
    RestartEnded();
    Found();
    for (const auto& [to, message] : batch) {
      Member* member = Find(to);
      if (member != nullptr && member->group != nullptr && !Founding(*member) &&
          Random() % 100 >= static_cast<uint32_t>(loss_percent)) {
        EndOnDiskFailure(*member, [&, &message = message] {
          member->group->Receive(message, now_);
        });
      }
    }
    for (const auto& member : members_) {
      if (member->group == nullptr) {
        continue;
      }
      candidates_[member->host] = {member->group->node(), member->domain, now_};
    }
    for (const auto& member : members_) {
      if (member->group != nullptr) {
        EndOnDiskFailure(*member, [&] {
          member->group->Tick(now_);
          if (now_ >= maintain_at_) {
            member->group->MaintainMembership(candidates_, retiring_, now_);
          }
          member->group->Flush(now_);
        });
      }
    }
    maintain_at_ =
        now_ >= maintain_at_ ? now_ + maintain_interval_ : maintain_at_;
    CheckAgreement();
  }

  void Propose(const std::string& command) {
    for (const auto& member : members_) {
      if (member->group != nullptr && member->group->IsConfirmedLeader(now_)) {
        member->group->Propose(command, now_, [this, command](Status outcome) {
          if (outcome) {
            acknowledged_.insert(command);
          }
        });
        return;
      }
    }
  }

  // Checks that all members apply the same commands in the same order.
  void CheckAgreement() {
    for (const auto& member : members_) {
      if (member->group == nullptr) {
        continue;
      }
      const auto& commands = member->state->commands;
      const size_t common = std::min(commands.size(), longest_log_.size());
      RC_ASSERT(std::equal(commands.begin(),
                           commands.begin() + static_cast<ptrdiff_t>(common),
                           longest_log_.begin()));
      if (commands.size() > longest_log_.size()) {
        longest_log_ = commands;
      }
    }
  }

  void CheckAcknowledged() const {
    const std::set<std::string> applied(longest_log_.begin(),
                                        longest_log_.end());
    for (const std::string& command : acknowledged_) {
      RC_ASSERT(applied.count(command) == 1U);
    }
  }

  // Checks that a confirmed leader has applied every acknowledged command.
  void CheckLeader() const {
    for (const auto& member : members_) {
      if (member->group == nullptr || !member->group->IsConfirmedLeader(now_)) {
        continue;
      }
      const std::set<std::string> applied(member->state->commands.begin(),
                                          member->state->commands.end());
      for (const std::string& command : acknowledged_) {
        RC_ASSERT(applied.count(command) == 1U);
      }
    }
  }

  bool HasLeader() const {
    return std::any_of(members_.begin(), members_.end(), [&](const auto& m) {
      return m->group != nullptr && m->group->IsConfirmedLeader(now_);
    });
  }
  // Checks that every host runs and has applied every command.
  void CheckAllCaughtUp() const {
    for (const auto& member : members_) {
      RC_ASSERT(member->group != nullptr);
      if (IsMember(*member)) {
        RC_ASSERT(member->state->commands == longest_log_);
      }
    }
  }
  size_t leader() const {
    const auto found =
        std::find_if(members_.begin(), members_.end(), [&](const auto& m) {
          return m->group != nullptr && m->group->IsConfirmedLeader(now_);
        });
    return static_cast<size_t>(found - members_.begin());
  }
  size_t acknowledged() const { return acknowledged_.size(); }
  size_t Voters() const {
    for (const auto& member : members_) {
      if (member->group != nullptr && member->group->IsConfirmedLeader(now_)) {
        return static_cast<size_t>(
            member->group->status().membership().voters_size());
      }
    }
    return 0;
  }

 private:
  void EndOnDiskFailure(Member& member, const std::function<void()>& run) {
    try {
      run();
    } catch (const DiskFailure&) {
      member.group.reset();
      member.restart_at = now_ + kSilentFor + restart_delay_;
    }
  }

  // Returns whether the host is an initial member that has yet to found the
  // group, which takes no messages before.
  bool Founding(const Member& member) const {
    return !member.group->PendingFoundingSeeds().empty() &&
           std::count(initial_members_.begin(), initial_members_.end(),
                      member.group->node()) > 0;
  }

  void Found() {
    for (const auto& member : members_) {
      if (member->group != nullptr && Founding(*member)) {
        EndOnDiskFailure(
            *member, [&] { member->group->Bootstrap(initial_members_, now_); });
      }
    }
  }

  void RestartEnded() {
    for (size_t i = 0; i < members_.size(); ++i) {
      Member& member = *members_[i];
      if (!member.restart_at || now_ < *member.restart_at) {
        continue;
      }
      // An error at the start ends the process at once.
      member.restart_at = now_ + restart_delay_;
      EndOnDiskFailure(member, [&] {
        if (TryStart(i)) {
          member.restart_at.reset();
        }
      });
    }
  }

  // Returns whether the confirmed leader lists the host's node as a member.
  bool IsMember(const Member& member) const {
    const auto leading = members_[leader()]->group->status();
    const auto lists = [&](const auto& nodes) {
      return std::count(nodes.begin(), nodes.end(), member.group->node()) > 0;
    };
    return lists(leading.membership().voters()) ||
           lists(leading.membership().learners());
  }

  Member* Find(const std::string& host) {
    for (const auto& member : members_) {
      if (member->host == host) {
        return member.get();
      }
    }
    return nullptr;
  }
  uint32_t Random() {
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<uint32_t>(random_ >> 33U);
  }

  TimePoint now_ = TimePoint(seconds(1'000));
  uint64_t random_ = 7;
  int disks_ = 0;
  size_t max_voters_;
  std::vector<std::string> initial_members_;
  // Stored on the disks of hosts that start for the first time.
  std::vector<std::string> founding_seeds_;
  milliseconds restart_delay_{500};
  milliseconds maintain_interval_{0};
  TimePoint maintain_at_;
  std::vector<std::unique_ptr<Member>> members_;
  std::deque<std::pair<std::string, proto::RaftMessage>> network_;
  std::map<std::string, GroupCandidate> candidates_;
  std::set<std::string> retiring_;
  // The longest sequence of commands that any member has applied.
  std::vector<std::string> longest_log_;
  std::set<std::string> acknowledged_;
};

constexpr int kSettleSteps = 250;

// One host at a time is killed or loses its disk, and the next only after the
// group has had time to recover: no acknowledged command is ever lost.
void FailInTurn(Fleet& fleet) {
  const int loss = *rc::gen::element(0, 5, 20);
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
  }
  const int rounds = *rc::gen::inRange(1, 5);
  int command = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto victim = *rc::gen::inRange<size_t>(0, fleet.size());
    const bool wipe = *rc::gen::arbitrary<bool>();
    const int steps_before_kill = *rc::gen::inRange(0, 30);
    for (int i = 0; i < steps_before_kill; ++i) {
      fleet.Propose("c" + std::to_string(command++));
      fleet.Step(loss);
    }
    fleet.Kill(victim, wipe);
    const int steps_down = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps_down; ++i) {
      fleet.Propose("c" + std::to_string(command++));
      fleet.Step(loss);
      fleet.CheckLeader();
    }
    fleet.Start(victim);
    for (int i = 0; i < kSettleSteps; ++i) {
      fleet.Step(0);
      fleet.CheckLeader();
    }
    RC_ASSERT(fleet.HasLeader());
    RC_ASSERT(fleet.Voters() == 3U);
  }
  fleet.CheckAcknowledged();
}

void SurvivesSequentialFailures() {
  Fleet fleet(*rc::gen::element<size_t>(3, 4, 5));
  FailInTurn(fleet);
}

// The disk of one host is full while the group is founded. The host founds the
// group once its disk has room, and can lead it where no other host can,
// because it alone has stored the last commands with a leader that is lost.
void LeadsAfterAFoundingOnAFullDisk() {
  const auto victim = *rc::gen::inRange<size_t>(0, 3);
  Fleet fleet(3, 3, victim);
  const int loss = *rc::gen::element(0, 5, 20);
  const int steps_full = *rc::gen::element(0, 20, 300);
  for (int i = 0; i < steps_full; ++i) {
    fleet.Step(loss);
  }
  fleet.SetSpace(victim, DiskSpace::kFree);
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
  }
  RC_ASSERT(fleet.HasLeader());
  const size_t first = fleet.leader();
  const size_t next = first == victim ? (victim + 1) % 3 : victim;
  const size_t behind = 3 - first - next;
  fleet.Kill(behind, false);
  for (int i = 0; i < 30; ++i) {
    fleet.Propose("c" + std::to_string(i));
    fleet.Step(loss);
  }
  fleet.Kill(first, false);
  fleet.Start(behind);
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
    fleet.CheckLeader();
  }
  RC_ASSERT(fleet.HasLeader());
  fleet.Start(first);
  FailInTurn(fleet);
}

// While a host is being decommissioned, any host is killed or loses its disk.
void SurvivesAFailureDuringDecommission() {
  Fleet fleet(*rc::gen::element<size_t>(4, 5));
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
  }
  const auto retired = *rc::gen::inRange<size_t>(0, fleet.size());
  const auto killed = *rc::gen::inRange<size_t>(0, fleet.size());
  const bool wipe = *rc::gen::arbitrary<bool>();
  const int steps_before_kill = *rc::gen::inRange(0, 16);
  const int steps_down = *rc::gen::inRange(1, 80);
  int command = 0;
  RC_ASSERT(fleet.Retire(retired));
  for (int i = 0; i < steps_before_kill; ++i) {
    fleet.Propose("c" + std::to_string(command++));
    fleet.Step(0);
  }
  fleet.Kill(killed, wipe);
  for (int i = 0; i < steps_down; ++i) {
    fleet.Propose("c" + std::to_string(command++));
    fleet.Step(0);
    fleet.CheckLeader();
  }
  fleet.Start(killed);
  for (int i = 0; i < 2 * kSettleSteps; ++i) {
    fleet.Step(0);
    fleet.CheckLeader();
  }
  RC_ASSERT(fleet.HasLeader());
  RC_ASSERT(fleet.Retired(retired));
  fleet.CheckAcknowledged();
}

// Hosts are lost for good in series, leaders and followers, and succeeded by
// empty ones at other addresses, at once or late. The next one is lost as soon
// as the successor has had its time to catch up.
void SurvivesReplacementsInSeries() {
  // The shortest time that a deployment gives, in steps of 20 ms.
  constexpr int kCatchUpSteps = 4'600 / 20;
  const auto max_voters = *rc::gen::element<size_t>(3, 5);
  Fleet fleet(*rc::gen::inRange<size_t>(max_voters, max_voters + 3),
              max_voters);
  // As the services of the hosts do.
  fleet.SetMaintainInterval(milliseconds(200));
  const int loss = *rc::gen::element(0, 0, 1);
  std::vector<size_t> present;
  for (size_t i = 0; i < fleet.size(); ++i) {
    present.push_back(i);
  }
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
  }
  int command = 0;
  const auto run = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      if (i % 5 == 0) {
        fleet.Propose("c" + std::to_string(command++));
      }
      fleet.Step(loss);
      if (i % 25 == 0) {
        fleet.CheckLeader();
      }
    }
  };
  const int rounds = *rc::gen::inRange(2, 6);
  for (int round = 0; round < rounds; ++round) {
    run(*rc::gen::inRange(0, 30));
    const bool leader_lost = *rc::gen::arbitrary<bool>();
    const auto drawn = *rc::gen::inRange<size_t>(0, present.size());
    const size_t victim =
        leader_lost && fleet.HasLeader() ? fleet.leader() : present[drawn];
    // The disk stays away, so that nothing tells the group that it is gone.
    fleet.Kill(victim, false);
    run(*rc::gen::element(0, 1, 50, 100, 600));
    present.erase(std::find(present.begin(), present.end(), victim));
    present.push_back(fleet.AddSuccessor(victim));
    run(kCatchUpSteps);
  }
  run(kSettleSteps);
  RC_ASSERT(fleet.HasLeader());
  RC_ASSERT(fleet.Voters() == max_voters);
  fleet.CheckAcknowledged();
  const size_t before = fleet.acknowledged();
  run(kSettleSteps);
  RC_ASSERT(fleet.acknowledged() > before);
}

// All hosts lose power at the same time and restart with their disks.
void SurvivesPowerLoss() {
  Fleet fleet(3);
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
  }
  // A commit takes two steps.
  const int steps_before_kill = *rc::gen::inRange(5, 40);
  for (int i = 0; i < steps_before_kill; ++i) {
    fleet.Propose("c" + std::to_string(i));
    fleet.Step(0);
  }
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.Kill(i, false);
  }
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.Start(i);
  }
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
    fleet.CheckLeader();
  }
  RC_ASSERT(fleet.HasLeader());
  RC_ASSERT(fleet.acknowledged() > 0U);
  fleet.CheckAcknowledged();
}

// The disks of the hosts are full for a while, one after another and often the
// leader's. Once the last has room again, commands commit, every host catches
// up, and the group tolerates the loss of any host.
void SurvivesFullDisksInTurn() {
  const auto max_voters = *rc::gen::element<size_t>(3, 5);
  const auto hosts = *rc::gen::inRange<size_t>(max_voters, max_voters + 3);
  Fleet fleet(hosts, max_voters);
  fleet.SetRestartDelay(milliseconds(*rc::gen::element(40, 500, 7'000)));
  const int loss = *rc::gen::element(0, 5, 20);
  for (int i = 0; i < kSettleSteps; ++i) {
    fleet.Step(0);
  }
  int command = 0;
  const auto run = [&](int steps, int loss_percent) {
    for (int i = 0; i < steps; ++i) {
      // Pauses let a host whose disk is full go on without a write.
      if (i % 100 < 70 && i % 4 == 0) {
        fleet.Propose("c" + std::to_string(command++));
      }
      fleet.Step(loss_percent);
      if (i % 25 == 0) {
        fleet.CheckLeader();
      }
    }
  };
  const int rounds = *rc::gen::inRange(2, 8);
  for (int round = 0; round < rounds; ++round) {
    const bool leader_fills = *rc::gen::arbitrary<bool>();
    const auto drawn = *rc::gen::inRange<size_t>(0, hosts);
    const size_t victim =
        leader_fills && fleet.HasLeader() ? fleet.leader() : drawn;
    fleet.SetSpace(victim,
                   *rc::gen::element(DiskSpace::kNoData, DiskSpace::kNothing));
    run(*rc::gen::inRange(20, 350), loss);
    fleet.SetSpace(victim, DiskSpace::kFree);
    run(*rc::gen::element(0, 1, 20, 200), loss);
  }
  run(4 * kSettleSteps, 0);
  RC_ASSERT(fleet.HasLeader());
  const size_t before = fleet.acknowledged();
  run(kSettleSteps, 0);
  RC_ASSERT(fleet.acknowledged() > before + 30U);
  for (int i = 0; i < 20; ++i) {
    fleet.Step(0);
  }
  RC_ASSERT(fleet.HasLeader());
  RC_ASSERT(fleet.Voters() == max_voters);
  fleet.CheckAllCaughtUp();
  fleet.CheckAcknowledged();
  const auto lost = *rc::gen::inRange<size_t>(0, hosts);
  fleet.Kill(lost, false);
  const size_t with_all = fleet.acknowledged();
  run(kSettleSteps, 0);
  RC_ASSERT(fleet.HasLeader());
  RC_ASSERT(fleet.acknowledged() > with_all);
}

}  // namespace
}  // namespace sequoialb

int main() {
  using namespace sequoialb;  // NOLINT(google-build-using-namespace)
  SetLogLevel("error");
  // Each case simulates a whole fleet over minutes of virtual time.
  bool passed =
      rc::check("survives sequential failures", SurvivesSequentialFailures);
  passed &= rc::check("leads after a founding on a full disk",
                      LeadsAfterAFoundingOnAFullDisk);
  passed &= rc::check("survives a failure during decommissioning",
                      SurvivesAFailureDuringDecommission);
  passed &= rc::check("survives replacements in series",
                      SurvivesReplacementsInSeries);
  passed &= rc::check("survives power loss", SurvivesPowerLoss);
  passed &= rc::check("survives full disks in turn", SurvivesFullDisksInTurn);
  return passed ? 0 : 1;
}
