// The replicated view: which host processes hold a session lease.
//
// Views change in two steps. SetView installs the view of a new epoch.
// SettleView records that every host that stays in the view has seen the new
// epoch or has lost its lease. A duty that moves to another host with the
// epoch, such as an account's token bucket, is taken up by its new owner only
// once the epoch is settled, which ensures that the previous owner has given it
// up.
#pragma once

#include "proto/ledger.pb.h"

namespace sequoialb {

class ViewTable {
 public:
  proto::CommandResult Apply(const proto::SetView& command, uint64_t index);
  proto::CommandResult Apply(const proto::SettleView& command, uint64_t index);

  const proto::HostView& view() const { return view_; }
  // Returns true if the host is in the view with this incarnation of its
  // process.
  bool Contains(const std::string& host, uint64_t incarnation) const;
  void Load(const proto::HostView& view) { view_ = view; }

 private:
  proto::HostView view_;
};

}  // namespace sequoialb
