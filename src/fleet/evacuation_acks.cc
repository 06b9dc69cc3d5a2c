#include "fleet/evacuation_acks.h"

#include <algorithm>
#include <utility>

namespace sequoialb {

bool EvacuationAcks::AllReported(uint64_t version) const {
  return std::all_of(
      live_fronts_.begin(), live_fronts_.end(), [&](const std::string& front) {
        const auto found = reported_.find(front);
        return found != reported_.end() && found->second >= version;
      });
}

void EvacuationAcks::Tick(const std::vector<std::string>& live_fronts,
                          uint64_t version, TimePoint now) {
  live_fronts_ = live_fronts;
  if (version != version_) {
    version_ = version;
    wait_until_ = now + kMaxWait;
  }
  for (auto it = reported_.begin(); it != reported_.end();) {
    const bool live = std::find(live_fronts.begin(), live_fronts.end(),
                                it->first) != live_fronts.end();
    it = live ? std::next(it) : reported_.erase(it);
  }
  std::vector<Waiting> still_waiting;
  std::vector<std::pair<Done, bool>> finished;
  for (Waiting& entry : waiting_) {
    const bool reported = AllReported(entry.version);
    entry.until = entry.until.value_or(wait_until_);
    if (reported || now >= *entry.until) {
      finished.emplace_back(std::move(entry.done), reported);
    } else {
      still_waiting.push_back(std::move(entry));
    }
  }
  waiting_ = std::move(still_waiting);
  for (const auto& [done, reported] : finished) {
    done(reported);
  }
}

}  // namespace sequoialb
