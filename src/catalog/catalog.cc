#include "catalog/catalog.h"

#include <algorithm>
#include <set>

namespace sequoialb {
namespace {

tl::unexpected<Error> Invalid(const std::string& place,
                              const std::string& problem) {
  return Fail(ErrorCode::kInvalidField, place + ": " + problem);
}

Status CheckRoute(const Route& route, const std::set<std::string>& services) {
  const std::string place = "route " + route.name;
  if (route.host.empty() || route.path_prefix.empty() ||
      route.path_prefix.front() != '/' || route.path_prefix.back() != '/') {
    return Invalid(
        place,
        "needs a host and a path prefix that begins and ends with a slash");
  }
  if (route.timeout <= milliseconds(0)) {
    return Invalid(place, "the timeout must be greater than 0");
  }
  uint64_t weights = 0;
  for (const RouteTarget& target : route.targets) {
    if (services.count(target.service) == 0) {
      return Invalid(place, "unknown service " + target.service);
    }
    weights += target.weight;
  }
  if (weights == 0) {
    return Invalid(place, "the target weights add up to 0");
  }
  return {};
}

}  // namespace

Status CheckCatalog(const Catalog& catalog) {
  std::set<std::string> services;
  for (const CatalogService& service : catalog.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return Invalid("service " + service.name,
                     "the name is empty or already in use");
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : catalog.routes) {
    Status checked = CheckRoute(route, services);
    if (!checked) {
      return checked;
    }
    if (!places.emplace(route.host, route.path_prefix).second) {
      return Invalid("route " + route.name,
                     "another route has the same host and prefix");
    }
  }
  std::set<std::string> keys;
  std::set<std::string> names;
  for (const Account& account : catalog.accounts) {
    if (account.name.empty() || !names.insert(account.name).second) {
      return Invalid("account " + account.name,
                     "the name is empty or already in use");
    }
    std::set<std::string> own;
    for (const std::string& key : account.keys) {
      if (own.insert(key).second && !keys.insert(key).second) {
        return Invalid("account " + account.name,
                       "another account has the same key");
      }
    }
  }
  return {};
}

CatalogIndex::CatalogIndex(Catalog catalog) : catalog_(std::move(catalog)) {
  for (const Route& route : catalog_.routes) {
    by_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const Account& account : catalog_.accounts) {
    for (const std::string& key : account.keys) {
      by_key_[key] = &account;
    }
  }
}

std::vector<const Route*> CatalogIndex::RoutesOf(std::string_view host) const {
  const auto found = by_host_.find(std::string(host));
  return found == by_host_.end() ? std::vector<const Route*>() : found->second;
}

const Route* CatalogIndex::FindRoute(std::string_view host,
                                     std::string_view path) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (path.substr(0, route->path_prefix.size()) == route->path_prefix) {
      return route;
    }
  }
  return nullptr;
}

const Account* CatalogIndex::FindAccount(const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const Account* CatalogIndex::AccountNamed(const std::string& name) const {
  for (const Account& account : catalog_.accounts) {
    if (account.name == name) {
      return &account;
    }
  }
  return nullptr;
}

const std::string& PickTarget(const Route& route, double draw) {
  uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  double left = draw * static_cast<double>(total);
  for (const RouteTarget& target : route.targets) {
    if (left < target.weight) {
      return target.service;
    }
    left -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace sequoialb
