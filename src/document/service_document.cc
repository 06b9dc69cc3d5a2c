#include "document/service_document.h"

#include <algorithm>
#include <set>

#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr double kMaxRate = 1e6;
constexpr uint64_t kMaxWindowS = 604'800;

AccountEntry ReadAccount(FieldReader& reader) {
  AccountEntry entry;
  entry.account = reader.String("account");
  entry.rate = reader.Number("rate_per_s", 0.001, kMaxRate);
  entry.burst = reader.Number("burst", 1, kMaxRate);
  entry.weight = reader.Number("weight", 0.01, 1000, 1.0);
  if (entry.account.empty()) {
    reader.RecordError("account", "must not be empty");
  }
  reader.RejectUnknownFields();
  return entry;
}

Route ReadRoute(FieldReader& reader) {
  Route route;
  route.prefix = reader.String("prefix");
  route.idempotent = reader.Bool("idempotent", true);
  route.open = reader.Bool("open", false);
  const bool reserved = route.prefix.rfind("/v1/", 0) == 0 ||
                        route.prefix.rfind("/admin", 0) == 0;
  if (route.prefix.size() < 2 || route.prefix.front() != '/' || reserved) {
    reader.RecordError(
        "prefix",
        "expected a path such as \"/quotes\" outside /v1/ and /admin");
  }
  reader.RejectUnknownFields();
  return route;
}

ModelEntry ReadModel(FieldReader& reader) {
  ModelEntry model;
  model.name = reader.String("name");
  model.version = reader.String("version", "1");
  model.adapters = reader.Strings("adapters");
  reader.RejectUnknownFields();
  return model;
}

void ReadLimits(FieldReader reader, ServiceDocument& document) {
  document.first_token_limit =
      milliseconds(reader.Uint("first_token_ms", {10, 600'000}, 1'200));
  document.online_limit =
      milliseconds(reader.Uint("online_ms", {100, 3'600'000}, 60'000));
  document.batch_window =
      milliseconds(1000 * reader.Uint("batch_s", {1, kMaxWindowS}, 86'400));
  reader.RejectUnknownFields();
}

template <typename T, typename NameOf>
void RejectDuplicates(FieldReader& reader, const std::string& field,
                      const std::vector<T>& entries, NameOf name_of) {
  std::set<std::string> names;
  for (const T& entry : entries) {
    if (!names.insert(name_of(entry)).second) {
      reader.RecordError(field, "lists \"" + name_of(entry) + "\" twice");
    }
  }
}

}  // namespace

const AccountEntry* ServiceDocument::FindAccount(
    const std::string& account) const {
  const auto found = std::find_if(
      accounts.begin(), accounts.end(),
      [&account](const auto& entry) { return entry.account == account; });
  return found == accounts.end() ? nullptr : &*found;
}

const ModelEntry* ServiceDocument::FindModel(const std::string& model) const {
  const auto found =
      std::find_if(models.begin(), models.end(),
                   [&model](const auto& entry) { return entry.name == model; });
  return found == models.end() ? nullptr : &*found;
}

const Route* ServiceDocument::FindRoute(const std::string& path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool prefix_matches =
        path.compare(0, route.prefix.size(), route.prefix) == 0;
    const bool ends_at_segment =
        path.size() == route.prefix.size() ||
        (path.size() > route.prefix.size() &&
         (path[route.prefix.size()] == '/' || route.prefix.back() == '/'));
    const bool longer =
        best == nullptr || route.prefix.size() > best->prefix.size();
    if (prefix_matches && ends_at_segment && longer) {
      best = &route;
    }
  }
  return best;
}

Result<ServiceDocument> ParseServiceDocument(const std::string& text,
                                             const std::string& origin) {
  const Result<JsonDocument> json = JsonDocument::Parse(text, origin);
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  FieldReader reader(*json);
  ServiceDocument document;
  document.service = reader.String("service");
  for (FieldReader& entry : reader.Objects("models")) {
    document.models.push_back(ReadModel(entry));
  }
  for (FieldReader& entry : reader.Objects("accounts")) {
    document.accounts.push_back(ReadAccount(entry));
  }
  for (FieldReader& entry : reader.Objects("routes")) {
    document.routes.push_back(ReadRoute(entry));
  }
  ReadLimits(reader.Object("limits"), document);
  document.max_attempts = static_cast<uint32_t>(
      reader.Uint("max_attempts", {1, 20}, document.max_attempts));
  document.key_staleness =
      milliseconds(reader.Uint("key_staleness_ms", {0, 86'400'000}, 0));
  document.cut_off_reserve = reader.Number("cut_off_reserve", 0, 0.5, 0.0);
  document.engines_check_fencing = reader.Bool("engines_check_fencing", false);
  RejectDuplicates(reader, "accounts", document.accounts,
                   [](const auto& a) { return a.account; });
  RejectDuplicates(reader, "models", document.models,
                   [](const auto& m) { return m.name; });
  RejectDuplicates(reader, "routes", document.routes,
                   [](const auto& r) { return r.prefix; });
  if (document.service.empty()) {
    reader.RecordError("service", "must not be empty");
  }
  const Status status = reader.Finish();
  if (!status) {
    return tl::unexpected<Error>(status.error());
  }
  return document;
}

}  // namespace sequoialb
