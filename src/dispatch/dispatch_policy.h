// The ways in which online and batch requests share the slots of the backend
// servers.
#pragma once

#include <variant>

namespace sequoialb {

// Online requests come first; batch fills what is left but for a headroom, and
// is revoked when an online request finds no free slot.
struct OnlineFirst {
  // Share of a server's slots that batch leaves free for sudden online work.
  double headroom = 0.25;
};

// Baseline: a fixed share of the slots belongs to batch, nothing is revoked.
struct FixedReserve {
  double batch_share = 0.5;
};

// Baseline: first come, first served, without regard to class or account.
struct FirstCome {};

using DispatchPolicy = std::variant<OnlineFirst, FixedReserve, FirstCome>;

}  // namespace sequoialb
