#include "ledger/order_table.h"

#include "base/check.h"
#include "ledger/command_results.h"

namespace sequoialb {

proto::CommandResult OrderTable::Apply(const proto::IssueOrder& command,
                                       uint64_t index,
                                       bool previous_holder_in_view) {
  proto::CommandResult result;
  const auto found = newest_.find(command.backend());
  if (found != newest_.end() &&
      found->second.order_id() == command.order_id()) {
    result.set_repeated(true);
    result.set_index(found->second.fencing());
    return result;
  }
  if (found != newest_.end() && !found->second.finished() &&
      previous_holder_in_view) {
    return Refused(ErrorCode::kConflict,
                   "order " + found->second.order_id() +
                       " to this backend server is still under way on host " +
                       found->second.holder());
  }
  SEQ_CHECK(
      found == newest_.end() || found->second.fencing() < index,
      "fencing number of " << command.backend() << " decreases to " << index);
  proto::OrderRecord order;
  order.set_order_id(command.order_id());
  order.set_backend(command.backend());
  order.set_holder(command.holder());
  order.set_holder_incarnation(command.holder_incarnation());
  order.set_body(command.body());
  order.set_fencing(index);
  order.set_unix_ms(command.unix_ms());
  newest_[command.backend()] = order;
  result.set_index(index);
  return result;
}

proto::CommandResult OrderTable::Apply(const proto::FinishOrder& command) {
  const auto found = newest_.find(command.backend());
  if (found == newest_.end() ||
      found->second.order_id() != command.order_id()) {
    return Repeated();
  }
  found->second.set_finished(true);
  return {};
}

}  // namespace sequoialb
