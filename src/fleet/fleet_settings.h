// Settings of a host in a deployment that finds its members by itself.
//
// A host knows its own addresses and duties and the addresses of a few control
// hosts; all else it learns. JSON with comments, checked at start; fields that
// it does not know are ignored and logged, so that newer settings start an
// older program.
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
  // Links between hosts.
  Address peer;
  // Where other hosts reach `peer`, if that is behind a forwarder.
  std::optional<Address> advertised_peer;
  // Callers, and the balancer's question whether the host takes them; a host
  // with these is a front.
  std::optional<Address> front;
  std::optional<Address> ready;
  // Operators and backend servers; a host with this is a control host.
  std::optional<Address> control;
  // Keeps batch jobs.
  bool store = false;
  std::optional<Address> metrics;
  // Some control hosts; their links have the port of this host's.
  std::vector<std::string> seeds;
  // Empty on a host without a disk.
  std::string data_folder;
  // The whole deployment starts for the first time.
  bool first_start = false;
  // Hosts with a disk that may be lost at once.
  size_t tolerated_losses = 1;
  // A withdrawn key must not work for longer than this after its withdrawal.
  milliseconds withdrawal{5'000};
  // From the signal to stop until the process is killed.
  milliseconds stop_grace{8'000};
  std::string log_level = "info";

  std::vector<Address> seed_peers() const;
};

// Parses and checks a settings text; `origin` is named in errors.
Result<FleetSettings> ParseFleetSettings(const std::string& text,
                                         const std::string& origin);
Result<FleetSettings> LoadFleetSettings(const std::string& path);

}  // namespace sequoialb
