#include "gateway/front_view.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {
namespace {

// Time limit for a probe of a server.
constexpr milliseconds kProbeTimeout{200};

}  // namespace

void FrontShared::RecordServerState(const std::string& backend,
                                    const BackendAnswer& answer) {
  // The answer of another server at the same address says nothing about this
  // one.
  if (answer.other_server) {
    return;
  }
  const TimePoint now = loop.now();
  crashes.RecordAlive(backend, now);
  if (answer.load) {
    pool.RecordServerLoad(backend, *answer.load, now);
  }
  if (answer.leaving && pool.RecordLeaving(backend)) {
    LogInfo("backend_leaving", {{"backend", backend}});
  }
}

void FrontShared::RecordCallFailure(const std::string& backend,
                                    CallFailure failure) {
  if (failure == CallFailure::kWithheld) {
    // This front's own decision, which says nothing about the server.
    return;
  }
  const TimePoint now = loop.now();
  pool.RecordFailure(backend, FailureOfCall(failure), now);
  if (failure == CallFailure::kRefused || failure == CallFailure::kBroken) {
    pool.RecordConnectionLost(backend, now);
  }
}

void FrontShared::UpdateMetrics() {
  const TimePoint now = loop.now();
  const ColdLimiter& cold = pool.cold();
  metrics.gauge("sequoialb_cold_backends")
      .Set(static_cast<double>(cold.ColdServers(now)));
  metrics.gauge("sequoialb_cold_backends_held")
      .Set(static_cast<double>(cold.HeldServers(now)));
  Counter& sent = metrics.counter("sequoialb_cold_sends_total");
  sent.Add(cold.sent() - sent.value());
}

void FrontShared::SetUsable(const std::vector<UsableBackend>& usable) {
  pool.SetUsable(usable);
  std::vector<ServerProcess> servers;
  servers.reserve(usable.size());
  for (const UsableBackend& backend : usable) {
    servers.push_back(
        {backend.id, backend.address.ToString(), backend.started_unix_ms});
  }
  crashes.SetServers(servers);
}

void FrontShared::ProbeSuspects() {
  const TimePoint now = loop.now();
  for (const std::string& text : crashes.ProbesDue(now)) {
    const auto address = ParseAddress(text);
    const bool is_evacuated =
        std::any_of(evacuated.begin(), evacuated.end(),
                    [&](const auto& server) { return server.second == text; });
    if (!address || is_evacuated) {
      continue;
    }
    probes.Start(*address, now + kProbeTimeout,
                 [this, text](ProbeResult result) {
                   if (result == ProbeResult::kRefused) {
                     crashes.RecordRefused(text, loop.now());
                   } else if (result == ProbeResult::kAccepted) {
                     crashes.RecordAccepted(text, loop.now());
                   }
                 });
  }
}

}  // namespace sequoialb
