// Orders to backend servers: load a model, an adapter or a version, or change
// role.
//
// An order is recorded before it is sent; its position in the log is its
// fencing number. Servers that check the number refuse a late order of a lost
// host. For those that do not, three rules together keep a late order away: the
// next order is recorded only when this one has finished or its holder's lease
// is over; a holder sends only while enough of its lease is left for the
// answer; and the call ends with the lease at the latest.
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

// Sends an order to a backend server that this host's dispatcher knows. `body`
// is the JSON object of the order; its fencing number is added here.
Result<OrderOutcome> SendOrder(Host& host, const std::string& order_id,
                               const std::string& backend,
                               const std::string& body);

}  // namespace sequoialb
