// What the traffic thread of a front goes by: values handed over by the control
// thread, replaced whole, and never older than before.
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

struct FrontView {
  std::shared_ptr<const CatalogIndex> catalog;
  // On the clock of BootNow.
  TimePoint authority_until;
  bool draining = false;

  // True while the catalog may be acted on. Checked just before bytes go to a
  // backend server, because the process may have been suspended meanwhile.
  bool has_authority() const {
    return catalog != nullptr && BootNow() < authority_until;
  }
};

// State that the parts of a front's traffic thread share.
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
