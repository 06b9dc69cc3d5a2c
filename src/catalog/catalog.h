// The catalog: an operator's whole configuration as one versioned document,
// with services, routes by host and path, client accounts and limits.
//
// Besides the service documents of document/, which are changed one by one by
// compare-and-set, a deployment can be configured by catalogs; of two catalogs,
// the one with the higher version counts. A catalog is sent and stored in its
// author's encoding, and each host decodes it once into these types.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb {

// How the requests of a route may be executed.
enum class RouteKind : uint8_t {
  kIdempotent,
  // Runs at most once.
  kOnce,
  // Answered as a stream of events.
  kStream,
  // Submits batch jobs.
  kBatch,
};

struct RouteTarget {
  std::string service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kOnce;
  std::vector<RouteTarget> targets;
  // The longest time that a caller is kept waiting.
  milliseconds timeout{0};
  // The target time until the answer, or until a stream's first event.
  milliseconds latency_target{0};
  // The target for the longest pause between two events of a stream; 0 when the
  // route has none.
  milliseconds gap_target{0};
  // 0 is the most urgent.
  int priority = 0;
  // How many backend servers one request may be sent to.
  uint32_t attempts = 1;
  // Requests need no API key.
  bool open = false;
  // A broken stream may be resumed on another backend server.
  bool resumable = false;
  // For batch jobs: the time from submission until the results are due, and
  // until an unfinished item may be abandoned.
  milliseconds due{0};
  milliseconds max_wait{0};
  // How many tokens of an account may wait on this route; 0 means no limit.
  uint64_t token_cap = 0;
};

struct CatalogService {
  std::string name;
  std::string health_path;
  uint32_t max_connections = 0;
  uint32_t slots = 0;
  // How long a server is cold after its start, and how many requests a second
  // it then bears; a rate of 0 means no limit.
  milliseconds cold_duration{0};
  double cold_rate = 0;
  // How many tokens a server's memory holds; 0 if unknown.
  uint64_t token_capacity = 0;
};

struct Account {
  std::string name;
  std::vector<std::string> keys;
  // Overrides the route's priority when set.
  std::optional<int> priority;
  // Requests per second, and burst; a rate of 0 means no limit.
  double rate = 0;
  double burst = 0;
};

struct CallerLimits {
  size_t max_header_bytes = 16'384;
  size_t max_body_bytes = 4U << 20U;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

struct Catalog {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<CatalogService> services;
  std::vector<Account> accounts;
  CallerLimits limits;
};

// Checks what a decoder cannot: empty or duplicate names, unknown services, two
// routes with the same host and prefix, target weights that add up to 0, a
// missing timeout, a key of two accounts. Fails with kInvalidField, naming the
// route, service or account.
Status CheckCatalog(const Catalog& catalog);

// Looks up the routes and accounts of a catalog. Immutable once built.
class CatalogIndex {
 public:
  explicit CatalogIndex(Catalog catalog);

  // Returns the host's route with the longest path prefix that `path` starts
  // with, or nullptr.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the routes of a host, those with longer path prefixes first.
  std::vector<const Route*> RoutesOf(std::string_view host) const;
  const Account* FindAccount(const std::string& key) const;
  const Account* AccountNamed(const std::string& name) const;
  const Catalog& catalog() const { return catalog_; }
  uint64_t version() const { return catalog_.version; }

 private:
  Catalog catalog_;
  // The routes of each host, longest path prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, const Account*> by_key_;
};

// Picks a target with a probability in proportion to its weight. `draw` is a
// random number in [0, 1).
const std::string& PickTarget(const Route& route, double draw);

}  // namespace sequoialb
