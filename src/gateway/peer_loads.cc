#include "gateway/peer_loads.h"

#include <algorithm>

namespace sequoialb {
namespace {

// A report counts for this long. Fronts send one at least every 200 ms.
constexpr milliseconds kMaxAge{600};
// The waiting requests of a report count for this long.
constexpr milliseconds kWaitingMaxAge{300};

}  // namespace

void LoadReport::Add(const LoadReport& other) {
  for (const auto& [backend, count] : other.requests) {
    requests[backend] += count;
  }
  waiting += other.waiting;
  fronts += other.fronts;
  for (const auto& [backend, speed] : other.speeds) {
    speeds[backend].Add(speed);
  }
}

void PeerLoads::Record(const std::string& source, LoadReport report,
                       TimePoint now) {
  TimedReport& entry = reports_[source];
  if (entry.received_at != TimePoint()) {
    Subtract(entry.report);
  }
  entry = {now, std::move(report)};
  for (const auto& [backend, count] : entry.report.requests) {
    totals_[backend] += count;
  }
  fronts_ += entry.report.fronts;
  next_expiry_ = reports_.size() == 1
                     ? now + kMaxAge
                     : std::min<TimePoint>(next_expiry_, now + kMaxAge);
}

void PeerLoads::Subtract(const LoadReport& report) {
  for (const auto& [backend, count] : report.requests) {
    const auto total = totals_.find(backend);
    // A report of another host may name a server with no requests.
    if (total == totals_.end()) {
      continue;
    }
    total->second -= count;
    if (total->second == 0) {
      totals_.erase(total);
    }
  }
  fronts_ -= report.fronts;
}

void PeerLoads::Expire(TimePoint now) {
  if (now <= next_expiry_) {
    return;
  }
  next_expiry_ = TimePoint::max();
  for (auto it = reports_.begin(); it != reports_.end();) {
    const TimePoint expires_at = it->second.received_at + kMaxAge;
    if (now > expires_at) {
      Subtract(it->second.report);
      it = reports_.erase(it);
    } else {
      next_expiry_ = std::min(next_expiry_, expires_at);
      ++it;
    }
  }
}

uint32_t PeerLoads::RequestsAt(const std::string& backend) const {
  const auto found = totals_.find(backend);
  return found == totals_.end() ? 0 : found->second;
}

std::map<std::string, ReportedSpeed> PeerLoads::Speeds() const {
  std::map<std::string, ReportedSpeed> speeds;
  for (const auto& [source, entry] : reports_) {
    for (const auto& [backend, speed] : entry.report.speeds) {
      speeds[backend].Add(speed);
    }
  }
  return speeds;
}

LoadReport PeerLoads::Sum(const std::vector<std::string>& sources) const {
  LoadReport sum;
  sum.fronts = 0;
  for (const std::string& source : sources) {
    const auto found = reports_.find(source);
    if (found != reports_.end()) {
      sum.Add(found->second.report);
    }
  }
  return sum;
}

uint32_t PeerLoads::Waiting(TimePoint now) const {
  uint32_t waiting = 0;
  for (const auto& [source, entry] : reports_) {
    waiting +=
        now - entry.received_at <= kWaitingMaxAge ? entry.report.waiting : 0;
  }
  return waiting;
}

}  // namespace sequoialb
