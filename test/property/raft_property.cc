// Randomized test of Raft with reordered, lost and repeated messages, crashes,
// slow disks, partitions and replaced members. It checks after every step:
//
// - each term has at most one leader;
// - all nodes commit the same entry at an index;
// - committed entries are never lost, not even by nodes that restart;
// - at most one node holds a valid lease, and its commit index is the highest.
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft.h"

namespace sequoialb {
namespace {

class Cluster {
 public:
  explicit Cluster(int size) {
    for (int i = 0; i < size; ++i) {
      const std::string name = "n" + std::to_string(i) + "@a";
      initial_members_.add_voters(name);
      names_.push_back(name);
    }
    for (const std::string& name : names_) {
      nodes_[name].persisted.snapshot.membership = initial_members_;
      Restart(name);
    }
  }

  void Step() {
    const int action = *rc::gen::inRange(0, 100);
    const std::string& name =
        names_[*rc::gen::inRange<size_t>(0, names_.size())];
    if (action < 45) {
      DeliverRandom(*rc::gen::inRange(0, 10) == 0);
    } else if (action < 62) {
      Advance(milliseconds(*rc::gen::inRange(5, 120)));
    } else if (action < 75) {
      CompleteDiskWrite(name);
    } else if (action < 86) {
      Propose(name);
    } else if (action < 89) {
      DropMessage();
    } else if (action < 92) {
      CrashOrRestart(name);
    } else if (action < 95) {
      Partition();
    } else if (action < 97) {
      blocked_links_.clear();
    } else if (action < 98) {
      Compact(name);
    } else {
      ChangeMembership(name);
    }
    CheckInvariants();
  }

  // Runs the network and disks without faults and fails unless a leader is
  // elected and commits entries.
  void EndFaultsAndCheckProgress() {
    blocked_links_.clear();
    for (const std::string& name : names_) {
      if (nodes_[name].raft == nullptr && nodes_[name].retired == false) {
        Restart(name);
      }
    }
    const uint64_t before = MaxCommit();
    for (int round = 0; round < 400; ++round) {
      Advance(milliseconds(20));
      for (const std::string& name : names_) {
        while (!nodes_[name].pending_writes.empty()) {
          CompleteDiskWrite(name);
        }
        Propose(name);
      }
      for (size_t count = network_.size(); count > 0 && !network_.empty();
           --count) {
        DeliverAt(0, false);
      }
      CheckInvariants();
      if (MaxCommit() > before + 3) {
        return;
      }
    }
    RC_FAIL("no progress after the faults ended");
  }

 private:
  struct Node {
    std::unique_ptr<Raft> raft;
    RaftPersistentState persisted;
    std::deque<RaftReady> pending_writes;
    bool retired = false;
  };

  void Restart(const std::string& name) {
    Node& node = nodes_[name];
    node.pending_writes.clear();
    node.raft = std::make_unique<Raft>(name, RaftOptions{}, node.persisted,
                                       now_, ++seed_);
  }

  void CrashOrRestart(const std::string& name) {
    Node& node = nodes_[name];
    if (node.raft == nullptr) {
      if (!node.retired) {
        Restart(name);
      }
      return;
    }
    node.raft.reset();
    node.pending_writes.clear();
  }

  void Advance(milliseconds by) {
    now_ += by;
    for (auto& [name, node] : nodes_) {
      if (node.raft != nullptr) {
        node.raft->Tick(now_);
        ProcessReady(name);
      }
    }
  }

  void Propose(const std::string& name) {
    Node& node = nodes_[name];
    if (node.raft == nullptr) {
      return;
    }
    const auto index =
        node.raft->Propose("command " + std::to_string(++command_count_), now_);
    (void)index;
    ProcessReady(name);
  }

  // Sends the messages of the node's RaftReady, checks its committed entries,
  // delivers snapshots, and queues its disk writes.
  void ProcessReady(const std::string& name) {
    Node& node = nodes_[name];
    RaftReady ready = node.raft->TakeReady();
    for (OutgoingRaftMessage& outgoing : ready.messages) {
      Send(name, outgoing);
    }
    for (const proto::LogEntry& entry : ready.committed) {
      CheckCommitted(entry);
    }
    for (const std::string& peer : ready.nodes_needing_snapshot) {
      // The driver implements the transfer. Here a snapshot arrives at once or
      // not at all.
      Node& target = nodes_[peer];
      const SnapshotMark mark = node.raft->MarkAt(node.raft->commit_index());
      if (target.raft != nullptr && !IsBlocked(name, peer)) {
        if (target.raft->InstallSnapshot(mark, now_)) {
          target.pending_writes.clear();
          target.persisted.snapshot = mark;
          target.persisted.entries.clear();
        }
        node.raft->SnapshotDelivered(peer, mark.index);
      }
    }
    node.pending_writes.push_back(std::move(ready));
  }

  void CompleteDiskWrite(const std::string& name) {
    Node& node = nodes_[name];
    if (node.raft == nullptr || node.pending_writes.empty()) {
      return;
    }
    const RaftReady step = std::move(node.pending_writes.front());
    node.pending_writes.pop_front();
    if (step.hard_state) {
      node.persisted.hard_state = *step.hard_state;
    }
    for (const proto::LogEntry& entry : step.entries) {
      while (!node.persisted.entries.empty() &&
             node.persisted.entries.back().index() >= entry.index()) {
        node.persisted.entries.pop_back();
      }
      if (entry.index() > node.persisted.snapshot.index) {
        node.persisted.entries.push_back(entry);
      }
    }
    for (const OutgoingRaftMessage& outgoing : step.after_persist) {
      Send(name, outgoing);
    }
    if (!step.entries.empty()) {
      node.raft->Persisted(step.entries.back().index(),
                           step.entries.back().term(), now_);
      ProcessReady(name);
    }
  }

