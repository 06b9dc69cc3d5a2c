// Tests single rules of Raft that the randomized test rarely exercises.
#include "consensus/raft.h"

#include <gtest/gtest.h>

namespace sequoialb {
namespace {

class RaftTest : public ::testing::Test {
 protected:
  RaftPersistentState PersistentState(
      std::vector<std::pair<uint64_t, uint64_t>> entries, uint64_t term) {
    RaftPersistentState state;
    for (const char* name : {"a", "b", "c"}) {
      state.snapshot.membership.add_voters(name);
    }
    for (const auto& [index, entry_term] : entries) {
      proto::LogEntry& entry = state.entries.emplace_back();
      entry.set_index(index);
      entry.set_term(entry_term);
    }
    state.hard_state.term = term;
    return state;
  }

  static proto::RaftMessage MessageFrom(const std::string& node) {
    proto::RaftMessage message;
    message.set_from_node(node);
    message.set_to_node("a");
    return message;
  }

  static proto::RaftMessage VoteRequest(uint64_t term, uint64_t last_index,
                                        uint64_t last_term, bool pre_vote) {
    proto::RaftMessage message = MessageFrom("b");
    auto& request = *message.mutable_vote_request();
    request.set_term(term);
    request.set_last_index(last_index);
    request.set_last_term(last_term);
    request.set_pre_vote(pre_vote);
    return message;
  }

  static proto::RaftMessage Heartbeat(const std::string& from, uint64_t term) {
    proto::RaftMessage message = MessageFrom(from);
    message.mutable_append_request()->set_term(term);
    return message;
  }

  static bool Grants(const std::vector<OutgoingRaftMessage>& messages) {
    for (const OutgoingRaftMessage& outgoing : messages) {
      if (outgoing.message.vote_reply().granted()) {
        return true;
      }
    }
    return false;
  }

  // Makes "a" the leader of the term after the one in its persistent state.
  void Elect(Raft& raft) {
    now_ += seconds(2);
    raft.Tick(now_);
    raft.TakeReady();
    for (const bool pre_vote : {true, false}) {
      proto::RaftMessage message = MessageFrom("b");
      auto& reply = *message.mutable_vote_reply();
      reply.set_term(pre_vote ? raft.term() + 1 : raft.term());
      reply.set_granted(true);
      reply.set_pre_vote(pre_vote);
      raft.Receive(message, now_);
    }
    ASSERT_EQ(raft.role(), RaftRole::kLeader);
  }

  static proto::RaftMessage AppendReply(const std::string& from, uint64_t term,
                                        uint64_t match, uint64_t round) {
    proto::RaftMessage message = MessageFrom(from);
    auto& reply = *message.mutable_append_reply();
    reply.set_term(term);
    reply.set_success(true);
    reply.set_match_index(match);
    reply.set_round(round);
    return message;
  }

  TimePoint now_ = TimePoint() + seconds(1'000);
};

TEST_F(RaftTest, RejectsVotesWhileLeaderMayHoldLease) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  raft.Receive(Heartbeat("c", 1), now_);
  raft.TakeReady();
  for (const bool pre_vote : {true, false}) {
    raft.Receive(VoteRequest(2, 9, 1, pre_vote), now_ + milliseconds(400));
    const RaftReady ready = raft.TakeReady();
    EXPECT_FALSE(Grants(ready.messages) || Grants(ready.after_persist));
    EXPECT_EQ(raft.term(), 1U);
  }
  raft.Receive(VoteRequest(2, 9, 1, true), now_ + milliseconds(600));
  EXPECT_TRUE(Grants(raft.TakeReady().messages));
}

TEST_F(RaftTest, RestartedNodeRejectsVotesToo) {
  // It may have acknowledged a leader's heartbeat just before it crashed, and
  // that leader may still hold its lease.
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  raft.Receive(VoteRequest(2, 9, 1, false), now_ + milliseconds(100));
  const RaftReady ready = raft.TakeReady();
  EXPECT_FALSE(Grants(ready.messages) || Grants(ready.after_persist));
}

TEST_F(RaftTest, VoteIsSentOnlyAfterItIsDurable) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  now_ += seconds(2);
  raft.Receive(VoteRequest(2, 9, 1, false), now_);
  const RaftReady ready = raft.TakeReady();
  EXPECT_FALSE(Grants(ready.messages));
  EXPECT_TRUE(Grants(ready.after_persist));
  ASSERT_TRUE(ready.hard_state.has_value());
  EXPECT_EQ(ready.hard_state->voted_for, "b");
  // Another candidate of the same term gets no vote.
  proto::RaftMessage other = VoteRequest(2, 9, 1, false);
  other.set_from_node("c");
  raft.Receive(other, now_);
  const RaftReady second = raft.TakeReady();
  EXPECT_FALSE(Grants(second.messages) || Grants(second.after_persist));
}

TEST_F(RaftTest, AppendReplyIsSentOnlyAfterEntryIsDurable) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  proto::RaftMessage append = Heartbeat("b", 1);
  proto::LogEntry& entry = *append.mutable_append_request()->add_entries();
  entry.set_index(1);
  entry.set_term(1);
  raft.Receive(append, now_);
  const RaftReady ready = raft.TakeReady();
  EXPECT_TRUE(ready.messages.empty());
  ASSERT_EQ(ready.after_persist.size(), 1U);
  EXPECT_EQ(ready.after_persist[0].message.append_reply().match_index(), 1U);
  EXPECT_EQ(ready.entries.size(), 1U);
}

