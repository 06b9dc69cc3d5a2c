#include "fleet/load_reporter.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {
namespace {

// An unchanged report is sent again after this time, before it expires.
constexpr milliseconds kMaxInterval{200};
// Reports to other failure domains are sent at most this often.
constexpr milliseconds kMinDomainInterval{60};

// Higher speeds are not told apart. It bounds what another host may send.
constexpr uint32_t kMaxSpeedPercent = 10'000;

// The source under which the report of a failure domain is recorded. Host names
// contain no slash.
std::string DomainSource(const std::string& failure_domain) {
  return "domain/" + failure_domain;
}

proto::FrontLoad Encode(const LoadReport& report) {
  proto::FrontLoad encoded;
  encoded.set_waiting(report.waiting);
  encoded.set_fronts(report.fronts);
  for (const auto& [backend, requests] : report.requests) {
    auto& entry = *encoded.add_loads();
    entry.set_backend(backend);
    entry.set_requests(requests);
    const auto speed = report.speeds.find(backend);
    if (speed != report.speeds.end()) {
      entry.set_speed_percent(speed->second.percent());
    }
  }
  // A server that was observed may have no request left.
  for (const auto& [backend, speed] : report.speeds) {
    if (report.requests.count(backend) == 0) {
      auto& entry = *encoded.add_loads();
      entry.set_backend(backend);
      entry.set_speed_percent(speed.percent());
    }
  }
  return encoded;
}

LoadReport Decode(const proto::FrontLoad& encoded) {
  LoadReport report;
  report.waiting = encoded.waiting();
  report.fronts = std::max<uint32_t>(1, encoded.fronts());
  for (const auto& entry : encoded.loads()) {
    if (entry.requests() > 0) {
      report.requests[entry.backend()] = entry.requests();
    }
    if (entry.speed_percent() > 0) {
      report.speeds[entry.backend()] = {
          std::min(entry.speed_percent(), kMaxSpeedPercent), 1};
    }
  }
  return report;
}

}  // namespace

void LoadReporter::SetFronts(const LiveFronts& fronts) {
  domain_peers_ = DomainPeers(fronts, self_);
  remote_relays_ = RemoteRelays(fronts, self_);
  const bool is_relay = IsRelay(fronts, self_);
  if (is_relay != is_relay_) {
    is_relay_ = is_relay;
    LogInfo("load_relay", {{"relay", is_relay ? "yes" : "no"},
                           {"fronts", std::to_string(fronts.size())}});
  }
}

bool LoadReporter::TakeIfDue(const LoadReport& report,
                             milliseconds min_interval, TimePoint now,
                             LastSent& last) {
  const bool changed = report.requests != last.report.requests ||
                       report.waiting != last.report.waiting ||
                       report.fronts != last.report.fronts;
  if (now < last.sent_at + (changed ? min_interval : kMaxInterval)) {
    return false;
  }
  last = {report, now};
  return true;
}

void LoadReporter::Tick(uint32_t waiting, TimePoint now) {
  LoadReport own;
  own.requests = pool_.OwnRequests();
  own.waiting = waiting;
  // A changed speed alone does not make a report due: requests start and end
  // more often, and an unchanged report is sent again soon.
  own.speeds = pool_.OwnSpeeds(now);
  if (!domain_peers_.empty() &&
      TakeIfDue(own, milliseconds(0), now, own_sent_)) {
    send_(domain_peers_, Encode(own));
  }
  if (!is_relay_ || remote_relays_.empty()) {
    return;
  }
  LoadReport domain = pool_.SumOfReports(domain_peers_, now);
  domain.Add(own);
  if (TakeIfDue(domain, kMinDomainInterval, now, domain_sent_)) {
    proto::FrontLoad encoded = Encode(domain);
    encoded.set_failure_domain(self_.failure_domain());
    encoded.set_relay(true);
    send_(remote_relays_, encoded);
  }
}

void LoadReporter::OnReport(const std::string& from,
                            const proto::FrontLoad& report, TimePoint now) {
  const std::string& domain = report.failure_domain();
  pool_.RecordPeerLoad(domain.empty() ? from : DomainSource(domain),
                       Decode(report), now);
  if (report.relay() && !domain_peers_.empty()) {
    proto::FrontLoad passed_on = report;
    passed_on.set_relay(false);
    send_(domain_peers_, passed_on);
  }
}

}  // namespace sequoialb
