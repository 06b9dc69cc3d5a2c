// The replicated state as one state machine: commands in, results out.
//
// Every replica applies the same commands in the same order and reaches the
// same state; nothing here reads a clock or draws a random number. All commands
// may be applied twice, because a proposer that lost its answer repeats.
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
  // Applies the command at a position of the log. Positions only grow.
  proto::CommandResult Apply(uint64_t index, const proto::Command& command);

  // Documents, keys and view that changed after `index`.
  proto::ConfigState ConfigSince(uint64_t index) const;
  // Index of the last change of documents, keys or view.
  uint64_t config_index() const { return config_index_; }
  uint64_t applied_index() const { return applied_; }

  const DocumentTable& documents() const { return documents_; }
  const KeyTable& keys() const { return keys_; }
  const ViewTable& view() const { return view_; }
  const ItemTable& items() const { return items_; }
  const BatchTable& batches() const { return batches_; }
  const OrderTable& orders() const { return orders_; }

  // Returns a source of the present state that stays as it is while later
  // commands are applied, so that another thread can write it to disk.
  SnapshotSource MakeSnapshotSource() const;

  // Replaces the state by that of a snapshot.
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
