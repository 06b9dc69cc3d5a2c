// The replicated records of batch jobs and of the files they read and write.
//
// A record only holds references: inputs and results are blobs on the replicas'
// disks (see batches/blob_store.h). Progress is recorded in groups of items,
// each with the blob that holds their results. A group is applied completely or
// not at all. The bitmap of done items ensures that each item counts once: a
// group that contains an item already done is refused.
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

// Returns true if the bit of `item` is set in `bitmap`.
bool BitmapHas(const std::string& bitmap, uint32_t item);

class BatchTable {
 public:
  using Batch = std::shared_ptr<const proto::LotRecord>;
  using File = std::shared_ptr<const proto::FileRecord>;

  proto::CommandResult Apply(const proto::AddFile& command);
  proto::CommandResult Apply(const proto::CreateLot& command);
  proto::CommandResult Apply(const proto::LotProgress& command);
  proto::CommandResult Apply(const proto::CancelLot& command);
  // Assigns a running job to a new owner and increments its generation.
  void TakeOver(const std::string& id, const proto::TakeOver& command);
  // Removes jobs that finished before the given time, and files created before
  // it that are not the input of a remaining job.
  void Expire(int64_t before_unix_ms);

  Batch FindBatch(const std::string& id) const;
  File FindFile(const std::string& id) const;
  const std::map<std::string, Batch>& batches() const { return batches_; }
  const std::map<std::string, File>& files() const { return files_; }
  const std::map<OwnerId, std::set<std::string>>& running() const {
    return running_;
  }
  // Returns the names of all blobs that a job or file refers to.
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
