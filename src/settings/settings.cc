#include "settings/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

#include "base/check.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr uint64_t kMaxPort = 65'535;
constexpr uint64_t kMaxTimeoutMs = 600'000;

bool IsIpAddress(const std::string& ip) {
  in6_addr buffer{};
  return inet_pton(AF_INET, ip.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), &buffer) == 1;
}

Address ReadAddress(FieldReader& reader, const std::string& name) {
  const std::string text = reader.String(name);
  const Result<Address> address = ParseAddress(text);
  if (!address) {
    reader.RecordError(name, address.error().detail);
    return {};
  }
  return *address;
}

HostEntry ReadHostEntry(FieldReader& reader) {
  HostEntry entry;
  entry.host = reader.String("host");
  entry.failure_domain = reader.String("failure_domain");
  entry.peer = ReadAddress(reader, "peer");
  entry.http = ReadAddress(reader, "http");
  entry.replica = reader.Bool("replica", false);
  entry.curve_public_key = reader.String("curve_public_key", "");
  reader.RejectUnknownFields();
  return entry;
}

HttpLimits ReadLimits(FieldReader reader) {
  HttpLimits limits;
  limits.max_connections = static_cast<uint32_t>(
      reader.Uint("max_connections", {1, 100'000}, limits.max_connections));
  limits.max_body_bytes =
      reader.Uint("max_body_bytes", {1024, 64U << 20U}, limits.max_body_bytes);
  limits.max_file_bytes =
      reader.Uint("max_file_bytes", {1024, 1ULL << 40U}, limits.max_file_bytes);
  limits.read_timeout = milliseconds(
      reader.Uint("read_timeout_ms", {100, kMaxTimeoutMs},
                  static_cast<uint64_t>(limits.read_timeout.count())));
  reader.RejectUnknownFields();
  return limits;
}

Policies ReadPolicies(FieldReader reader) {
  const std::vector<RatePolicy> rates = {OwnerGrants{}, StaticShares{},
                                         AskOwner{}};
  const std::vector<DispatchPolicy> dispatch = {OnlineFirst{}, FixedReserve{},
                                                FirstCome{}};
  const std::vector<RoutingPolicy> routing = {
      ExpectedFirstToken{}, PrefixAffinity{}, LeastInFlight{},
      LeastReported{},      RoundRobin{},     RandomChoice{}};
  Policies policies;
  policies.rates = rates[reader.OneOf(
      "rates", {"owner_grants", "static_shares", "ask_owner"}, 0)];
  policies.dispatch = dispatch[reader.OneOf(
      "dispatch", {"online_first", "fixed_reserve", "first_come"}, 0)];
  policies.routing = routing[reader.OneOf(
      "routing",
      {"expected_first_token", "prefix_affinity", "least_in_flight",
       "least_reported", "round_robin", "random"},
      0)];
  reader.RejectUnknownFields();
  return policies;
}

void CheckHosts(FieldReader& reader, const Settings& settings) {
  std::set<std::string> names;
  for (const HostEntry& entry : settings.hosts) {
    if (!names.insert(entry.host).second) {
      reader.RecordError("hosts",
                         "lists the host \"" + entry.host + "\" twice");
    }
  }
  const HostEntry* self = settings.Find(settings.host);
  if (self == nullptr) {
    reader.RecordError("hosts",
                       "has no entry for this host; add one with \"host\": \"" +
                           settings.host + "\"");
    return;
  }
  if (self->failure_domain != settings.failure_domain) {
    reader.RecordError(
        "failure_domain",
        "differs from this host's entry in \"hosts\", which says \"" +
            self->failure_domain + "\"");
  }
  const bool curve_enabled = !settings.curve_secret_key_file.empty();
  for (const HostEntry& entry : settings.hosts) {
    if (curve_enabled && entry.curve_public_key.size() != 40) {
      reader.RecordError(
          "hosts", "entry \"" + entry.host +
                       "\" needs a curve_public_key of 40 characters, because "
                       "curve_secret_key_file is set");
    }
  }
}

void CheckTls(FieldReader& reader, const Settings& settings) {
  const bool has_certificate = !settings.tls_certificate.empty();
  const bool has_key = !settings.tls_private_key.empty();
  if (has_certificate != has_key) {
    reader.RecordError("tls", "needs both \"certificate\" and \"private_key\"");
  }
  for (const std::string& path :
       {settings.tls_certificate, settings.tls_private_key,
        settings.curve_secret_key_file}) {
    if (!path.empty() && !std::ifstream(path).good()) {
      reader.RecordError(path == settings.curve_secret_key_file
                             ? "curve_secret_key_file"
                             : "tls",
                         "cannot read the file " + path);
    }
  }
}

}  // namespace

Result<Address> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorCode::kInvalidField,
                "expected IP:PORT, such as \"10.0.0.4:8080\"");
  }
  Address address;
  address.ip = text.substr(0, colon);
  uint32_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  const bool port_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                          port >= 1 && port <= kMaxPort;
  if (!port_valid || !IsIpAddress(address.ip)) {
    return Fail(ErrorCode::kInvalidField,
                "expected IP:PORT, such as \"10.0.0.4:8080\"");
  }
  address.port = static_cast<uint16_t>(port);
  return address;
}

