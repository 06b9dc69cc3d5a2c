// The replicated records of accepted items.
//
// An item is one accepted request. Its record is committed before the caller is
// notified of the acceptance, names the host process that owns the item, and
// takes exactly one result: a completion is applied only if its generation
// equals the record's. Each take-over increments the generation, so a late
// result from a failed owner is dropped.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "proto/ledger.pb.h"

namespace sequoialb {

// The owner of a record: a host and the incarnation of its process.
using OwnerId = std::pair<std::string, uint64_t>;

class ItemTable {
 public:
  // Records are immutable and shared with snapshots that are being written.
  using Record = std::shared_ptr<const proto::ItemRecord>;

  // Accepts an item. If the account has used the idempotency key before,
  // returns the earlier record when the content is equal, and kConflict when it
  // differs.
  proto::CommandResult Apply(const proto::AcceptItem& command);
  proto::CommandResult Apply(const proto::MarkSent& command);
  proto::CommandResult Apply(const proto::CompleteItem& command);
  // Assigns an item to a new owner. An item that was already sent to a backend
  // server and is not idempotent ends in the state ITEM_UNKNOWN instead.
  void TakeOver(const std::string& id, const proto::TakeOver& command);
  // Removes items that finished before the given time.
  void Expire(int64_t finished_before_unix_ms);

  Record Find(const std::string& id) const;
  const std::unordered_map<std::string, Record>& records() const {
    return records_;
  }
  // The ids of the running items of each owner.
  const std::map<OwnerId, std::set<std::string>>& running() const {
    return running_;
  }
  void Load(const proto::ItemRecord& item);

 private:
  void Store(proto::ItemRecord item);
  static std::string DedupeKey(const proto::ItemRecord& item);

  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, std::string> by_idempotency_key_;
  std::map<OwnerId, std::set<std::string>> running_;
  std::set<std::pair<int64_t, std::string>> finished_;
};

}  // namespace sequoialb
