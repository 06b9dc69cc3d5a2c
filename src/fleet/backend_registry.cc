#include "fleet/backend_registry.h"

#include <algorithm>
#include <tuple>

namespace sequoialb {
namespace {

// Servers announce themselves every 1.2 s: five missed announcements, and one
// second by which an announcement may be late.
constexpr milliseconds kUnresponsiveAfter{7'000};
// Records are kept this long after the last contact, so that late announcements
// do not bring a deregistered server back.
constexpr milliseconds kExpireAfter{60'000};

std::tuple<int64_t, uint64_t> Order(const proto::BackendRecord& record) {
  return {record.started_unix_ms(), record.sequence()};
}

// Whether the next record of a server says the same as the last one. The
// remaining cold time only falls until a server becomes cold again.
bool SameButSequence(const proto::BackendRecord& a,
                     const proto::BackendRecord& b) {
  return a.address() == b.address() && a.service() == b.service() &&
         a.leaving() == b.leaving() && a.gone() == b.gone() &&
         a.slots() == b.slots() && a.started_unix_ms() == b.started_unix_ms() &&
         (a.cold_left_ms() > 0) == (b.cold_left_ms() > 0) &&
         b.cold_left_ms() <= a.cold_left_ms();
}

// Whether `next` replaces `current`, a record of the same server. A
// deregistration ends all that the server has announced since its start,
// whatever its sequence: the control host that received it may not have the
// server's last announcements. Only a record of a later start replaces it.
bool Supersedes(const proto::BackendRecord& next,
                const proto::BackendRecord& current) {
  const bool same_start = next.started_unix_ms() == current.started_unix_ms();
  if (same_start && (next.gone() || current.gone())) {
    return !current.gone();
  }
  return Order(next) > Order(current);
}

}  // namespace

bool BackendRegistry::Announce(const proto::BackendRecord& record,
                               TimePoint now) {
  const auto found = entries_.find(record.id());
  if (found == entries_.end()) {
    entries_[record.id()] = {record, now, ++change_};
    return true;
  }
  Entry& entry = found->second;
  if (!Supersedes(record, entry.record)) {
    return false;
  }
  const bool changed = !SameButSequence(entry.record, record);
  entry = {record, now, ++change_};
  return changed;
}

bool BackendRegistry::Merge(const proto::BackendRecord& record, TimePoint now) {
  const TimePoint last_contact = now - milliseconds(record.heard_ms_ago());
  if (now - last_contact > kExpireAfter) {
    return false;
  }
  const auto found = entries_.find(record.id());
  const bool known = found != entries_.end();
  if (known && !Supersedes(record, found->second.record)) {
    return false;
  }
  const bool changed = !known || !SameButSequence(found->second.record, record);
  Entry& entry = entries_[record.id()];
  entry.record = record;
  entry.record.clear_heard_ms_ago();
  entry.last_contact = std::max(entry.last_contact, last_contact);
  // An unchanged record is not sent on: each host gets it from the control host
  // that has received it.
  entry.change = changed ? ++change_ : entry.change;
  return changed;
}

const proto::BackendRecord& BackendRegistry::Deregister(const std::string& id,
                                                        int64_t unix_ms,
                                                        TimePoint now) {
  Entry& entry = entries_[id];
  if (entry.record.id().empty()) {
    entry.record.set_id(id);
    entry.record.set_started_unix_ms(unix_ms);
  }
  if (!entry.record.gone()) {
    entry.record.set_gone(true);
    entry.last_contact = now;
    entry.change = ++change_;
  }
  return entry.record;
}

void BackendRegistry::FillChanges(uint64_t incarnation, uint64_t cursor,
                                  proto::HelloReply& reply,
                                  TimePoint now) const {
  const uint64_t since = incarnation == incarnation_ ? cursor : 0;
  reply.set_registry_incarnation(incarnation_);
  reply.set_registry_cursor(change_);
  for (const auto& [id, entry] : entries_) {
    if (entry.change > since) {
      proto::BackendRecord& record = *reply.add_backends();
      record = entry.record;
      record.set_heard_ms_ago(
          static_cast<uint32_t>(RemainingMs(now, entry.last_contact)));
    }
  }
}

bool BackendRegistry::HasFailureDomain(
    const std::string& failure_domain) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
    const proto::BackendRecord& record = entry.second.record;
    return !record.gone() && record.failure_domain() == failure_domain;
  });
}

void BackendRegistry::Expire(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool old = now - it->second.last_contact > kExpireAfter;
    it = old ? entries_.erase(it) : std::next(it);
  }
}

bool BackendDirectory::Merge(const proto::BackendRecord& record,
                             TimePoint now) {
  const TimePoint last_contact = now - milliseconds(record.heard_ms_ago());
  const auto found = known_.find(record.id());
  if (found == known_.end()) {
    known_[record.id()] = {record, last_contact};
    return true;
  }
  KnownBackend& current = found->second;
  // Control hosts drop a record after this time as well; what they report
  // then is of a server whose clock has been set back.
  const bool forgotten = last_contact - current.last_contact > kExpireAfter;
  if (!forgotten && !Supersedes(record, current.record)) {
    return false;
  }
  const bool changed = !SameButSequence(current.record, record);
  current = {record, last_contact};
  return changed;
}

std::vector<const KnownBackend*> BackendDirectory::Usable(
    TimePoint now, bool drop_unresponsive) const {
  // An address belongs to the server that started there last, of those that
  // control hosts have not forgotten since.
  std::map<std::string, TimePoint> last_contact;
  for (const auto& [id, known] : known_) {
    TimePoint& contact = last_contact[known.record.address()];
    contact = std::max(contact, known.last_contact);
  }
  std::map<std::string, int64_t> newest;
  for (const auto& [id, known] : known_) {
    const std::string& address = known.record.address();
    if (last_contact[address] - known.last_contact <= kExpireAfter) {
      int64_t& started = newest[address];
      started = std::max(started, known.record.started_unix_ms());
    }
  }
  std::vector<const KnownBackend*> usable;
  for (const auto& [id, known] : known_) {
    const proto::BackendRecord& record = known.record;
    const bool unresponsive =
        drop_unresponsive && now - known.last_contact > kUnresponsiveAfter;
    if (!record.gone() && !record.leaving() && !unresponsive &&
        newest[record.address()] == record.started_unix_ms()) {
      usable.push_back(&known);
    }
  }
  return usable;
}

const KnownBackend* BackendDirectory::Find(const std::string& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second;
}

}  // namespace sequoialb
