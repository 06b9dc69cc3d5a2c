// State of a front's traffic thread: the configuration that it acts on, and the
// objects that its parts share.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/hash.h"
#include "catalog/catalog.h"
#include "fleet/boot_clock.h"
#include "gateway/backend_pool.h"
#include "http/http_client.h"
#include "observe/metrics.h"

namespace sequoialb {

// What the traffic thread knows of the configuration. The control thread hands
// each value over as a whole, and never an older one than before.
struct FrontView {
  std::shared_ptr<const CatalogIndex> catalog;
  // When the front's authority lease ends, on the clock of BootNow.
  TimePoint authority_until;
  bool draining = false;

  // Returns whether the authority lease is valid, so that the front may act on
  // the catalog. Checked just before bytes are sent to a backend server,
  // because the process may have been suspended since an earlier check.
  bool has_authority() const {
    return catalog != nullptr && BootNow() < authority_until;
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

  FrontShared(EventLoop& event_loop, Metrics& all_metrics,
              const GatewayProtocol& gateway_protocol)
      : loop(event_loop),
        metrics(all_metrics),
        protocol(gateway_protocol),
        client(event_loop, all_metrics),
        pool(Hash64(RandomHex(8))) {}
};

}  // namespace sequoialb
