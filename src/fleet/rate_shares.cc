#include "fleet/rate_shares.h"

#include <set>

namespace sequoialb {
namespace {

// Part of a rate that is divided equally, whatever the demand.
constexpr double kEqualPart = 0.25;

}  // namespace

std::map<std::string, double> SharesOf(const std::string& host,
                                       const std::vector<HostDemand>& hosts) {
  std::map<std::string, double> totals;
  const HostDemand* own = nullptr;
  for (const HostDemand& demand : hosts) {
    for (const auto& [account, per_s] : demand.per_s) {
      totals[account] += per_s;
    }
    own = demand.host == host ? &demand : own;
  }
  std::map<std::string, double> shares;
  if (own == nullptr) {
    return shares;
  }
  const double equal = 1.0 / static_cast<double>(hosts.size());
  for (const auto& [account, total] : totals) {
    const auto found = own->per_s.find(account);
    const double mine = found == own->per_s.end() ? 0 : found->second;
    shares[account] =
        total <= 0 ? equal
                   : kEqualPart * equal + (1 - kEqualPart) * mine / total;
  }
  return shares;
}

}  // namespace sequoialb
