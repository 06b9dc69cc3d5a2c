// The settings of one host process, read once at start.
//
// A process learns its addresses, its failure domain and the other hosts from
// this file; everything that teams change while traffic runs lives in the
// service documents instead (see document/service_document.h).
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

// An IP number and a TCP port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// Parses "IP:PORT". Host names are refused: addresses come as IP numbers.
Result<Address> ParseAddress(const std::string& text);

// Another host of the deployment, or this one.
struct HostEntry {
  std::string host;
  std::string failure_domain;
  Address peer;
  Address http;
  // Keeps the replicated state on its disk.
  bool replica = false;
  // Z85 text of the host's CURVE public key; empty when links are in the clear.
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
  // Path of this host's CURVE secret key; empty when links are in the clear.
  std::string curve_secret_key_file;
  std::vector<HostEntry> hosts;
  // Hosts are learned while running, and messages of any host are taken.
  bool open_membership = false;
  // Where links are listened for, if not at this host's own entry.
  std::optional<Address> peer_listen;
  // SHA-256 of the token that operators show.
  std::string operator_token_sha256;
  // SHA-256 of the token that backend servers show when they announce
  // themselves; empty lets any server of the domain in.
  std::string backend_token_sha256;
  std::string log_level = "info";
  // Allows the test-only endpoints that cut links.
  bool test_hooks = false;
  // Batch requests that this host keeps in flight at the most.
  uint32_t batch_concurrency = 64;
  // Records of finished work stay readable for this long.
  milliseconds retention{seconds(86'400)};
  // Log entries between two snapshots of the replicated state.
  uint64_t snapshot_entries = 50'000;
  Policies policies;

  // Returns the entry of this host itself.
  const HostEntry& self() const;
  // Returns the hosts that keep the replicated state.
  std::vector<std::string> replica_hosts() const;
  // Returns the entry of a host, or nullptr.
  const HostEntry* Find(const std::string& name) const;
};

// Parses and checks the text of a settings file. `origin` is named in errors.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& origin);

// Reads and checks a settings file.
Result<Settings> LoadSettings(const std::string& path);

// Reads a whole file; fails with kIo and the system's reason.
Result<std::string> ReadFile(const std::string& path);

}  // namespace sequoialb
