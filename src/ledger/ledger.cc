#include "ledger/ledger.h"

#include <algorithm>
#include <memory>

#include "base/check.h"
#include "ledger/command_results.h"

namespace sequoialb {
namespace {

// A copy of the tables for a snapshot. Items, files and batches, of which there
// are many, are immutable and shared with the tables instead of copied.
struct SnapshotState {
  std::vector<proto::SnapshotPart> small_parts;
  std::vector<ItemTable::Record> items;
  std::vector<BatchTable::File> files;
  std::vector<BatchTable::Batch> batches;
  size_t next = 0;
};

bool NextPart(SnapshotState& state, proto::SnapshotPart& part) {
  size_t position = state.next++;
  part.Clear();
  if (position < state.small_parts.size()) {
    part = state.small_parts[position];
    return true;
  }
  position -= state.small_parts.size();
  if (position < state.items.size()) {
    *part.mutable_item() = *state.items[position];
    return true;
  }
  position -= state.items.size();
  if (position < state.files.size()) {
    *part.mutable_file() = *state.files[position];
    return true;
  }
  position -= state.files.size();
  if (position < state.batches.size()) {
    *part.mutable_lot() = *state.batches[position];
    return true;
  }
  return false;
}

}  // namespace

proto::CommandResult Ledger::Apply(uint64_t index,
                                   const proto::Command& command) {
  SEQ_CHECK(index > applied_,
            index << " does not follow log index " << applied_);
  applied_ = index;
  proto::CommandResult result;
  switch (command.kind_case()) {
    case proto::Command::kPutDocument:
      result = documents_.Apply(command.put_document(), index);
      config_index_ = index;
      break;
    case proto::Command::kGiveKey:
      result = keys_.Apply(command.give_key(), index);
      config_index_ = index;
      break;
    case proto::Command::kWithdrawKey:
      result = keys_.Apply(command.withdraw_key(), index);
      config_index_ = index;
      break;
    case proto::Command::kSetView:
      result = view_.Apply(command.set_view(), index);
      config_index_ = index;
      break;
    case proto::Command::kSettleView:
      result = view_.Apply(command.settle_view(), index);
      config_index_ = index;
      break;
    case proto::Command::kAcceptItem:
      result = items_.Apply(command.accept_item());
      break;
    case proto::Command::kMarkSent:
      result = items_.Apply(command.mark_sent());
      break;
    case proto::Command::kCompleteItem:
      result = items_.Apply(command.complete_item());
      break;
    case proto::Command::kAddFile:
      result = batches_.Apply(command.add_file());
      break;
    case proto::Command::kCreateLot:
      result = batches_.Apply(command.create_lot());
      break;
    case proto::Command::kLotProgress:
      result = batches_.Apply(command.lot_progress());
      break;
    case proto::Command::kCancelLot:
      result = batches_.Apply(command.cancel_lot());
      break;
    case proto::Command::kTakeOver:
      result = ApplyTakeOver(command.take_over());
      break;
    case proto::Command::kExpireRecords:
      result = ApplyExpire(command.expire_records());
      break;
    case proto::Command::kIssueOrder:
      result = ApplyIssueOrder(command.issue_order(), index);
      break;
    case proto::Command::kFinishOrder:
      result = orders_.Apply(command.finish_order());
      break;
    case proto::Command::kNoop:
    case proto::Command::KIND_NOT_SET:
      break;
  }
  if (result.index() == 0) {
    result.set_index(index);
  }
  return result;
}

proto::CommandResult Ledger::ApplyTakeOver(const proto::TakeOver& command) {
  for (const std::string& id : command.item_ids()) {
    items_.TakeOver(id, command);
  }
  for (const std::string& id : command.lot_ids()) {
    batches_.TakeOver(id, command);
  }
  return {};
}

proto::CommandResult Ledger::ApplyIssueOrder(const proto::IssueOrder& command,
                                             uint64_t index) {
  const auto previous = orders_.newest().find(command.backend());
  const bool previous_holder_in_view =
      previous != orders_.newest().end() &&
      view_.Contains(previous->second.holder(),
                     previous->second.holder_incarnation());
  return orders_.Apply(command, index, previous_holder_in_view);
}

proto::CommandResult Ledger::ApplyExpire(const proto::ExpireRecords& command) {
  items_.Expire(command.finished_before_unix_ms());
  batches_.Expire(command.finished_before_unix_ms());
  return {};
}

proto::ConfigState Ledger::ConfigSince(uint64_t index) const {
  proto::ConfigState changes;
  changes.set_index(config_index_);
  for (const auto& [service, document] : documents_.current()) {
    if (document.index() > index) {
      *changes.add_documents() = document;
    }
  }
  for (const auto& [id, key] : keys_.keys()) {
    if (key.index() > index) {
      *changes.add_keys() = key;
    }
  }
  if (view_.view().index() > index) {
    *changes.mutable_view() = view_.view();
  }
  return changes;
}

SnapshotSource Ledger::MakeSnapshotSource() const {
  auto state = std::make_shared<SnapshotState>();
  for (const auto& [service, document] : documents_.current()) {
    const std::vector<proto::Document> versions = documents_.History(service);
    for (size_t i = 0; i + 1 < versions.size(); ++i) {
      *state->small_parts.emplace_back().mutable_history() = versions[i];
    }
    *state->small_parts.emplace_back().mutable_document() = document;
  }
  for (const auto& [id, key] : keys_.keys()) {
    *state->small_parts.emplace_back().mutable_key() = key;
  }
  *state->small_parts.emplace_back().mutable_view() = view_.view();
  for (const auto& [backend, order] : orders_.newest()) {
    *state->small_parts.emplace_back().mutable_order() = order;
  }
  for (const auto& [id, item] : items_.records()) {
    state->items.push_back(item);
  }
  for (const auto& [id, file] : batches_.files()) {
    state->files.push_back(file);
  }
  for (const auto& [id, batch] : batches_.batches()) {
    state->batches.push_back(batch);
  }
  return [state](proto::SnapshotPart& part) { return NextPart(*state, part); };
}

void Ledger::BeginLoad() { *this = Ledger(); }

void Ledger::LoadPart(const proto::SnapshotPart& part) {
  switch (part.kind_case()) {
    case proto::SnapshotPart::kDocument:
      documents_.LoadCurrent(part.document());
      config_index_ = std::max(config_index_, part.document().index());
      break;
    case proto::SnapshotPart::kHistory:
      documents_.LoadHistory(part.history());
      break;
    case proto::SnapshotPart::kKey:
      keys_.Load(part.key());
      config_index_ = std::max(config_index_, part.key().index());
      break;
    case proto::SnapshotPart::kView:
      view_.Load(part.view());
      config_index_ = std::max(config_index_, part.view().index());
      break;
    case proto::SnapshotPart::kItem:
      items_.Load(part.item());
      break;
    case proto::SnapshotPart::kFile:
      batches_.Load(part.file());
      break;
    case proto::SnapshotPart::kLot:
      batches_.Load(part.lot());
      break;
    case proto::SnapshotPart::kOrder:
      orders_.Load(part.order());
      break;
    // Used only by the consensus groups of the fleet deployment
    // (group/consensus_group.h), never in snapshots of the ledger.
    case proto::SnapshotPart::kGroupState:
    case proto::SnapshotPart::KIND_NOT_SET:
      break;
  }
}

void Ledger::EndLoad(uint64_t index) { applied_ = index; }

}  // namespace sequoialb
