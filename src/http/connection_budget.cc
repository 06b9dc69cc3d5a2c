#include "http/connection_budget.h"

#include <algorithm>

namespace sequoialb {
namespace {

// Connections hold this part of the machine's memory. A request is copied to
// its backend server or to the store hosts while its body is still held, and a
// host needs up to 80 MB for itself.
constexpr size_t kMemoryDivisor = 4;
// Memory of the smallest hosts in scope with 256 MB, for an unknown limit.
constexpr uint64_t kUnknownMemoryMb = 256;
// Two of the largest bodies, those of operators, always fit.
constexpr size_t kMinBytes = 16U << 20U;
// Descriptors that connections leave to links between hosts, connections to
// backend servers, files and listeners: half, because a front with 112 backend
// servers keeps up to 16 idle connections to each.
constexpr uint64_t kReserveDivisor = 2;
// A request that has not advanced for this long is closed before those that
// have, when memory is short. Lost packets delay a client by less.
constexpr milliseconds kNoProgress{1'000};
constexpr size_t kSizeUnit = 4'096;

}  // namespace

BudgetLimits LimitsForProcess(uint64_t memory_mb, uint64_t descriptors) {
  const uint64_t memory = memory_mb == 0 ? kUnknownMemoryMb : memory_mb;
  return {std::max<size_t>((memory << 20U) / kMemoryDivisor, kMinBytes),
          descriptors - descriptors / kReserveDivisor};
}

size_t ConnectionBudget::SizeClass(size_t bytes) {
  size_t size_class = 0;
  for (size_t units = bytes / kSizeUnit; units > 0; units /= 2) {
    ++size_class;
  }
  return std::min(size_class, kSizeClasses - 1);
}

void ConnectionBudget::Link(Id id, Entry& entry) {
  Closable& closable = ClosableOf(entry);
  if (entry.phase == ConnectionPhase::kIdle) {
    entry.in_progress = closable.idle.insert(closable.idle.end(), id);
  } else if (IsIncomplete(entry)) {
    entry.in_progress =
        closable.unfinished.insert(closable.unfinished.end(), id);
  }
  if (entry.phase == ConnectionPhase::kUnfinished) {
    std::list<Id>& sizes = closable.by_size[entry.size_class];
    entry.in_sizes = sizes.insert(sizes.end(), id);
  }
}

void ConnectionBudget::Unlink(Entry& entry) {
  Closable& closable = ClosableOf(entry);
  if (entry.phase == ConnectionPhase::kIdle) {
    closable.idle.erase(entry.in_progress);
  } else if (IsIncomplete(entry)) {
    closable.unfinished.erase(entry.in_progress);
  }
  if (entry.phase == ConnectionPhase::kUnfinished) {
    closable.by_size[entry.size_class].erase(entry.in_sizes);
  }
}

ConnectionBudget::Id ConnectionBudget::Add(ClientKind kind, TimePoint now) {
  const Id id = next_id_++;
  Entry& entry = entries_[id];
  entry.kind = kind;
  entry.progress_at = now;
  Link(id, entry);
  return id;
}

void ConnectionBudget::Remove(Id id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    Unlink(found->second);
    bytes_ -= found->second.bytes;
    entries_.erase(found);
  }
}

void ConnectionBudget::SetPhase(Id id, ConnectionPhase phase, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  Unlink(entry);
  entry.phase = phase;
  entry.progress_at = now;
  Link(id, entry);
}

void ConnectionBudget::SetBytes(Id id, size_t bytes) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  bytes_ += bytes - entry.bytes;
  entry.bytes = bytes;
  const size_t size_class = SizeClass(bytes);
  if (size_class != entry.size_class &&
      entry.phase == ConnectionPhase::kUnfinished) {
    Closable& closable = ClosableOf(entry);
    std::list<Id>& target = closable.by_size[size_class];
    target.splice(target.end(), closable.by_size[entry.size_class],
                  entry.in_sizes);
  }
  entry.size_class = size_class;
}

void ConnectionBudget::RecordProgress(Id id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.progress_at = now;
  if (IsIncomplete(entry)) {
    std::list<Id>& unfinished = ClosableOf(entry).unfinished;
    unfinished.splice(unfinished.end(), unfinished, entry.in_progress);
  }
}

std::optional<ConnectionBudget::Id> ConnectionBudget::NextForMemory(
    TimePoint now) const {
  if (limits_.bytes == 0 || bytes_ <= limits_.bytes) {
    return std::nullopt;
  }
  for (const Closable& closable : closable_) {
    if (closable.unfinished.empty()) {
      continue;
    }
    const Id stalled = closable.unfinished.front();
    if (entries_.at(stalled).progress_at + kNoProgress <= now) {
      return stalled;
    }
    const auto largest =
        std::find_if(closable.by_size.rbegin(), closable.by_size.rend(),
                     [](const std::list<Id>& ids) { return !ids.empty(); });
    if (largest != closable.by_size.rend()) {
      return largest->front();
    }
  }
  return std::nullopt;
}

std::optional<ConnectionBudget::Id> ConnectionBudget::NextForConnection()
    const {
  for (const Closable& closable : closable_) {
    if (closable.idle.empty() && closable.unfinished.empty()) {
      continue;
    }
    if (closable.idle.empty()) {
      return closable.unfinished.front();
    }
    if (closable.unfinished.empty()) {
      return closable.idle.front();
    }
    const Id idle = closable.idle.front();
    const Id unfinished = closable.unfinished.front();
    return entries_.at(idle).progress_at < entries_.at(unfinished).progress_at
               ? idle
               : unfinished;
  }
  return std::nullopt;
}

}  // namespace sequoialb
