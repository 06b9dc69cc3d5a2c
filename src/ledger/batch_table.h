// The replicated records of batch jobs and of the files they read and write.
//
// A record holds references only: inputs and results are blobs on the replicas'
// disks (see lots/blob_store.h). Progress is recorded in groups of items, each
// with the blob that holds their results. One progress either counts whole or
// not at all, and an item counts once: the bitmap decides.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "ledger/item_table.h"
#include "proto/ledger.pb.h"

namespace sequoialb {

// Returns true when the item's bit is set.
bool BitmapHas(const std::string& bitmap, uint32_t item);

class BatchTable {
 public:
  using Batch = std::shared_ptr<const proto::LotRecord>;
  using File = std::shared_ptr<const proto::FileRecord>;

  proto::CommandResult Apply(const proto::AddFile& command);
  proto::CommandResult Apply(const proto::CreateLot& command);
  proto::CommandResult Apply(const proto::LotProgress& command);
  proto::CommandResult Apply(const proto::CancelLot& command);
  void TakeOver(const std::string& id, const proto::TakeOver& command);
  // Forgets finished jobs and unused files that are older than the given time.
  void Expire(int64_t before_unix_ms);

  Batch FindBatch(const std::string& id) const;
  File FindFile(const std::string& id) const;
  const std::map<std::string, Batch>& batches() const { return batches_; }
  const std::map<std::string, File>& files() const { return files_; }
  const std::map<OwnerId, std::set<std::string>>& running() const {
    return running_;
  }
  // Names of all blobs that a record refers to.
  std::set<std::string> ReferencedBlobs() const;
  void Load(const proto::LotRecord& batch);
  void Load(const proto::FileRecord& file);

 private:
  void Store(proto::LotRecord batch);
  static std::string DedupeKey(const proto::LotRecord& batch);

  std::map<std::string, Batch> batches_;
  std::map<std::string, File> files_;
  std::unordered_map<std::string, std::string> by_idempotency_key_;
  std::map<OwnerId, std::set<std::string>> running_;
};

}  // namespace sequoialb
