// Replays the load that connection_budget.h names: many bodies that stop short
// of their end, and connections without requests, beside ordinary clients.
#include "http/connection_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace sequoialb {
namespace {

using Id = ConnectionBudget::Id;

constexpr size_t kMb = 1U << 20U;

TimePoint At(int ms) { return TimePoint() + milliseconds(ms); }

Id AddBody(ConnectionBudget& budget, size_t bytes, TimePoint now,
           ClientKind kind = ClientKind::kCaller) {
  const Id id = budget.Add(kind, now);
  budget.SetPhase(id, ConnectionPhase::kUnfinished, now);
  budget.SetBytes(id, bytes);
  return id;
}

// Bodies that have stopped are closed before larger ones that still arrive.
TEST(ConnectionBudgetTest, ClosesBodiesWithoutProgressFirst) {
  ConnectionBudget budget({16 * kMb, 0});
  const Id growing = AddBody(budget, 6 * kMb, At(0));
  const Id stopped = AddBody(budget, 4 * kMb, At(100));
  AddBody(budget, 4 * kMb, At(200));
  EXPECT_FALSE(budget.NextForMemory(At(5'000)).has_value());
  budget.RecordProgress(growing, At(2'000));
  budget.SetBytes(growing, 9 * kMb);
  EXPECT_EQ(budget.NextForMemory(At(2'000)), stopped);
  budget.Remove(stopped);
  EXPECT_FALSE(budget.NextForMemory(At(2'000)).has_value());
  EXPECT_EQ(budget.bytes(), 13 * kMb);
}

// While all bodies advance, the client that holds the most is closed, and small
// requests beside it are not.
TEST(ConnectionBudgetTest, ThenClosesTheOneThatHoldsMost) {
  ConnectionBudget budget({16 * kMb, 0});
  const Id small = AddBody(budget, 4'096, At(0));
  const Id large = AddBody(budget, 9 * kMb, At(10));
  AddBody(budget, 4 * kMb, At(20));
  AddBody(budget, 4 * kMb, At(30));
  EXPECT_EQ(budget.NextForMemory(At(40)), large);
  budget.Remove(large);
  EXPECT_FALSE(budget.NextForMemory(At(40)).has_value());
  EXPECT_EQ(budget.NextForConnection(), small);
}

// A request that was accepted may have run, so it is not closed whatever it
// holds.
TEST(ConnectionBudgetTest, NeverClosesAcceptedRequests) {
  ConnectionBudget budget({16 * kMb, 2});
  for (int i = 0; i < 2; ++i) {
    const Id id = AddBody(budget, 12 * kMb, At(0));
    budget.SetPhase(id, ConnectionPhase::kAccepted, At(0));
  }
  EXPECT_FALSE(budget.NextForMemory(At(9'000)).has_value());
  EXPECT_TRUE(budget.full());
  EXPECT_FALSE(budget.NextForConnection().has_value());
  // A newcomer is closed instead, while it is not complete.
  const Id newcomer = AddBody(budget, 16'384, At(9'000));
  EXPECT_EQ(budget.NextForMemory(At(9'000)), newcomer);
}

// A response that a client does not read is closed once it has not advanced for
// a second, and not before.
TEST(ConnectionBudgetTest, ClosesUnreadResponsesThatDoNotAdvance) {
  ConnectionBudget budget({16 * kMb, 0});
  const Id unread = AddBody(budget, 12 * kMb, At(0));
  budget.SetPhase(unread, ConnectionPhase::kUnread, At(0));
  const Id body = AddBody(budget, 5 * kMb, At(500));
  EXPECT_EQ(budget.NextForMemory(At(999)), body);
  EXPECT_EQ(budget.NextForMemory(At(1'000)), unread);
  budget.RecordProgress(unread, At(1'000));
  EXPECT_EQ(budget.NextForMemory(At(1'400)), body);
}

TEST(ConnectionBudgetTest, ClosesConnectionsOfCallersBeforeThoseOfOperators) {
  ConnectionBudget budget({16 * kMb, 2});
  const Id operators = AddBody(budget, 8 * kMb, At(0), ClientKind::kOperator);
  const Id callers = AddBody(budget, 9 * kMb, At(5'000));
  EXPECT_EQ(budget.NextForMemory(At(5'000)), callers);
  EXPECT_EQ(budget.NextForConnection(), callers);
  budget.Remove(callers);
  EXPECT_EQ(budget.NextForConnection(), operators);
}

TEST(ConnectionBudgetTest, ClosesTheOldestIdleOrUnfinishedConnection) {
  ConnectionBudget budget({0, 3});
  const Id idle = budget.Add(ClientKind::kCaller, At(0));
  const Id unfinished = AddBody(budget, 100, At(10));
  EXPECT_FALSE(budget.full());
  const Id fresh = budget.Add(ClientKind::kCaller, At(20));
  EXPECT_TRUE(budget.full());
  EXPECT_EQ(budget.NextForConnection(), idle);
  // The idle connection is used again.
  budget.SetPhase(idle, ConnectionPhase::kAccepted, At(30));
  budget.SetPhase(idle, ConnectionPhase::kIdle, At(40));
  EXPECT_EQ(budget.NextForConnection(), unfinished);
  budget.RecordProgress(unfinished, At(50));
  EXPECT_EQ(budget.NextForConnection(), fresh);
}

// 400 clients with bodies of nearly 4 MB, in turns, as in the hostile_clients
// test: the bytes held never exceed the budget by more than one read, and a
// body that is sent at once beside them is completed.
TEST(ConnectionBudgetTest, HoldsItsBoundUnderACrowd) {
  constexpr size_t kRead = 16'384;
  constexpr int kClients = 400;
  const BudgetLimits limits = LimitsForProcess(160, 4'100);
  ConnectionBudget budget(limits);
  std::vector<std::pair<Id, size_t>> open;
  for (int i = 0; i < kClients; ++i) {
    open.emplace_back(AddBody(budget, 0, At(0)), 0);
  }
  size_t closed = 0;
  for (int round = 0; round < 250; ++round) {
    const TimePoint now = At(round * 10);
    for (auto& [id, bytes] : open) {
      if (id == 0) {
        continue;
      }
      bytes += kRead;
      budget.RecordProgress(id, now);
      budget.SetBytes(id, bytes);
      EXPECT_LE(budget.bytes(), limits.bytes + kRead);
      while (const auto victim = budget.NextForMemory(now)) {
        budget.Remove(*victim);
        ++closed;
        for (auto& other : open) {
          other.first = other.first == *victim ? 0 : other.first;
        }
      }
    }
  }
  EXPECT_GT(closed, 0U);
  EXPECT_GT(budget.connections(), 0U);
  EXPECT_LE(budget.bytes(), limits.bytes);
  // The crowd stops; the next body takes the place of those that have stopped.
  const Id ordinary = AddBody(budget, 0, At(9'000));
  for (size_t bytes = kRead; bytes <= 4 * kMb; bytes += kRead) {
    budget.RecordProgress(ordinary, At(9'000));
    budget.SetBytes(ordinary, bytes);
    while (const auto victim = budget.NextForMemory(At(9'000))) {
      ASSERT_NE(*victim, ordinary);
      budget.Remove(*victim);
    }
  }
}

// The hosts in scope: the largest body of a caller and of an operator fit on
// the smallest of them, and descriptors stay for links and backend servers.
TEST(ConnectionBudgetTest, DerivesLimitsFromTheProcess) {
  EXPECT_EQ(LimitsForProcess(110, 4'100).bytes, 110 * kMb / 4);
  EXPECT_EQ(LimitsForProcess(420, 10'762).connections, 5'381U);
  EXPECT_EQ(LimitsForProcess(0, 4'096).bytes, 64 * kMb);
  EXPECT_EQ(LimitsForProcess(16, 4'096).bytes, 16 * kMb);
  EXPECT_EQ(LimitsForProcess(0, 0).connections, 0U);
}

}  // namespace
}  // namespace sequoialb
