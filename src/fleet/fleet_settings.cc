#include "fleet/fleet_settings.h"

#include <algorithm>

#include "observe/log.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

std::optional<Address> ReadAddress(FieldReader& reader,
                                   const std::string& name) {
  const std::string text = reader.String(name, "");
  if (text.empty()) {
    return std::nullopt;
  }
  auto address = ParseAddress(text);
  if (!address) {
    reader.RecordError(name, address.error().detail);
    return std::nullopt;
  }
  return *address;
}

}  // namespace

std::vector<Address> FleetSettings::seed_peers() const {
  std::vector<Address> peers;
  for (const std::string& seed : seeds) {
    peers.push_back({seed.substr(0, seed.find(':')), peer.port});
  }
  return peers;
}

Result<FleetSettings> ParseFleetSettings(const std::string& text,
                                         const std::string& origin) {
  const auto document = JsonDocument::Parse(text, origin);
  if (!document) {
    return tl::unexpected<Error>(document.error());
  }
  FieldReader reader(*document);
  FleetSettings settings;
  settings.host = reader.String("host");
  settings.failure_domain = reader.String("failure_domain");
  const auto peer = ReadAddress(reader, "peer");
  if (peer) {
    settings.peer = *peer;
  } else {
    reader.RecordError("peer", "expected IP:PORT");
  }
  settings.advertised_peer = ReadAddress(reader, "advertised_peer");
  settings.front = ReadAddress(reader, "front");
  settings.ready = ReadAddress(reader, "ready");
  settings.control = ReadAddress(reader, "control");
  const std::vector<std::string> duties = reader.Strings("duties");
  // Fronts and control hosts are known by their addresses.
  for (const std::string& duty : duties) {
    settings.store = settings.store || duty == "store";
    if (duty != "store" && duty != "front" && duty != "control") {
      reader.RecordError("duties", "has the unknown duty \"" + duty +
                                       "\"; known are control, front, store");
    }
  }
  settings.metrics = ReadAddress(reader, "metrics");
  settings.seeds = reader.Strings("seeds");
  settings.data_folder = reader.String("data_folder", "");
  settings.first_start = reader.Bool("first_start", false);
  settings.tolerated_losses =
      reader.Uint("tolerated_losses", {.min = 0, .max = 3}, 1);
  settings.withdrawal = milliseconds(
      reader.Uint("withdrawal_ms", {.min = 1'500, .max = 600'000}, 5'000));
  settings.stop_grace = std::chrono::duration_cast<milliseconds>(
      FromSeconds(reader.Number("stop_grace_s", 1, 600, 8)));
  settings.memory_limit_mb =
      reader.Uint("memory_limit_mb", {.min = 0, .max = 1'048'576}, 0);
  settings.max_descriptors =
      reader.Uint("max_descriptors", {.min = 0, .max = 10'000'000}, 0);
  settings.cold_excess = reader.Number("cold_excess", 0, 1'000, 1);
  settings.cold_slack = reader.Number("cold_slack", 0, 1'000'000, 0);
  settings.learn_server_speed = reader.Bool("learn_server_speed", false);
  settings.log_level = reader.String("log_level", "info");
  if ((settings.control || settings.store) && settings.data_folder.empty()) {
    reader.RecordError("data_folder",
                       "is required: a control or store host needs a disk");
  }
  if (settings.front && !settings.ready) {
    reader.RecordError(
        "ready",
        "is required: a front needs an address for the load balancer's "
        "readiness checks");
  }
  const auto unknown = reader.FinishIgnoringUnknownFields();
  if (!unknown) {
    return tl::unexpected<Error>(unknown.error());
  }
  for (const std::string& name : *unknown) {
    LogWarn("setting_ignored", {{"name", name}, {"file", origin}});
  }
  return settings;
}

Result<FleetSettings> LoadFleetSettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    return tl::unexpected<Error>(text.error());
  }
  return ParseFleetSettings(*text, path);
}

}  // namespace sequoialb
