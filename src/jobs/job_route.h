// Finds the route of a batch job in a later catalog than the one that accepted
// the job.
//
// An item runs at a server of its job's route. The paths of items do not select
// a route: they may lie under another route's prefix, which may be added while
// the job waits, or under none. Pure functions.
#pragma once

#include <string>
#include <string_view>

#include "catalog/catalog.h"

namespace sequoialb {

// What a job keeps of the route that accepted it.
struct JobRoute {
  std::string host;
  // Empty for jobs that earlier versions have stored.
  std::string path_prefix;
  std::string name;
};

// Returns the job's route, or nullptr when it has ended. A route is the one
// with the same host and prefix, whatever else has changed, or else the batch
// route of the host with the same name, whose prefix has changed.
//
// Of a job without a prefix only the host and the paths of its items are known.
// Its route is the batch route of the host with the longest prefix of the path.
const Route* FindJobRoute(const CatalogIndex& catalog, const JobRoute& job,
                          std::string_view item_path);

}  // namespace sequoialb
