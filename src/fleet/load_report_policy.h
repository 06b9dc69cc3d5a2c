// Decides which hosts get a front's load reports.
//
// Load pattern: in a deployment of hundreds of fronts, requests start and end
// at each front many times a second. If every front reported to every other
// one, messages would grow with the square of the number of fronts, and nearly
// all of them would cross failure domains. A front's own reports therefore stay
// in its failure domain, whose servers its fronts share. One front of each
// domain, the relay, adds them up and exchanges the sums with the relays of the
// other domains, which pass them on to their fronts. Servers of other domains
// are used only when those of the own domain are full, so the extra hops matter
// less there. While a relay is down, its domain knows no more of the others
// than what the servers report, until the next live front takes over.
//
// Pure functions of the live fronts, which all fronts learn from the same
// source.
#pragma once

#include <string>
#include <vector>

#include "proto/fleet.pb.h"

namespace sequoialb {

using LiveFronts = google::protobuf::RepeatedPtrField<proto::LiveFront>;

// The fronts of the failure domain of `self`, without `self`.
std::vector<std::string> DomainPeers(const LiveFronts& fronts,
                                     const proto::LiveFront& self);

// Returns whether `self` is the relay of its failure domain.
bool IsRelay(const LiveFronts& fronts, const proto::LiveFront& self);

// The relays of all failure domains but that of `self`.
std::vector<std::string> RemoteRelays(const LiveFronts& fronts,
                                      const proto::LiveFront& self);

}  // namespace sequoialb
