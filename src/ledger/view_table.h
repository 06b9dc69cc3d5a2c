// The replicated view: which host processes hold a session lease.
//
// Views change in two steps. SetView announces a new epoch; SettleView says
// that every host that stays has seen it or has lost its lease. A duty that
// moves with the epoch (an account's bucket) is taken up only when the epoch is
// settled, so its former owner has certainly given it up.
#pragma once

#include "proto/ledger.pb.h"

namespace sequoialb {

class ViewTable {
 public:
  proto::CommandResult Apply(const proto::SetView& command, uint64_t index);
  proto::CommandResult Apply(const proto::SettleView& command, uint64_t index);

  const proto::HostView& view() const { return view_; }
  // Returns true when this very process of the host is in the view.
  bool Contains(const std::string& host, uint64_t incarnation) const;
  void Load(const proto::HostView& view) { view_ = view; }

 private:
  proto::HostView view_;
};

}  // namespace sequoialb
