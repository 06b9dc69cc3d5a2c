// Policies by which online and batch requests share the slots of the backend
// servers.
#pragma once

#include <variant>

namespace sequoialb {

// Online requests have priority. Batch requests use the remaining slots except
// for a headroom, and are revoked when an online request finds no free slot.
struct OnlineFirst {
  // Share of a server's slots that batch leaves free for sudden online load.
  double headroom = 0.25;
};

// Baseline: a fixed share of the slots is reserved for batch, nothing is
// revoked.
struct FixedReserve {
  double batch_share = 0.5;
};

// Baseline: first come, first served, without regard to class or account.
struct FirstCome {};

using DispatchPolicy = std::variant<OnlineFirst, FixedReserve, FirstCome>;

}  // namespace sequoialb
