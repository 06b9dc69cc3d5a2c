// State of a front's traffic thread: the configuration that it acts on, and the
// objects that its parts share.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/hash.h"
#include "catalog/catalog.h"
#include "fleet/boot_clock.h"
#include "gateway/authority_policy.h"
#include "gateway/backend_pool.h"
#include "gateway/drain_policy.h"
#include "gateway/server_backoff.h"
#include "http/connect_probes.h"
#include "http/http_client.h"
#include "observe/metrics.h"
#include "quarantine/crash_recorder.h"
#include "quarantine/quarantine_list.h"
#include "quarantine/survivor_count.h"
#include "quarantine/trial_grants.h"

namespace sequoialb {

// Returns the failure of a server that a failed call shows.
inline ServerFailure FailureOfCall(CallFailure failure) {
  return IsUnsent(failure) ? ServerFailure::kUnreachable
                           : ServerFailure::kBroken;
}

// The configuration that the traffic thread uses. The control thread replaces
// it as a whole, and never with an older one.
struct FrontView {
  std::shared_ptr<const CatalogIndex> catalog;
  // The front's authority lease, on the clock of BootNow.
  AuthorityStatus authority{BootNow(), TimePoint(), TimePoint()};
  // Set once the front has been told to stop.
  std::optional<DrainSchedule> drain;
  Quarantines quarantines;

  bool draining() const { return drain.has_value(); }

  // Returns whether the front takes a request that ends at `latest_end` at the
  // latest.
  bool TakesRequest(TimePoint received_at, TimePoint latest_end) const {
    return !drain || TakesWhileDraining(*drain, received_at, latest_end);
  }

  // Returns whether the authority lease is valid, so that the front may act on
  // the catalog. Checked just before bytes are sent to a backend server,
  // because the process may have been suspended since an earlier check.
  bool has_authority() const {
    return catalog != nullptr && BootNow() < authority.lease_until;
  }
};

// The objects that all parts of a front's traffic thread share.
struct FrontShared {
  EventLoop& loop;
  Metrics& metrics;
  const GatewayProtocol& protocol;
  HttpClient client;
  FrontView view;
  BackendPool pool;
  CrashRecorder crashes;
  TrialGrants trials;
  SurvivorCount survivors;
  ConnectProbes probes;
  // The addresses of the servers of evacuated failure domains, by server.
  std::map<std::string, std::string> evacuated;

  FrontShared(EventLoop& event_loop, Metrics& all_metrics,
              const GatewayProtocol& gateway_protocol)
      : loop(event_loop),
        metrics(all_metrics),
        protocol(gateway_protocol),
        client(event_loop, all_metrics),
        pool(Hash64(RandomHex(8))),
        probes(event_loop) {}

  // Returns whether a request that was chosen for the server may be sent to it
  // now. Asked when the connection is ready, up to the connect time after the
  // choice, or after a longer suspension of the process.
  bool MaySend(const std::string& backend) const {
    return view.has_authority() && pool.IsUsable(backend);
  }

  // Takes what the head of an answer says about the server that sent it.
  void RecordServerState(const std::string& backend,
                         const BackendAnswer& answer);

  // Records a call to a server that has failed.
  void RecordCallFailure(const std::string& backend, CallFailure failure);

  // Sets the servers that accept work.
  void SetUsable(const std::vector<UsableBackend>& usable);

  // Sets the metrics of the pool. Call once a second.
  void UpdateMetrics();

  // Probes the servers of suspected crashes as far as this is due.
  void ProbeSuspects();
};

}  // namespace sequoialb
