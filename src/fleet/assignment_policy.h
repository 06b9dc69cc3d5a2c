// Decides among which fronts the backend servers of each failure domain are
// assigned.
//
// Load pattern: callers are spread over the fronts of all failure domains.
// While the servers of one domain are evacuated, its fronts still get their
// share of the callers and of the batch items, and need servers whose load they
// know as well as other fronts do. Pure functions; all fronts that know the
// same fronts and servers get the same result.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "proto/fleet.pb.h"

namespace sequoialb {

// Returns for each domain of `server_domains` that is not evacuated the fronts
// to which its servers are assigned in turn: the fronts of the domain, or all
// fronts if it has none. The fronts of evacuated domains are dealt out to the
// domains that have fronts.
inline std::map<std::string, std::vector<std::string>> AssignableFronts(
    const std::vector<proto::LiveFront>& live_fronts,
    const std::set<std::string>& server_domains,
    const std::set<std::string>& evacuated) {
  std::map<std::string, std::vector<std::string>> fronts;
  for (const std::string& domain : server_domains) {
    if (evacuated.count(domain) == 0) {
      fronts[domain];
    }
  }
  std::vector<std::string> all;
  for (const proto::LiveFront& front : live_fronts) {
    all.push_back(front.host());
    const auto own = fronts.find(front.failure_domain());
    if (own != fronts.end()) {
      own->second.push_back(front.host());
    }
  }
  std::vector<std::vector<std::string>*> with_fronts;
  for (auto& [domain, own] : fronts) {
    if (own.empty()) {
      own = all;
    } else {
      with_fronts.push_back(&own);
    }
  }
  size_t next = 0;
  for (const proto::LiveFront& front : live_fronts) {
    if (evacuated.count(front.failure_domain()) > 0 && !with_fronts.empty()) {
      with_fronts[next++ % with_fronts.size()]->push_back(front.host());
    }
  }
  return fronts;
}

}  // namespace sequoialb
