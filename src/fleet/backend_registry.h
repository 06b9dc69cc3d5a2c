// The backend servers that have announced themselves to one control host, and
// the merged records of all control hosts on a host that uses the servers.
//
// Announcements can arrive late, twice, out of order, or after their sender has
// failed and another server has taken its address. They are ordered by start
// time and sequence number: for each server the newest announcement counts, for
// each address the server that started last. All of this is soft state; nothing
// is stored on disk.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

// The control host's side: records announcements and reports changes. A server
// may send each of its calls to another control host, so each must know what
// the others have received: a deregistration names no start, and ends the one
// that its receiver knows. A control host sends each change to the others
// at once, and asks them with its heartbeats for the changes that it lacks.
class BackendRegistry {
 public:
  explicit BackendRegistry(uint64_t incarnation) : incarnation_(incarnation) {}

  // Records an announcement. Returns true when it changes more than the time of
  // the last contact with the server.
  bool Announce(const proto::BackendRecord& record, TimePoint now);

  // Takes over a record of another control host, which may have received what
  // this one has missed. Returns true when that changes more than the time of
  // the last contact with the server.
  bool Merge(const proto::BackendRecord& record, TimePoint now);

  // Marks a server as deregistered. When only other control hosts have received
  // its announcements, `unix_ms` becomes the record's start time, which orders
  // the deregistration after them.
  const proto::BackendRecord& Deregister(const std::string& id, int64_t unix_ms,
                                         TimePoint now);

  // Adds to `reply` the records that changed since `cursor`, or all records
  // when `incarnation` is not this registry's; sets the new cursor and
  // incarnation.
  void FillChanges(uint64_t incarnation, uint64_t cursor,
                   proto::HelloReply& reply, TimePoint now) const;

  // Removes servers that have been out of contact for long.
  void Expire(TimePoint now);

  // Returns whether a server that has not deregistered is in the failure
  // domain.
  bool HasFailureDomain(const std::string& failure_domain) const;

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    proto::BackendRecord record;
    TimePoint last_contact;
    uint64_t change = 0;
  };

  uint64_t incarnation_;
  uint64_t change_ = 0;
  std::map<std::string, Entry> entries_;
};

// A backend server as known to a host that uses it.
struct KnownBackend {
  proto::BackendRecord record;
  TimePoint last_contact;
};

// The side of a host that uses backend servers: merges the records of all
// control hosts.
class BackendDirectory {
 public:
  // Merges a record received from a control host. Returns true when the server
  // is new, has restarted, changed its properties such as the address, started
  // to drain, or deregistered.
  bool Merge(const proto::BackendRecord& record, TimePoint now);

  // Returns the servers that accept new work, ordered by id. While no control
  // host can be reached, `drop_unresponsive` is false and servers without
  // recent announcements are included.
  std::vector<const KnownBackend*> Usable(TimePoint now,
                                          bool drop_unresponsive) const;
  const KnownBackend* Find(const std::string& id) const;

 private:
  std::map<std::string, KnownBackend> known_;
};

}  // namespace sequoialb
