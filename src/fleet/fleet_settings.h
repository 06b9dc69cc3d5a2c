// Settings of one host in a deployment whose hosts discover each other.
//
// The settings contain the host's own addresses and roles and the addresses of
// a few control hosts (seeds). The host receives everything else from the
// control hosts. The file is JSON with comments and is checked at start.
// Unknown fields are ignored and logged, so that an older program starts with
// newer settings.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "settings/settings.h"

namespace sequoialb {

struct FleetSettings {
  std::string host;
  std::string failure_domain;
  // Listening address for links between hosts.
  Address peer;
  // The address at which other hosts reach `peer`, if `peer` is behind a
  // forwarder.
  std::optional<Address> advertised_peer;
  // Listening addresses for callers and for the load balancer's readiness
  // checks. A host with these is a front.
  std::optional<Address> front;
  std::optional<Address> ready;
  // Listening address for operators and backend servers. A host with this is a
  // control host.
  std::optional<Address> control;
  // The host stores batch jobs: it is a store host.
  bool store = false;
  std::optional<Address> metrics;
  // Addresses of some control hosts. Their links use the same port as `peer`.
  std::vector<std::string> seeds;
  // Empty on a host without a disk.
  std::string data_folder;
  // The whole deployment starts for the first time.
  bool first_start = false;
  // Number of hosts with a disk that may be lost at the same time.
  size_t tolerated_losses = 1;
  // An API key must stop working within this time after its withdrawal.
  milliseconds withdrawal{5'000};
  // Time from the stop signal until the process is killed.
  milliseconds stop_grace{8'000};
  // Memory that the process may use, and its file descriptors; 0 if unknown.
  uint64_t memory_limit_mb = 0;
  uint64_t max_descriptors = 0;
  // All hosts together may send a cold server its cold rate times `cold_excess`
  // plus `cold_slack` requests in any second.
  double cold_excess = 1;
  double cold_slack = 0;
  // Learn from observations how much each server takes well. Off by default:
  // where servers are alike, learned weights made more callers late
  // (docs/design/server-speed.md).
  bool learn_server_speed = false;
  std::string log_level = "info";

  std::vector<Address> seed_peers() const;
};

// Parses and validates settings. Errors name `origin`, such as a file name.
Result<FleetSettings> ParseFleetSettings(const std::string& text,
                                         const std::string& origin);
Result<FleetSettings> LoadFleetSettings(const std::string& path);

}  // namespace sequoialb
