// What backend servers have said of themselves to one control host, and the
// union of that on every host that uses them.
//
// Announcements arrive late, twice, out of order, and after their sender has
// died and another server has taken its address. Start instant and sequence
// order them: of one server the newest word counts, of one address the server
// that started last. State that was heard is soft; nothing here is durable.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

// The control host's side: takes announcements, hands out changes.
class BackendRegistry {
 public:
  explicit BackendRegistry(uint64_t incarnation) : incarnation_(incarnation) {}

  // Takes an announcement. Returns true when it changes more than the instant
  // at which the server was last heard.
  bool Announce(const proto::BackendRecord& record, TimePoint now);

  // Takes word that a server is gone, also of one heard only by other control
  // hosts: `unix_ms` then places the word after the start of that server.
  const proto::BackendRecord& Deregister(const std::string& id, int64_t unix_ms,
                                         TimePoint now);

  // Adds what changed since `cursor` of `incarnation`, and sets both.
  void FillChanges(uint64_t incarnation, uint64_t cursor,
                   proto::HelloReply& reply, TimePoint now) const;

  // Forgets servers unheard for long.
  void Expire(TimePoint now);

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

// One server as a host sees it.
struct KnownBackend {
  proto::BackendRecord record;
  TimePoint last_contact;
};

// The using host's side: merges the records of all control hosts.
class BackendDirectory {
 public:
  // Takes a record that a control host passed on. Returns true when the server
  // appeared, moved, began to leave or went.
  bool Merge(const proto::BackendRecord& record, TimePoint now);

  // Returns the servers that take new work, by id. While no control host can
  // be reached, `drop_unresponsive` is false and nobody is dropped for silence.
  std::vector<const KnownBackend*> Usable(TimePoint now,
                                          bool drop_unresponsive) const;
  const KnownBackend* Find(const std::string& id) const;

 private:
  std::map<std::string, KnownBackend> known_;
};

}  // namespace sequoialb
