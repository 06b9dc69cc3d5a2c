#include "ledger/view_table.h"

#include "ledger/command_results.h"

namespace sequoialb {

proto::CommandResult ViewTable::Apply(const proto::SetView& command,
                                      uint64_t index) {
  if (command.view().epoch() != view_.epoch() + 1) {
    return Refused(ErrorCode::kConflict,
                   "the view is at epoch " + std::to_string(view_.epoch()));
  }
  const uint64_t settled = view_.settled_epoch();
  view_ = command.view();
  view_.set_settled_epoch(settled);
  view_.set_index(index);
  return {};
}

proto::CommandResult ViewTable::Apply(const proto::SettleView& command,
                                      uint64_t index) {
  if (command.epoch() != view_.epoch()) {
    return Refused(ErrorCode::kConflict,
                   "the view is at epoch " + std::to_string(view_.epoch()));
  }
  if (view_.settled_epoch() == view_.epoch()) {
    return Repeated();
  }
  view_.set_settled_epoch(command.epoch());
  view_.set_index(index);
  return {};
}

bool ViewTable::Contains(const std::string& host, uint64_t incarnation) const {
  for (const proto::ViewMember& member : view_.members()) {
    if (member.host() == host) {
      return member.incarnation() == incarnation;
    }
  }
  return false;
}

}  // namespace sequoialb
