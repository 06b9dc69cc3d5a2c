// The replicated record of orders to backend servers.
//
// Each order takes the log index as its fencing number, which only grows. An
// order that a lost host sent late carries a lower number than its successor's,
// and a server that checks refuses it. For servers that do not check, a new
// order has to wait until the one before has finished or its holder has lost
// its session lease: a holder sends only within its lease.
#pragma once

#include <map>
#include <string>

#include "proto/ledger.pb.h"

namespace sequoialb {

class OrderTable {
 public:
  // `previous_holder_in_view` tells whether the holder of the server's last
  // order still has its session.
  proto::CommandResult Apply(const proto::IssueOrder& command, uint64_t index,
                             bool previous_holder_in_view);
  proto::CommandResult Apply(const proto::FinishOrder& command);
  // The newest order of each backend server.
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
