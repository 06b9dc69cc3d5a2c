#include "ledger/item_table.h"

#include "base/check.h"
#include "ledger/command_results.h"

namespace sequoialb {

std::string ItemTable::DedupeKey(const proto::ItemRecord& item) {
  return item.account() + '\n' + item.idempotency_key();
}

ItemTable::Record ItemTable::Find(const std::string& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : found->second;
}

// Inserts or replaces a record, and updates the indices by owner and by finish
// time.
void ItemTable::Store(proto::ItemRecord item) {
  const std::string id = item.id();
  const Record before = Find(id);
  if (before != nullptr && before->state() == proto::ITEM_RUNNING) {
    const OwnerId owner(before->owner(), before->owner_incarnation());
    auto& ids = running_[owner];
    ids.erase(id);
    if (ids.empty()) {
      running_.erase(owner);
    }
  }
  if (item.state() == proto::ITEM_RUNNING) {
    running_[OwnerId(item.owner(), item.owner_incarnation())].insert(id);
  } else {
    finished_.emplace(item.finished_unix_ms(), id);
  }
  records_[id] = std::make_shared<const proto::ItemRecord>(std::move(item));
}

void ItemTable::Load(const proto::ItemRecord& item) {
  if (!item.idempotency_key().empty() && !item.not_run()) {
    by_idempotency_key_[DedupeKey(item)] = item.id();
  }
  Store(item);
}

proto::CommandResult ItemTable::Apply(const proto::AcceptItem& command) {
  const proto::ItemRecord& wanted = command.item();
  proto::CommandResult result;
  const Record same_id = Find(wanted.id());
  if (same_id != nullptr) {
    // The proposer repeats the command after a lost answer. The item is its own
    // to run, unless another host has taken it over since.
    result.set_repeated(same_id->state() != proto::ITEM_RUNNING ||
                        same_id->generation() != 1);
    *result.mutable_item() = *same_id;
    return result;
  }
  if (!wanted.idempotency_key().empty()) {
    const auto known = by_idempotency_key_.find(DedupeKey(wanted));
    if (known != by_idempotency_key_.end()) {
      const Record earlier = Find(known->second);
      SEQ_CHECK(earlier != nullptr,
                "dangling idempotency key of " << known->second);
      if (earlier->not_run()) {
        by_idempotency_key_.erase(known);
        return Apply(command);
      }
      if (earlier->content_sha256() != wanted.content_sha256()) {
        return Refused(
            ErrorCode::kConflict,
            "the idempotency key was used for other content, as item " +
                earlier->id() + "; use a new key for a new request");
      }
      result.set_repeated(true);
      *result.mutable_item() = *earlier;
      return result;
    }
    by_idempotency_key_[DedupeKey(wanted)] = wanted.id();
  }
  proto::ItemRecord item = wanted;
  item.set_generation(1);
  item.set_state(proto::ITEM_RUNNING);
  *result.mutable_item() = item;
  Store(std::move(item));
  return result;
}

proto::CommandResult ItemTable::Apply(const proto::MarkSent& command) {
  const Record present = Find(command.item_id());
  if (present == nullptr) {
    return Refused(ErrorCode::kNotFound, "no item " + command.item_id());
  }
  if (present->state() != proto::ITEM_RUNNING ||
      present->generation() != command.generation()) {
    return Refused(ErrorCode::kConflict, "the item has another owner now");
  }
  if (present->sent() && present->sent_attempt() != command.attempt()) {
    return Refused(ErrorCode::kConflict, "another attempt sent the item");
  }
  proto::ItemRecord item = *present;
  item.set_sent(true);
  item.set_sent_attempt(command.attempt());
  Store(std::move(item));
  return {};
}

proto::CommandResult ItemTable::Apply(const proto::CompleteItem& command) {
  const Record present = Find(command.item_id());
  if (present == nullptr) {
    return Refused(ErrorCode::kNotFound, "no item " + command.item_id());
  }
  proto::CommandResult result;
  if (present->generation() != command.generation()) {
    result = Refused(ErrorCode::kConflict, "the item has another owner now");
    *result.mutable_item() = *present;
    return result;
  }
  if (present->state() != proto::ITEM_RUNNING) {
    // Completed by an earlier copy of this command; the first result is kept.
    result.set_repeated(true);
    *result.mutable_item() = *present;
    return result;
  }
  if (present->sent() && present->sent_attempt() != command.attempt()) {
    result = Refused(ErrorCode::kConflict, "another attempt sent the item");
    *result.mutable_item() = *present;
    return result;
  }
  SEQ_CHECK(command.state() != proto::ITEM_RUNNING,
            "completion leaves the item running");
  proto::ItemRecord item = *present;
  item.set_state(command.state());
  item.set_result(command.result());
  item.set_error_name(command.error_name());
  item.set_finished_unix_ms(command.unix_ms());
  item.set_http_status(command.http_status());
  item.set_content_type(command.content_type());
  item.set_not_run(command.not_run());
  Store(std::move(item));
  return result;
}

void ItemTable::TakeOver(const std::string& id,
                         const proto::TakeOver& command) {
  const Record present = Find(id);
  if (present == nullptr || present->state() != proto::ITEM_RUNNING ||
      present->owner() != command.from() ||
      present->owner_incarnation() != command.from_incarnation()) {
    return;
  }
  proto::ItemRecord item = *present;
  item.set_generation(item.generation() + 1);
  if (item.sent() && !item.idempotent()) {
    item.set_state(proto::ITEM_UNKNOWN);
    item.set_error_name(std::string(ErrorName(ErrorCode::kBackendFailed)));
    item.set_finished_unix_ms(command.unix_ms());
  } else {
    item.set_owner(command.owner());
    item.set_owner_incarnation(command.owner_incarnation());
  }
  Store(std::move(item));
}

void ItemTable::Expire(int64_t finished_before_unix_ms) {
  while (!finished_.empty() &&
         finished_.begin()->first < finished_before_unix_ms) {
    const Record record = Find(finished_.begin()->second);
    finished_.erase(finished_.begin());
    if (record == nullptr) {
      continue;
    }
    const auto key = by_idempotency_key_.find(DedupeKey(*record));
    if (key != by_idempotency_key_.end() && key->second == record->id()) {
      by_idempotency_key_.erase(key);
    }
    records_.erase(record->id());
  }
}

}  // namespace sequoialb
