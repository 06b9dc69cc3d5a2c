// The replicated state machine: applies commands to the tables of records and
// returns their results.
//
// Every replica applies the same commands in the same order and must reach the
// same state, so nothing here reads a clock or uses random numbers. Every
// command must be safe to apply twice, because a proposer that did not receive
// the result proposes the command again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "consensus/snapshot_file.h"
#include "ledger/batch_table.h"
#include "ledger/document_table.h"
#include "ledger/item_table.h"
#include "ledger/key_table.h"
#include "ledger/order_table.h"
#include "ledger/view_table.h"
#include "proto/ledger.pb.h"

namespace sequoialb {

class Ledger {
 public:
  // Applies the command at log position `index`, which must be greater than
  // that of the previous command.
  proto::CommandResult Apply(uint64_t index, const proto::Command& command);

  // Returns the documents, keys and view that changed after `index`.
  proto::ConfigState ConfigSince(uint64_t index) const;
  // The log index of the last command on documents, keys or the view.
  uint64_t config_index() const { return config_index_; }
  uint64_t applied_index() const { return applied_; }

  const DocumentTable& documents() const { return documents_; }
  const KeyTable& keys() const { return keys_; }
  const ViewTable& view() const { return view_; }
  const ItemTable& items() const { return items_; }
  const BatchTable& batches() const { return batches_; }
  const OrderTable& orders() const { return orders_; }

  // Returns a source of the current state. Commands applied later do not change
  // what it returns, so another thread can write it to disk.
  SnapshotSource MakeSnapshotSource() const;

  // Replace the state by that of a snapshot: BeginLoad(), then LoadPart() for
  // each part, then EndLoad() with the log index of the snapshot.
  void BeginLoad();
  void LoadPart(const proto::SnapshotPart& part);
  void EndLoad(uint64_t index);

 private:
  proto::CommandResult ApplyTakeOver(const proto::TakeOver& command);
  proto::CommandResult ApplyIssueOrder(const proto::IssueOrder& command,
                                       uint64_t index);
  proto::CommandResult ApplyExpire(const proto::ExpireRecords& command);

  DocumentTable documents_;
  KeyTable keys_;
  ViewTable view_;
  ItemTable items_;
  BatchTable batches_;
  OrderTable orders_;
  uint64_t applied_ = 0;
  uint64_t config_index_ = 0;
};

}  // namespace sequoialb