TEST_F(RaftTest, EntryOfEarlierTermIsNotCommittedByCountingReplicas) {
  Raft raft("a", RaftOptions{}, PersistentState({{1, 1}, {2, 2}}, 3), now_, 1);
  Elect(raft);
  raft.TakeReady();
  // A majority stores entry 2 of term 2 now, but a leader of another term could
  // still replace it.
  raft.Receive(AppendReply("b", raft.term(), 2, 1), now_);
  EXPECT_EQ(raft.commit_index(), 0U);
  // Committing the first entry of the leader's own term commits all earlier
  // ones.
  raft.Persisted(3, raft.term(), now_);
  raft.Receive(AppendReply("b", raft.term(), 3, 1), now_);
  EXPECT_EQ(raft.commit_index(), 3U);
}

TEST_F(RaftTest, LeaseEndsBeforeAnotherLeaderCanBeElected) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  Elect(raft);
  raft.TakeReady();
  EXPECT_FALSE(raft.LeaseValid(now_));
  raft.Persisted(1, raft.term(), now_);
  raft.Receive(AppendReply("b", raft.term(), 1, 1), now_);
  EXPECT_TRUE(raft.LeaseValid(now_));
  EXPECT_TRUE(raft.LeaseValid(now_ + milliseconds(399)));
  EXPECT_FALSE(raft.LeaseValid(now_ + milliseconds(400)));
  // A leader that receives no replies steps down.
  raft.Tick(now_ + seconds(1));
  EXPECT_EQ(raft.role(), RaftRole::kFollower);
}

// Guards against a leader that offers its leadership to a lost voter, and then
// neither commits anything nor makes room for another leader.
TEST_F(RaftTest, LeadershipIsNotTransferredToALostVoter) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  Elect(raft);
  raft.Persisted(1, raft.term(), now_);
  for (uint64_t round = 1; round < 10; ++round) {
    // Both have the whole log, and only c still answers.
    raft.Receive(AppendReply("c", raft.term(), 1, round), now_);
    if (round == 1) {
      raft.Receive(AppendReply("b", raft.term(), 1, round), now_);
    }
    now_ += milliseconds(100);
    raft.Tick(now_);
  }
  raft.TakeReady();
  EXPECT_FALSE(raft.TransferLeadership(now_, {"c"}));
  EXPECT_TRUE(raft.LeaseValid(now_));
  ASSERT_TRUE(raft.TransferLeadership(now_));
  std::vector<std::string> offered;
  for (const OutgoingRaftMessage& outgoing : raft.TakeReady().messages) {
    if (outgoing.message.has_timeout_now()) {
      offered.push_back(outgoing.to);
    }
  }
  EXPECT_EQ(offered, std::vector<std::string>{"c"});
}

// The voter that was offered the leadership is lost before it acts. However
// often the offer is repeated, the leader makes room for an election in a new
// term, and does not use its lease again before.
TEST_F(RaftTest, AFailedTransferEndsTheLeadership) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  Elect(raft);
  raft.Persisted(1, raft.term(), now_);
  const uint64_t term = raft.term();
  const TimePoint begin = now_;
  uint64_t round = 1;
  while (raft.role() == RaftRole::kLeader && now_ < begin + seconds(5)) {
    raft.Receive(AppendReply("b", term, 1, round), now_);
    raft.Receive(AppendReply("c", term, 1, round), now_);
    EXPECT_TRUE(raft.TransferLeadership(now_));
    EXPECT_FALSE(raft.LeaseValid(now_));
    now_ += milliseconds(100);
    raft.Tick(now_);
    ++round;
  }
  EXPECT_EQ(raft.role(), RaftRole::kFollower);
  EXPECT_LE(now_ - begin, RaftOptions{}.max_election_timeout);
  Elect(raft);
  EXPECT_EQ(raft.term(), term + 1);
}

TEST_F(RaftTest, DelayedAppendRequestRemovesNoEntries) {
  Raft raft("a", RaftOptions{}, PersistentState({{1, 1}, {2, 1}, {3, 1}}, 1),
            now_, 1);
  proto::RaftMessage delayed_request = Heartbeat("b", 1);
  proto::LogEntry& entry =
      *delayed_request.mutable_append_request()->add_entries();
  entry.set_index(1);
  entry.set_term(1);
  raft.Receive(delayed_request, now_);
  EXPECT_EQ(raft.last_index(), 3U);
}

TEST_F(RaftTest, OnlyOneVoterChangesAtATime) {
  Raft raft("a", RaftOptions{}, PersistentState({}, 1), now_, 1);
  Elect(raft);
  raft.TakeReady();
  proto::Membership two_changes;
  two_changes.add_voters("a");
  two_changes.add_voters("x");
  two_changes.add_voters("y");
  EXPECT_FALSE(raft.ProposeMembership(two_changes, now_).has_value());
  raft.Persisted(1, raft.term(), now_);
  raft.Receive(AppendReply("b", raft.term(), 1, 1), now_);
  EXPECT_FALSE(raft.ProposeMembership(two_changes, now_).has_value());
  proto::Membership one_change = raft.membership();
  one_change.add_voters("d");
  EXPECT_TRUE(raft.ProposeMembership(one_change, now_).has_value());
  // The previous change is not committed yet.
  EXPECT_FALSE(raft.ProposeMembership(one_change, now_).has_value());
}

}  // namespace
}  // namespace sequoialb
