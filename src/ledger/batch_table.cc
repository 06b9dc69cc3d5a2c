#include "ledger/batch_table.h"

#include <algorithm>

#include "base/check.h"
#include "ledger/command_results.h"

namespace sequoialb {
namespace {

constexpr uint32_t kBitsPerByte = 8;

void BitmapSet(std::string& bitmap, uint32_t item) {
  auto& byte = bitmap[item / kBitsPerByte];
  byte = static_cast<char>(static_cast<unsigned char>(byte) |
                           (1U << (item % kBitsPerByte)));
}

}  // namespace

bool BitmapHas(const std::string& bitmap, uint32_t item) {
  const auto byte = static_cast<unsigned char>(bitmap.at(item / kBitsPerByte));
  return ((byte >> (item % kBitsPerByte)) & 1U) != 0;
}

std::string BatchTable::DedupeKey(const proto::LotRecord& batch) {
  return batch.account() + '\n' + batch.idempotency_key();
}

BatchTable::Batch BatchTable::FindBatch(const std::string& id) const {
  const auto found = batches_.find(id);
  return found == batches_.end() ? nullptr : found->second;
}

BatchTable::File BatchTable::FindFile(const std::string& id) const {
  const auto found = files_.find(id);
  return found == files_.end() ? nullptr : found->second;
}

void BatchTable::Store(proto::LotRecord batch) {
  const std::string id = batch.id();
  const Batch before = FindBatch(id);
  if (before != nullptr && before->state() == proto::LOT_RUNNING) {
    const OwnerId owner(before->owner(), before->owner_incarnation());
    auto& ids = running_[owner];
    ids.erase(id);
    if (ids.empty()) {
      running_.erase(owner);
    }
  }
  if (batch.state() == proto::LOT_RUNNING) {
    running_[OwnerId(batch.owner(), batch.owner_incarnation())].insert(id);
  }
  batches_[id] = std::make_shared<const proto::LotRecord>(std::move(batch));
}

void BatchTable::Load(const proto::LotRecord& batch) {
  if (!batch.idempotency_key().empty()) {
    by_idempotency_key_[DedupeKey(batch)] = batch.id();
  }
  Store(batch);
}

void BatchTable::Load(const proto::FileRecord& file) {
  files_[file.id()] = std::make_shared<const proto::FileRecord>(file);
}

proto::CommandResult BatchTable::Apply(const proto::AddFile& command) {
  const proto::FileRecord& wanted = command.file();
  if (FindFile(wanted.id()) != nullptr) {
    return Repeated();
  }
  Load(wanted);
  return {};
}

proto::CommandResult BatchTable::Apply(const proto::CreateLot& command) {
  const proto::LotRecord& wanted = command.lot();
  proto::CommandResult result;
  const Batch same_id = FindBatch(wanted.id());
  if (same_id != nullptr) {
    *result.mutable_lot() = *same_id;
    return result;
  }
  if (!wanted.idempotency_key().empty()) {
    const auto known = by_idempotency_key_.find(DedupeKey(wanted));
    if (known != by_idempotency_key_.end()) {
      const Batch earlier = FindBatch(known->second);
      SEQ_CHECK(earlier != nullptr,
                "dangling idempotency key of " << known->second);
      if (earlier->content_sha256() != wanted.content_sha256()) {
        return Refused(
            ErrorCode::kConflict,
            "the idempotency key was used for other content, as batch " +
                earlier->id() + "; use a new key for a new batch");
      }
      result.set_repeated(true);
      *result.mutable_lot() = *earlier;
      return result;
    }
  }
  const File input = FindFile(wanted.input_file());
  if (input == nullptr || input->account() != wanted.account()) {
    return Refused(ErrorCode::kNotFound, "no file " + wanted.input_file());
  }
  proto::LotRecord batch = wanted;
  batch.set_generation(1);
  batch.set_state(proto::LOT_RUNNING);
  batch.set_total(input->lines());
  batch.set_done_bitmap(
      std::string((input->lines() + kBitsPerByte - 1) / kBitsPerByte, '\0'));
  *result.mutable_lot() = batch;
  Load(batch);
  return result;
}

proto::CommandResult BatchTable::Apply(const proto::LotProgress& command) {
  const Batch present = FindBatch(command.lot_id());
  if (present == nullptr) {
    return Refused(ErrorCode::kNotFound, "no batch " + command.lot_id());
  }
  if (present->state() == proto::LOT_CANCELLED) {
    return Refused(ErrorCode::kCancelled, "the batch was cancelled");
  }
  if (present->generation() != command.generation()) {
    return Refused(ErrorCode::kConflict, "the batch has another owner now");
  }
  // The blob alone does not identify a group, since the results of different
  // items may be equal.
  const bool same_output =
      !present->output().empty() &&
      present->output().rbegin()->sha256() == command.output().sha256();
  const bool all_done = std::all_of(
      command.done().begin(), command.done().end(), [&present](uint32_t item) {
        return item < present->total() &&
               BitmapHas(present->done_bitmap(), item);
      });
  if (same_output && all_done) {
    return Repeated();
  }
  proto::LotRecord batch = *present;
  for (const uint32_t item : command.done()) {
    if (item >= batch.total() || BitmapHas(batch.done_bitmap(), item)) {
      return Refused(ErrorCode::kConflict,
                     "item " + std::to_string(item) + " is already done");
    }
    BitmapSet(*batch.mutable_done_bitmap(), item);
  }
  const auto done = static_cast<uint32_t>(command.done_size());
  batch.set_done(batch.done() + done);
  batch.set_failed(batch.failed() + command.failed());
  *batch.add_output() = command.output();
  SEQ_CHECK(batch.done() <= batch.total() && batch.failed() <= batch.done(),
            batch.id() << ": items done: " << batch.done() << " of "
                       << batch.total());
  if (batch.done() == batch.total()) {
    batch.set_state(proto::LOT_COMPLETED);
    batch.set_finished_unix_ms(command.unix_ms());
  }
  Store(std::move(batch));
  return {};
}

proto::CommandResult BatchTable::Apply(const proto::CancelLot& command) {
  const Batch present = FindBatch(command.lot_id());
  if (present == nullptr || present->account() != command.account()) {
    return Refused(ErrorCode::kNotFound, "no batch " + command.lot_id());
  }
  proto::CommandResult result;
  if (present->state() == proto::LOT_RUNNING) {
    proto::LotRecord batch = *present;
    batch.set_state(proto::LOT_CANCELLED);
    batch.set_finished_unix_ms(command.unix_ms());
    *result.mutable_lot() = batch;
    Store(std::move(batch));
    return result;
  }
  if (present->state() != proto::LOT_CANCELLED) {
    return Refused(ErrorCode::kConflict, "the batch has already ended");
  }
  result.set_repeated(true);
  *result.mutable_lot() = *present;
  return result;
}

void BatchTable::TakeOver(const std::string& id,
                          const proto::TakeOver& command) {
  const Batch present = FindBatch(id);
  if (present == nullptr || present->state() != proto::LOT_RUNNING ||
      present->owner() != command.from() ||
      present->owner_incarnation() != command.from_incarnation()) {
    return;
  }
  proto::LotRecord batch = *present;
  batch.set_generation(batch.generation() + 1);
  batch.set_owner(command.owner());
  batch.set_owner_incarnation(command.owner_incarnation());
  Store(std::move(batch));
}

void BatchTable::Expire(int64_t before_unix_ms) {
  std::set<std::string> inputs;
  for (auto entry = batches_.begin(); entry != batches_.end();) {
    const proto::LotRecord& batch = *entry->second;
    if (batch.state() == proto::LOT_RUNNING ||
        batch.finished_unix_ms() >= before_unix_ms) {
      inputs.insert(batch.input_file());
      ++entry;
      continue;
    }
    if (!batch.idempotency_key().empty()) {
      by_idempotency_key_.erase(DedupeKey(batch));
    }
    entry = batches_.erase(entry);
  }
  for (auto entry = files_.begin(); entry != files_.end();) {
    const bool unused = inputs.count(entry->first) == 0;
    const bool old = entry->second->created_unix_ms() < before_unix_ms;
    entry = unused && old ? files_.erase(entry) : std::next(entry);
  }
}

std::set<std::string> BatchTable::ReferencedBlobs() const {
  std::set<std::string> names;
  for (const auto& [id, file] : files_) {
    for (const proto::BlobRef& blob : file->blobs()) {
      names.insert(blob.sha256());
    }
  }
  for (const auto& [id, batch] : batches_) {
    for (const proto::BlobRef& blob : batch->output()) {
      names.insert(blob.sha256());
    }
  }
  return names;
}

}  // namespace sequoialb
