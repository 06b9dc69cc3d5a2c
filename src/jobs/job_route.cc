#include "jobs/job_route.h"

namespace sequoialb {
namespace {

const Route* FindBatchRoute(const CatalogIndex& catalog,
                            const std::string& host, std::string_view path) {
  for (const Route* route : catalog.RoutesOf(host)) {
    if (route->kind == RouteKind::kBatch &&
        path.substr(0, route->path_prefix.size()) == route->path_prefix) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace

const Route* FindJobRoute(const CatalogIndex& catalog, const JobRoute& job,
                          std::string_view item_path) {
  if (job.path_prefix.empty()) {
    return FindBatchRoute(catalog, job.host, item_path);
  }
  const Route* moved = nullptr;
  for (const Route* route : catalog.RoutesOf(job.host)) {
    if (route->path_prefix == job.path_prefix) {
      return route;
    }
    if (route->kind == RouteKind::kBatch && route->name == job.name) {
      moved = route;
    }
  }
  return moved;
}

}  // namespace sequoialb
