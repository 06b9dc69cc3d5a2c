#include "ledger/lot_table.h"

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

std::string LotTable::DedupeKey(const proto::LotRecord& lot) {
  return lot.account() + '\n' + lot.idempotency_key();
}

LotTable::Lot LotTable::FindLot(const std::string& id) const {
  const auto found = lots_.find(id);
  return found == lots_.end() ? nullptr : found->second;
}

LotTable::File LotTable::FindFile(const std::string& id) const {
  const auto found = files_.find(id);
  return found == files_.end() ? nullptr : found->second;
}

void LotTable::Store(proto::LotRecord lot) {
  const std::string id = lot.id();
  const Lot before = FindLot(id);
  if (before != nullptr && before->state() == proto::LOT_RUNNING) {
    const OwnerId owner(before->owner(), before->owner_incarnation());
    auto& ids = running_[owner];
    ids.erase(id);
    if (ids.empty()) {
      running_.erase(owner);
    }
  }
  if (lot.state() == proto::LOT_RUNNING) {
    running_[OwnerId(lot.owner(), lot.owner_incarnation())].insert(id);
  }
  lots_[id] = std::make_shared<const proto::LotRecord>(std::move(lot));
}

void LotTable::Load(const proto::LotRecord& lot) {
  if (!lot.idempotency_key().empty()) {
    by_idempotency_key_[DedupeKey(lot)] = lot.id();
  }
  Store(lot);
}

void LotTable::Load(const proto::FileRecord& file) {
  files_[file.id()] = std::make_shared<const proto::FileRecord>(file);
}

proto::CommandResult LotTable::Apply(const proto::AddFile& command) {
  const proto::FileRecord& wanted = command.file();
  if (FindFile(wanted.id()) != nullptr) {
    return Repeated();
  }
  Load(wanted);
  return {};
}

proto::CommandResult LotTable::Apply(const proto::CreateLot& command) {
  const proto::LotRecord& wanted = command.lot();
  proto::CommandResult result;
  const Lot same_id = FindLot(wanted.id());
  if (same_id != nullptr) {
    *result.mutable_lot() = *same_id;
    return result;
  }
  if (!wanted.idempotency_key().empty()) {
    const auto known = by_idempotency_key_.find(DedupeKey(wanted));
    if (known != by_idempotency_key_.end()) {
      const Lot earlier = FindLot(known->second);
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
  proto::LotRecord lot = wanted;
  lot.set_generation(1);
  lot.set_state(proto::LOT_RUNNING);
  lot.set_total(input->lines());
  lot.set_done_bitmap(
      std::string((input->lines() + kBitsPerByte - 1) / kBitsPerByte, '\0'));
  *result.mutable_lot() = lot;
  Load(lot);
  return result;
}

proto::CommandResult LotTable::Apply(const proto::LotProgress& command) {
  const Lot present = FindLot(command.lot_id());
  if (present == nullptr) {
    return Refused(ErrorCode::kNotFound, "no batch " + command.lot_id());
  }
  if (present->state() == proto::LOT_CANCELLED) {
    return Refused(ErrorCode::kCancelled, "the batch was cancelled");
  }
  if (present->generation() != command.generation()) {
    return Refused(ErrorCode::kConflict, "the batch has another owner now");
  }
  if (!present->output().empty() &&
      present->output().rbegin()->sha256() == command.output().sha256()) {
    return Repeated();
  }
  proto::LotRecord lot = *present;
  for (const uint32_t item : command.done()) {
    if (item >= lot.total() || BitmapHas(lot.done_bitmap(), item)) {
      return Refused(ErrorCode::kConflict,
                     "item " + std::to_string(item) + " is already done");
    }
    BitmapSet(*lot.mutable_done_bitmap(), item);
  }
  const auto done = static_cast<uint32_t>(command.done_size());
  lot.set_done(lot.done() + done);
  lot.set_failed(lot.failed() + command.failed());
  *lot.add_output() = command.output();
  SEQ_CHECK(lot.done() <= lot.total() && lot.failed() <= lot.done(),
            lot.id() << ": " << lot.done() << " of " << lot.total());
  if (lot.done() == lot.total()) {
    lot.set_state(proto::LOT_COMPLETED);
    lot.set_finished_unix_ms(command.unix_ms());
  }
  Store(std::move(lot));
  return {};
}

proto::CommandResult LotTable::Apply(const proto::CancelLot& command) {
  const Lot present = FindLot(command.lot_id());
  if (present == nullptr || present->account() != command.account()) {
    return Refused(ErrorCode::kNotFound, "no batch " + command.lot_id());
  }
  proto::CommandResult result;
  if (present->state() == proto::LOT_RUNNING) {
    proto::LotRecord lot = *present;
    lot.set_state(proto::LOT_CANCELLED);
    lot.set_finished_unix_ms(command.unix_ms());
    *result.mutable_lot() = lot;
    Store(std::move(lot));
    return result;
  }
  if (present->state() != proto::LOT_CANCELLED) {
    return Refused(ErrorCode::kConflict, "the batch has already ended");
  }
  result.set_repeated(true);
  *result.mutable_lot() = *present;
  return result;
}

void LotTable::TakeOver(const std::string& id, const proto::TakeOver& command) {
  const Lot present = FindLot(id);
  if (present == nullptr || present->state() != proto::LOT_RUNNING ||
      present->owner() != command.from() ||
      present->owner_incarnation() != command.from_incarnation()) {
    return;
  }
  proto::LotRecord lot = *present;
  lot.set_generation(lot.generation() + 1);
  lot.set_owner(command.owner());
  lot.set_owner_incarnation(command.owner_incarnation());
  Store(std::move(lot));
}

void LotTable::Expire(int64_t before_unix_ms) {
  std::set<std::string> inputs;
  for (auto entry = lots_.begin(); entry != lots_.end();) {
    const proto::LotRecord& lot = *entry->second;
    if (lot.state() == proto::LOT_RUNNING ||
        lot.finished_unix_ms() >= before_unix_ms) {
      inputs.insert(lot.input_file());
      ++entry;
      continue;
    }
    if (!lot.idempotency_key().empty()) {
      by_idempotency_key_.erase(DedupeKey(lot));
    }
    entry = lots_.erase(entry);
  }
  for (auto entry = files_.begin(); entry != files_.end();) {
    const bool unused = inputs.count(entry->first) == 0;
    const bool old = entry->second->created_unix_ms() < before_unix_ms;
    entry = unused && old ? files_.erase(entry) : std::next(entry);
  }
}

std::set<std::string> LotTable::ReferencedBlobs() const {
  std::set<std::string> names;
  for (const auto& [id, file] : files_) {
    for (const proto::BlobRef& blob : file->blobs()) {
      names.insert(blob.sha256());
    }
  }
  for (const auto& [id, lot] : lots_) {
    for (const proto::BlobRef& blob : lot->output()) {
      names.insert(blob.sha256());
    }
  }
  return names;
}

}  // namespace sequoialb
