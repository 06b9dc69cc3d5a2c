// The replicated record of orders to backend servers.
//
// Each order takes the log index of its command as its fencing number, so later
// orders have higher numbers. If a failed host sends an order late, its number
// is lower than that of the order that replaced it, and a backend server that
// checks fencing numbers refuses it. For servers that do not check, a new order
// is refused until the previous one has finished or its holder has lost its
// session lease, because a holder sends only while it has its lease.
#pragma once

#include <map>
#include <string>

#include "proto/ledger.pb.h"

namespace sequoialb {

class OrderTable {
 public:
  // `previous_holder_in_view` is true if the holder of the server's last order
  // still has its session lease.
  proto::CommandResult Apply(const proto::IssueOrder& command, uint64_t index,
                             bool previous_holder_in_view);
  proto::CommandResult Apply(const proto::FinishOrder& command);
  // The newest order to each backend server.
  const std::map<std::string, proto::OrderRecord>& newest() const {
    return newest_;
  }
  void Load(const proto::OrderRecord& order) {
    newest_[order.backend()] = order;
  }

 private:
  std::map<std::string, proto::OrderRecord> newest_;
};

}  // namespace sequoialb
