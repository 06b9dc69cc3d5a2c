#include "quarantine/trial_schedule.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr int kMaxWantedPerSender = 64;

}  // namespace

void TrialSchedule::AddFront(const std::string& host, uint64_t incarnation,
                             bool leaving, TimePoint now) {
  fronts_[host] = {incarnation, leaving, now};
}

void TrialSchedule::SetWanted(
    const std::string& sender,
    const google::protobuf::RepeatedPtrField<proto::TrialWanted>& wanted,
    TimePoint now) {
  if (wanted.empty() || wanted.size() > kMaxWantedPerSender) {
    wanted_.erase(sender);
    return;
  }
  wanted_[sender] = {wanted, now};
}

void TrialSchedule::UpdateProgress(const Quarantines& active, TimePoint now) {
  std::map<std::vector<std::string>, Progress> current;
  for (const proto::Quarantine& quarantine : active) {
    const std::vector<std::string> parts = PartsOf(quarantine);
    const auto known = progress_.find(parts);
    const bool same =
        known != progress_.end() && known->second.trials == quarantine.trials();
    current[parts] = same ? known->second : Progress{quarantine.trials(), now};
  }
  progress_ = std::move(current);
}

bool TrialSchedule::IsDue(const std::vector<std::string>& parts,
                          TimePoint now) const {
  const auto progress = progress_.find(parts);
  return progress != progress_.end() &&
         progress->second.trials < kDelays.size() &&
         now - progress->second.since >= kDelays[progress->second.trials];
}

const std::string* TrialSchedule::ChooseFront(const proto::TrialWanted& wanted,
                                              TimePoint now) const {
  for (int i = 0; i < wanted.fronts_size(); ++i) {
    const std::string& host = wanted.fronts(
        static_cast<int>((next_front_ + static_cast<size_t>(i)) %
                         static_cast<size_t>(wanted.fronts_size())));
    const auto front = fronts_.find(host);
    if (front != fronts_.end() && !front->second.leaving &&
        now - front->second.heard_at < kMaxAge) {
      return &host;
    }
  }
  return nullptr;
}

std::optional<proto::ControlCommand::GrantTrial> TrialSchedule::Next(
    const Quarantines& active, TimePoint now) {
  UpdateProgress(active, now);
  std::erase_if(wanted_, [&](const auto& entry) {
    return now - entry.second.at >= kMaxAge;
  });
  // A request that fewer quarantines cover shows more, and spends fewer trials.
  const proto::TrialWanted* chosen = nullptr;
  for (const auto& [sender, list] : wanted_) {
    for (const proto::TrialWanted& wanted : list.list) {
      const bool due =
          !wanted.quarantines().empty() &&
          std::all_of(
              wanted.quarantines().begin(), wanted.quarantines().end(),
              [&](const proto::PromptParts& parts) {
                return IsDue({parts.parts().begin(), parts.parts().end()}, now);
              });
      const bool fewer = chosen == nullptr ||
                         wanted.quarantines_size() < chosen->quarantines_size();
      if (due && fewer && ChooseFront(wanted, now) != nullptr) {
        chosen = &wanted;
      }
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const std::string& host = *ChooseFront(*chosen, now);
  ++next_front_;
  proto::ControlCommand::GrantTrial grant;
  *grant.mutable_quarantines() = chosen->quarantines();
  grant.set_host(host);
  grant.set_incarnation(fronts_.at(host).incarnation);
  return grant;
}

}  // namespace sequoialb
