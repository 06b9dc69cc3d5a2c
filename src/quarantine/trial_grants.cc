#include "quarantine/trial_grants.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr size_t kMaxRefused = 32;

}  // namespace

bool TrialGrants::Allows(const Quarantines& quarantines,
                         const std::vector<std::string>& shared_parts) const {
  const auto covering = AllQuarantines(quarantines, shared_parts);
  return std::all_of(
      covering.begin(), covering.end(),
      [this](const proto::Quarantine* quarantine) {
        const auto made = made_.find(KeyOf(*quarantine));
        return quarantine->trials() > 0 && quarantine->trial_host() == host_ &&
               quarantine->trial_incarnation() == incarnation_ &&
               (made == made_.end() || made->second < quarantine->trials());
      });
}

bool TrialGrants::Take(const Quarantines& quarantines,
                       const std::vector<std::string>& shared_parts) {
  const auto covering = AllQuarantines(quarantines, shared_parts);
  if (covering.empty()) {
    return false;
  }
  std::set<Key> in_force;
  for (const proto::Quarantine& quarantine : quarantines) {
    in_force.insert(KeyOf(quarantine));
  }
  std::erase_if(made_, [&](const auto& entry) {
    return in_force.count(entry.first) == 0;
  });
  for (const proto::Quarantine* quarantine : covering) {
    made_[KeyOf(*quarantine)] = quarantine->trials();
  }
  return true;
}

void TrialGrants::Return(const Quarantines& quarantines,
                         const std::vector<std::string>& shared_parts) {
  for (const proto::Quarantine* quarantine :
       AllQuarantines(quarantines, shared_parts)) {
    const auto made = made_.find(KeyOf(*quarantine));
    if (made != made_.end() && made->second == quarantine->trials()) {
      --made->second;
    }
  }
}

void TrialGrants::RecordRefused(const Quarantines& quarantines,
                                const std::vector<std::string>& shared_parts,
                                TimePoint now) {
  std::set<Parts> covering;
  for (const proto::Quarantine* quarantine :
       AllQuarantines(quarantines, shared_parts)) {
    covering.insert(PartsOf(*quarantine));
  }
  if (refused_.size() < kMaxRefused || refused_.count(covering) > 0) {
    refused_[covering] = now;
  }
}

std::vector<proto::TrialWanted> TrialGrants::Wanted(TimePoint now) {
  std::erase_if(refused_, [now](const auto& entry) {
    return now - entry.second > kRefusedMemory;
  });
  std::vector<proto::TrialWanted> wanted;
  for (const auto& [covering, at] : refused_) {
    proto::TrialWanted& trial = wanted.emplace_back(TrialOf(covering));
    trial.add_fronts(host_);
  }
  return wanted;
}

proto::TrialWanted TrialOf(const std::set<std::vector<std::string>>& covering) {
  proto::TrialWanted wanted;
  for (const std::vector<std::string>& parts : covering) {
    *wanted.add_quarantines()->mutable_parts() = {parts.begin(), parts.end()};
  }
  return wanted;
}

}  // namespace sequoialb