const HostEntry* Settings::Find(const std::string& name) const {
  const auto found =
      std::find_if(hosts.begin(), hosts.end(),
                   [&name](const HostEntry& e) { return e.host == name; });
  return found == hosts.end() ? nullptr : &*found;
}

std::vector<std::string> Settings::replica_hosts() const {
  std::vector<std::string> names;
  for (const HostEntry& entry : hosts) {
    if (entry.replica) {
      names.push_back(entry.host);
    }
  }
  return names;
}

const HostEntry& Settings::self() const {
  const HostEntry* entry = Find(host);
  SEQ_CHECK(entry != nullptr, "no entry in \"hosts\" for host " << host);
  return *entry;
}

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& origin) {
  const Result<JsonDocument> document = JsonDocument::Parse(text, origin);
  if (!document) {
    return tl::unexpected<Error>(document.error());
  }
  FieldReader reader(*document);
  Settings settings;
  settings.host = reader.String("host");
  settings.failure_domain = reader.String("failure_domain");
  settings.data_folder = reader.String("data_folder");
  settings.http = ReadAddress(reader, "http");
  settings.http_limits = ReadLimits(reader.Object("http_limits"));
  FieldReader tls = reader.Object("tls");
  settings.tls_certificate = tls.String("certificate", "");
  settings.tls_private_key = tls.String("private_key", "");
  tls.RejectUnknownFields();
  settings.curve_secret_key_file = reader.String("curve_secret_key_file", "");
  for (FieldReader& entry : reader.Objects("hosts")) {
    settings.hosts.push_back(ReadHostEntry(entry));
  }
  settings.operator_token_sha256 = reader.String("operator_token_sha256", "");
  settings.backend_token_sha256 = reader.String("backend_token_sha256", "");
  const std::vector<std::string> levels = {"trace", "debug", "info", "warn",
                                           "error"};
  settings.log_level = levels[reader.OneOf("log_level", levels, 2)];
  settings.test_hooks = reader.Bool("test_hooks", false);
  settings.batch_concurrency = static_cast<uint32_t>(
      reader.Uint("batch_concurrency", {1, 4096}, settings.batch_concurrency));
  settings.retention =
      milliseconds(1000 * reader.Uint("retention_s", {1, 31'536'000}, 86'400));
  settings.snapshot_entries = reader.Uint("snapshot_entries", {10, 10'000'000},
                                          settings.snapshot_entries);
  settings.policies = ReadPolicies(reader.Object("policies"));
  CheckHosts(reader, settings);
  CheckTls(reader, settings);
  const Status status = reader.Finish();
  if (!status) {
    return tl::unexpected<Error>(status.error());
  }
  return settings;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::kIo, path + ": " + std::strerror(errno));
  }
  std::ostringstream out;
  out << file.rdbuf();
  return out.str();
}

Result<Settings> LoadSettings(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!text) {
    return tl::unexpected<Error>(text.error());
  }
  return ParseSettings(*text, path);
}

}  // namespace sequoialb
