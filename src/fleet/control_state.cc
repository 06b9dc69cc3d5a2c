#include "fleet/control_state.h"

#include <algorithm>
#include <utility>

#include "observe/log.h"

namespace sequoialb {

Status ControlState::Apply(const std::string& command) {
  proto::ControlCommand parsed;
  if (!parsed.ParseFromString(command)) {
    return Fail(ErrorCode::kCorrupt, "a command in the log cannot be decoded");
  }
  if (parsed.has_put_catalog()) {
    const auto& put = parsed.put_catalog();
    if (!has_catalog_ || put.version() > catalog_version_) {
      has_catalog_ = true;
      catalog_version_ = put.version();
      catalog_ = put.content();
      LogInfo("catalog_committed",
              {{"version", std::to_string(catalog_version_)}});
    }
  } else if (parsed.has_found_stores() && initial_store_members_.empty()) {
    initial_store_members_.assign(parsed.found_stores().nodes().begin(),
                                  parsed.found_stores().nodes().end());
  } else if (parsed.has_retire_host()) {
    retiring_hosts_.insert(parsed.retire_host().host());
  } else if (parsed.has_quarantine()) {
    Release(parsed.quarantine().parts());
    if (quarantines_.size() >= kMaxQuarantines) {
      quarantines_.erase(quarantines_.begin());
    }
    *quarantines_.Add() = parsed.quarantine();
  } else if (parsed.has_release()) {
    Release(parsed.release().parts());
  } else if (parsed.has_grant_trial()) {
    GrantTrial(parsed.grant_trial());
  } else if (parsed.has_set_evacuation()) {
    SetEvacuation(parsed.set_evacuation());
  }
  return {};
}

Quarantines::iterator ControlState::Find(
    const google::protobuf::RepeatedPtrField<std::string>& parts) {
  return std::find_if(quarantines_.begin(), quarantines_.end(),
                      [&](const proto::Quarantine& quarantine) {
                        return std::equal(quarantine.parts().begin(),
                                          quarantine.parts().end(),
                                          parts.begin(), parts.end());
                      });
}

void ControlState::GrantTrial(const proto::ControlCommand::GrantTrial& grant) {
  for (const proto::PromptParts& parts : grant.quarantines()) {
    const auto quarantine = Find(parts.parts());
    if (quarantine != quarantines_.end()) {
      quarantine->set_trials(quarantine->trials() + 1);
      quarantine->set_trial_host(grant.host());
      quarantine->set_trial_incarnation(grant.incarnation());
    }
  }
}

void ControlState::Release(
    const google::protobuf::RepeatedPtrField<std::string>& parts) {
  const auto same = Find(parts);
  if (same != quarantines_.end()) {
    quarantines_.erase(same);
  }
}

void ControlState::SetEvacuation(
    const proto::ControlCommand::SetEvacuation& order) {
  const bool changed =
      order.evacuated()
          ? evacuated_domains_.insert(order.failure_domain()).second
          : evacuated_domains_.erase(order.failure_domain()) > 0;
  if (!changed) {
    return;
  }
  ++evacuations_version_;
  evacuation_changes_[order.failure_domain()] = evacuations_version_;
  LogInfo("evacuation_committed",
          {{"domain", order.failure_domain()},
           {"evacuated", order.evacuated() ? "yes" : "no"},
           {"version", std::to_string(evacuations_version_)}});
}

uint64_t ControlState::LastEvacuationChange(
    const std::string& failure_domain) const {
  const auto found = evacuation_changes_.find(failure_domain);
  return found == evacuation_changes_.end() ? evacuations_loaded_
                                            : found->second;
}

StateParts ControlState::Save() const {
  proto::ControlSnapshot saved;
  saved.set_has_catalog(has_catalog_);
  saved.set_catalog_version(catalog_version_);
  saved.set_catalog(catalog_);
  for (const std::string& node : initial_store_members_) {
    saved.add_store_founders(node);
  }
  for (const std::string& host : retiring_hosts_) {
    saved.add_retiring_hosts(host);
  }
  *saved.mutable_quarantines() = quarantines_;
  for (const std::string& domain : evacuated_domains_) {
    saved.add_evacuated_domains(domain);
  }
  saved.set_evacuations_version(evacuations_version_);
  return [bytes =
              std::optional<std::string>(saved.SerializeAsString())]() mutable {
    return std::exchange(bytes, std::nullopt);
  };
}

Status ControlState::LoadPart(const std::string& part) {
  proto::ControlSnapshot parsed;
  if (!parsed.ParseFromString(part)) {
    return Fail(ErrorCode::kCorrupt, "the control snapshot cannot be decoded");
  }
  has_catalog_ = parsed.has_catalog();
  catalog_version_ = parsed.catalog_version();
  catalog_ = parsed.catalog();
  initial_store_members_.assign(parsed.store_founders().begin(),
                                parsed.store_founders().end());
  retiring_hosts_ = {parsed.retiring_hosts().begin(),
                     parsed.retiring_hosts().end()};
  quarantines_ = parsed.quarantines();
  evacuated_domains_ = {parsed.evacuated_domains().begin(),
                        parsed.evacuated_domains().end()};
  evacuations_version_ = parsed.evacuations_version();
  evacuation_changes_.clear();
  evacuations_loaded_ = evacuations_version_;
  return {};
}

}  // namespace sequoialb