  void Compact(const std::string& name) {
    Node& node = nodes_[name];
    if (node.raft == nullptr || !node.pending_writes.empty()) {
      return;
    }
    const uint64_t index = node.raft->commit_index();
    if (index <= node.persisted.snapshot.index) {
      return;
    }
    node.persisted.snapshot = node.raft->MarkAt(index);
    auto& entries = node.persisted.entries;
    while (!entries.empty() && entries.front().index() <= index) {
      entries.erase(entries.begin());
    }
    node.raft->CompactTo(index);
  }

  // Takes the next step of replacing a voter by a new node, as an operator's
  // command does: add a learner, promote it, remove the old voter.
  void ChangeMembership(const std::string& name) {
    Node& node = nodes_[name];
    if (node.raft == nullptr || node.raft->role() != RaftRole::kLeader) {
      return;
    }
    proto::Membership membership = node.raft->membership();
    if (membership.learners_size() > 0) {
      const std::string learner = membership.learners(0);
      if (node.raft->MatchIndex(learner) + 2 < node.raft->commit_index()) {
        return;
      }
      membership.clear_learners();
      membership.add_voters(learner);
    } else if (membership.voters_size() > initial_members_.voters_size()) {
      const std::string removed = membership.voters(0);
      if (removed == name) {
        return;
      }
      membership.mutable_voters()->DeleteSubrange(0, 1);
    } else {
      const std::string added = "n" + std::to_string(names_.size()) + "@b";
      if (names_.size() > 7) {
        return;
      }
      names_.push_back(added);
      Restart(added);
      membership.add_learners(added);
    }
    const auto index = node.raft->ProposeMembership(membership, now_);
    (void)index;
    ProcessReady(name);
  }

  bool IsBlocked(const std::string& from, const std::string& to) const {
    return blocked_links_.count({from, to}) > 0;
  }

  // Blocks random links, either in both directions or in single ones, so that a
  // node may receive messages from some nodes and reach other ones.
  void Partition() {
    blocked_links_.clear();
    const bool both_ways = *rc::gen::inRange(0, 2) == 0;
    for (const std::string& from : names_) {
      for (const std::string& to : names_) {
        if (*rc::gen::inRange(0, 3) == 0) {
          blocked_links_.insert({from, to});
          if (both_ways) {
            blocked_links_.insert({to, from});
          }
        }
      }
    }
  }

  void Send(const std::string& from, const OutgoingRaftMessage& outgoing) {
    if (!IsBlocked(from, outgoing.to)) {
      network_.push_back(outgoing);
    }
    // An unbounded backlog would only slow down the test.
    if (network_.size() > 300) {
      network_.pop_front();
    }
  }

  void DropMessage() {
    if (!network_.empty()) {
      network_.erase(network_.begin() +
                     *rc::gen::inRange<std::ptrdiff_t>(
                         0, static_cast<std::ptrdiff_t>(network_.size())));
    }
  }

  void DeliverRandom(bool twice) {
    if (!network_.empty()) {
      DeliverAt(*rc::gen::inRange<size_t>(0, network_.size()), twice);
    }
  }

  void DeliverAt(size_t position, bool twice) {
    const OutgoingRaftMessage outgoing = network_[position];
    if (!twice) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
    }
    Node& node = nodes_[outgoing.to];
    if (node.raft == nullptr ||
        IsBlocked(outgoing.message.from_node(), outgoing.to)) {
      return;
    }
    node.raft->Tick(now_);
    node.raft->Receive(outgoing.message, now_);
    ProcessReady(outgoing.to);
  }

  void CheckCommitted(const proto::LogEntry& entry) {
    const std::string value =
        std::to_string(entry.term()) + " " + entry.command();
    const auto [existing, added] =
        committed_by_index_.emplace(entry.index(), value);
    RC_ASSERT(existing->second == value);
  }

  uint64_t MaxCommit() const {
    uint64_t most = 0;
    for (const auto& [name, node] : nodes_) {
      most = node.raft == nullptr ? most
                                  : std::max(most, node.raft->commit_index());
    }
    return most;
  }

  void CheckInvariants() {
    std::set<uint64_t> leading_terms;
    int leases = 0;
    for (const auto& [name, node] : nodes_) {
      if (node.raft == nullptr) {
        continue;
      }
      if (node.raft->role() == RaftRole::kLeader) {
        RC_ASSERT(leading_terms.insert(node.raft->term()).second);
        const auto [existing, added] =
            leader_by_term_.emplace(node.raft->term(), name);
        RC_ASSERT(existing->second == name);
      }
      if (node.raft->LeaseValid(now_)) {
        ++leases;
        RC_ASSERT(node.raft->commit_index() >= MaxCommit());
      }
    }
    RC_ASSERT(leases <= 1);
  }

  proto::Membership initial_members_;
  std::vector<std::string> names_;
  std::map<std::string, Node> nodes_;
  std::deque<OutgoingRaftMessage> network_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::map<uint64_t, std::string> committed_by_index_;
  std::map<uint64_t, std::string> leader_by_term_;
  TimePoint now_ = TimePoint() + seconds(1'000);
  uint64_t seed_ = 1;
  int command_count_ = 0;
};

}  // namespace
}  // namespace sequoialb

int main() {
  const bool ok = rc::check(
      "Raft is safe under faults and makes progress after they end", [] {
        sequoialb::Cluster cluster(*rc::gen::element(3, 5));
        const int steps = *rc::gen::inRange(50, 600);
        for (int i = 0; i < steps; ++i) {
          cluster.Step();
        }
        cluster.EndFaultsAndCheckProgress();
      });
  return ok ? 0 : 1;
}
