// Sends orders to backend servers: load a model, an adapter or a version, or
// change role.
//
// An order is recorded in the replicated log before it is sent; its log index
// is its fencing number. Servers that check this number reject a late order
// from a failed host. For servers that do not, three rules together prevent
// late orders: the next order is recorded only when the previous one has
// finished or its holder's lease has expired; a holder sends an order only
// while enough of its lease is left for the response; and the call times out
// when the lease ends at the latest.
#pragma once

#include <string>

#include "base/error.h"
#include "host/host.h"

namespace sequoialb {

struct OrderOutcome {
  uint64_t fencing = 0;
  int http_status = 0;
  std::string body;
};

// Records an order and sends it to a backend server that this host dispatches
// for. `body` is the JSON object of the order; the order ID and the fencing
// number are added to it.
Result<OrderOutcome> SendOrder(Host& host, const std::string& order_id,
                               const std::string& backend,
                               const std::string& body);

}  // namespace sequoialb
