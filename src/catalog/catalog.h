// The whole of what an operator configures, as one document under a rising
// version: services, routes by host and path, client accounts, limits.
//
// Beside the service documents of document/, which change one by one under
// compare-and-set, a deployment may be driven by such whole documents; of two,
// the higher version counts. The document travels and is stored as its author
// wrote it, and each host decodes it once into these types.
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

// What may be done with a request of a route.
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
  // The longest that a caller is kept waiting.
  milliseconds timeout{0};
  // Until the answer, or a stream's first event.
  milliseconds objective{0};
  // The longest pause between events of a stream that is in time; 0 when the
  // route has none.
  milliseconds gap_target{0};
  // 0 is the most urgent.
  int priority = 0;
  // Backend servers that one request may be sent to.
  uint32_t attempts = 1;
  // Needs no key.
  bool open = false;
  // A broken stream may go on at another backend server.
  bool resumable = false;
  // Batch jobs: from submission until results are due, and until an item may
  // be given up.
  milliseconds due{0};
  milliseconds give_up{0};
  // Tokens of an account that may wait on this route; 0 is no limit.
  uint64_t token_cap = 0;
};

struct CatalogService {
  std::string name;
  std::string health_path;
  uint32_t max_connections = 0;
  uint32_t slots = 0;
};

struct Account {
  std::string name;
  std::vector<std::string> keys;
  // Goes before the route's when present.
  std::optional<int> priority;
  // Requests a second and burst; a rate of 0 is no limit.
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

// Checks what a decoder cannot: unknown services, two routes in one place,
// weights of nothing, no time limit, a key of two accounts. Fails with
// kInvalidField, naming the place.
Status CheckCatalog(const Catalog& catalog);

// A catalog with its look-ups; immutable once built.
class CatalogIndex {
 public:
  explicit CatalogIndex(Catalog catalog);

  // Returns the route of the host with the longest prefix of `path`, or
  // nullptr.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Account* FindAccount(const std::string& key) const;
  const Account* AccountNamed(const std::string& name) const;
  const Catalog& catalog() const { return catalog_; }
  uint64_t version() const { return catalog_.version; }

 private:
  Catalog catalog_;
  // Longest prefixes first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, const Account*> by_key_;
};

// Picks a target by weight from a draw in [0, 1).
const std::string& PickTarget(const Route& route, double draw);

}  // namespace sequoialb
