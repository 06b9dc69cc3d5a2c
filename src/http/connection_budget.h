// Accounts for the memory and descriptors that the connections of a process's
// listeners hold, and decides which connection to close when either is short.
// Pure: no I/O, clock or thread.
//
// Answers the load of clients that send many bodies and stop short of the end,
// that connect without sending a request, or that do not read their responses.
// When memory is short, requests that are not complete are closed: first the
// one that has made no progress for the longest time, then the one that holds
// the most. Complete responses that stay unread are closed in the order of the
// first of these. When connections are short, the idle or incomplete one
// without progress for the longest time is closed. Connections of callers are
// closed before connections of operators. A request that has been accepted, so
// that it may have run, is never closed.
//
// The cost of an update does not depend on the number of connections: sizes are
// kept in classes that differ by a factor of two.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "base/time.h"

namespace sequoialb {

// Whose connections a listener takes. Connections of operators are closed only
// when no connection of a caller can be.
enum class ClientKind : uint8_t { kCaller, kOperator };
inline constexpr size_t kClientKinds = 2;

enum class ConnectionPhase : uint8_t {
  // Between requests.
  kIdle,
  // A request has begun to arrive and is not complete.
  kUnfinished,
  // A complete request has been accepted and its response is not complete.
  kAccepted,
  // The response is complete and the client has not read all of it.
  kUnread,
};

struct BudgetLimits {
  // Bytes held by all connections; 0 means no limit.
  size_t bytes = 0;
  // Number of connections; 0 means no limit.
  size_t connections = 0;
};

// Derives the limits from the memory of the machine in MB and the descriptors
// of the process. Zero for `memory_mb` means unknown.
BudgetLimits LimitsForProcess(uint64_t memory_mb, uint64_t descriptors);

class ConnectionBudget {
 public:
  // A connection, by the number that Add returned.
  using Id = uint64_t;

  explicit ConnectionBudget(BudgetLimits limits) : limits_(limits) {}

  Id Add(ClientKind kind, TimePoint now);
  void Remove(Id id);
  // Begins another phase, which counts as progress.
  void SetPhase(Id id, ConnectionPhase phase, TimePoint now);
  // Sets the bytes that a connection holds: its unread input, its request, and
  // its unsent output, as allocated.
  void SetBytes(Id id, size_t bytes);
  // Call when a request that is not complete has advanced.
  void RecordProgress(Id id, TimePoint now);

  // Returns the connection to close because memory is short, or nullopt while
  // it is not, or when only accepted requests hold memory.
  std::optional<Id> NextForMemory(TimePoint now) const;
  // Whether another connection would exceed the limit.
  bool full() const {
    return limits_.connections > 0 && entries_.size() >= limits_.connections;
  }
  // Returns the connection to close in favor of a new one, or nullopt when all
  // carry accepted requests.
  std::optional<Id> NextForConnection() const;

  size_t bytes() const { return bytes_; }
  size_t connections() const { return entries_.size(); }
  const BudgetLimits& limits() const { return limits_; }

 private:
  // Class i holds up to 2^i units of kSizeUnit bytes.
  static constexpr size_t kSizeClasses = 32;

  struct Entry {
    ClientKind kind = ClientKind::kCaller;
    ConnectionPhase phase = ConnectionPhase::kIdle;
    size_t bytes = 0;
    size_t size_class = 0;
    TimePoint progress_at;
    // Valid unless `phase` is kAccepted.
    std::list<Id>::iterator in_progress;
    // Valid if `phase` is kUnfinished.
    std::list<Id>::iterator in_sizes;
  };
  // The connections of one kind of clients that may be closed.
  struct Closable {
    // Idle connections, and those with an incomplete request or an unread
    // response, each with the longest time without progress first.
    std::list<Id> idle;
    std::list<Id> unfinished;
    // Those with an incomplete request.
    std::array<std::list<Id>, kSizeClasses> by_size;
  };

  static size_t SizeClass(size_t bytes);
  Closable& ClosableOf(const Entry& entry) {
    return closable_[static_cast<size_t>(entry.kind)];
  }
  static bool IsIncomplete(const Entry& entry) {
    return entry.phase == ConnectionPhase::kUnfinished ||
           entry.phase == ConnectionPhase::kUnread;
  }
  void Link(Id id, Entry& entry);
  void Unlink(Entry& entry);

  BudgetLimits limits_;
  Id next_id_ = 1;
  size_t bytes_ = 0;
  std::unordered_map<Id, Entry> entries_;
  std::array<Closable, kClientKinds> closable_;
};

}  // namespace sequoialb
