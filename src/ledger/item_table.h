// The replicated records of accepted items.
//
// An item is one accepted request. Its record is there before the caller hears
// of its acceptance, names the host process that works on it, and takes exactly
// one result: a completion counts only while its generation is the record's.
// Each take-over raises the generation, so a late result of a lost owner is
// dropped.
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

// Who works on a record: a host and the number of its process.
using OwnerId = std::pair<std::string, uint64_t>;

class ItemTable {
 public:
  // Records are immutable and shared with snapshots that are being written.
  using Record = std::shared_ptr<const proto::ItemRecord>;

  // Accepts an item. The same (account, idempotency key) with equal content
  // answers the earlier record; with other content it is a conflict.
  proto::CommandResult Apply(const proto::AcceptItem& command);
  proto::CommandResult Apply(const proto::MarkSent& command);
  proto::CommandResult Apply(const proto::CompleteItem& command);
  // Gives an item to a new owner; one that was sent and may not be repeated
  // ends as unknown instead.
  void TakeOver(const std::string& id, const proto::TakeOver& command);
  void Expire(int64_t finished_before_unix_ms);

  Record Find(const std::string& id) const;
  const std::unordered_map<std::string, Record>& records() const {
    return records_;
  }
  // Running items of each owner.
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
