// The durable state of a deployment that finds its members by itself: the
// catalog in force, which disks founded the store group, and the store hosts
// that are to be emptied.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "group/group_state.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

class ControlState : public GroupState {
 public:
  // A catalog that is not newer changes nothing and succeeds: it is a resend,
  // or a higher version has overtaken it.
  Status Apply(const std::string& command) override;
  StateParts Save() const override;
  void Clear() override { *this = ControlState(); }
  Status LoadPart(const std::string& part) override;

  bool has_catalog() const { return has_catalog_; }
  uint64_t catalog_version() const { return catalog_version_; }
  // As the operator sent it.
  const std::string& catalog() const { return catalog_; }
  const std::vector<std::string>& initial_store_members() const {
    return initial_store_members_;
  }
  const std::set<std::string>& retiring_hosts() const {
    return retiring_hosts_;
  }

 private:
  bool has_catalog_ = false;
  uint64_t catalog_version_ = 0;
  std::string catalog_;
  std::vector<std::string> initial_store_members_;
  std::set<std::string> retiring_hosts_;
};

}  // namespace sequoialb
