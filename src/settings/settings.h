// The settings of one host process, read once at start.
//
// The settings file states the addresses of the process, its failure domain and
// the other hosts. Everything that teams change while the process serves
// traffic is in the service documents instead (see
// document/service_document.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "dispatch/dispatch_policy.h"
#include "rates/rate_policy.h"
#include "routing/routing_policy.h"

namespace sequoialb {

// An IP address and a TCP port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// Parses "IP:PORT". Host names are rejected, because addresses are always given
// numerically.
Result<Address> ParseAddress(const std::string& text);

// One host of the deployment; this host has an entry too.
struct HostEntry {
  std::string host;
  std::string failure_domain;
  Address peer;
  Address http;
  // Whether the host stores the replicated state on its disk.
  bool replica = false;
  // The host's CURVE public key in Z85 encoding; empty if links between hosts
  // are not encrypted.
  std::string curve_public_key;
};

struct HttpLimits {
  uint32_t max_connections = 512;
  uint64_t max_body_bytes = 1U << 20U;
  uint64_t max_file_bytes = 1ULL << 30U;
  milliseconds read_timeout{10'000};
};

struct Policies {
  RatePolicy rates = OwnerGrants{};
  DispatchPolicy dispatch = OnlineFirst{};
  RoutingPolicy routing = ExpectedFirstToken{};
};

struct Settings {
  std::string host;
  std::string failure_domain;
  std::string data_folder;
  Address http;
  HttpLimits http_limits;
  // Paths of PEM files; both empty for plain HTTP.
  std::string tls_certificate;
  std::string tls_private_key;
  // Path of this host's CURVE secret key; empty if links between hosts are not
  // encrypted.
  std::string curve_secret_key_file;
  std::vector<HostEntry> hosts;
  // Whether hosts may be added at run time. Messages are then accepted from any
  // host, whether it has an entry or not.
  bool open_membership = false;
  // The address to accept links from other hosts on, if it differs from `peer`
  // in this host's entry.
  std::optional<Address> peer_listen;
  // SHA-256 of the token with which operators authenticate.
  std::string operator_token_sha256;
  // SHA-256 of the token with which backend servers authenticate their
  // announcements; if empty, any server of the failure domain is accepted.
  std::string backend_token_sha256;
  std::string log_level = "info";
  // Enables the test-only endpoints that interrupt links between hosts.
  bool test_hooks = false;
  // The maximum number of batch requests that this host has in flight.
  uint32_t batch_concurrency = 64;
  // How long records of finished work can be read.
  milliseconds retention{seconds(86'400)};
  // Log entries between two snapshots of the replicated state.
  uint64_t snapshot_entries = 50'000;
  Policies policies;

  // Returns the entry of this host itself.
  const HostEntry& self() const;
  // Returns the hosts that store the replicated state.
  std::vector<std::string> replica_hosts() const;
  // Returns the entry of a host, or nullptr.
  const HostEntry* Find(const std::string& name) const;
};

// Parses and checks the text of a settings file. Errors begin with `origin`,
// the name of the file.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& origin);

// Reads and checks a settings file.
Result<Settings> LoadSettings(const std::string& path);

// Reads a whole file; fails with kIo and the system's reason.
Result<std::string> ReadFile(const std::string& path);

}  // namespace sequoialb
