// The durable state of a fleet, replicated by the control group: the catalog in
// force, the initial members (disks) of the store group, the store hosts to be
// decommissioned, the quarantined parts of prompts, and the evacuated failure
// domains.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "group/group_state.h"
#include "proto/fleet.pb.h"
#include "quarantine/quarantine_list.h"

namespace sequoialb {

class ControlState : public GroupState {
 public:
  // A catalog whose version is not higher is ignored without an error: it was
  // sent again, or a higher version was committed first.
  Status Apply(const std::string& command) override;
  StateParts Save() const override;
  void Clear() override { *this = ControlState(); }
  Status LoadPart(const std::string& part) override;

  bool has_catalog() const { return has_catalog_; }
  uint64_t catalog_version() const { return catalog_version_; }
  // The catalog in the encoding in which the operator sent it.
  const std::string& catalog() const { return catalog_; }
  const std::vector<std::string>& initial_store_members() const {
    return initial_store_members_;
  }
  const std::set<std::string>& retiring_hosts() const {
    return retiring_hosts_;
  }
  // In the order in which they began. The oldest ends when there are too many.
  const Quarantines& quarantines() const { return quarantines_; }

  // The failure domains to whose backend servers nothing new may be sent.
  const std::set<std::string>& evacuated_domains() const {
    return evacuated_domains_;
  }
  // Counts the changes of evacuated_domains(). A repeated order is no change.
  uint64_t evacuations_version() const { return evacuations_version_; }
  // The version of a failure domain's last change, or a later one after a start
  // from a snapshot, which does not contain it.
  uint64_t LastEvacuationChange(const std::string& failure_domain) const;

  static constexpr int kMaxQuarantines = 64;

 private:
  // Returns the quarantine of exactly these parts, or the end of the list.
  Quarantines::iterator Find(
      const google::protobuf::RepeatedPtrField<std::string>& parts);
  void GrantTrial(const proto::ControlCommand::GrantTrial& grant);
  void Release(const google::protobuf::RepeatedPtrField<std::string>& parts);
  void SetEvacuation(const proto::ControlCommand::SetEvacuation& order);

  bool has_catalog_ = false;
  uint64_t catalog_version_ = 0;
  std::string catalog_;
  std::vector<std::string> initial_store_members_;
  std::set<std::string> retiring_hosts_;
  Quarantines quarantines_;
  std::set<std::string> evacuated_domains_;
  uint64_t evacuations_version_ = 0;
  // Not replicated: the changes since evacuations_loaded_, by failure domain.
  std::map<std::string, uint64_t> evacuation_changes_;
  uint64_t evacuations_loaded_ = 0;
};

}  // namespace sequoialb
