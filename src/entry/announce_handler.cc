#include "entry/announce_handler.h"

#include "base/hash.h"
#include "entry/http_io.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr uint64_t kMaxAnnouncementBytes = 256U << 10U;
constexpr uint64_t kMaxSlots = 100'000;
constexpr int kMaxPrefixes = 4'096;

Status CheckToken(const EntryContext& context,
                  const Poco::Net::HTTPServerRequest& request) {
  const std::string& expected_sha256 =
      context.host.settings().backend_token_sha256;
  if (!expected_sha256.empty() &&
      !ConstantTimeEqual(Sha256Hex(BearerToken(request)), expected_sha256)) {
    return Fail(ErrorCode::kUnauthorized,
                "the backend token is missing or wrong");
  }
  return {};
}

Status CheckDomain(const EntryContext& context, const proto::Backend& backend) {
  const std::string& domain = context.host.settings().failure_domain;
  if (backend.failure_domain() != domain) {
    return Fail(ErrorCode::kInvalidField,
                "failure_domain: this host is in \"" + domain +
                    "\"; announce to a host of your own failure domain");
  }
  return {};
}

}  // namespace

Result<proto::Backend> ParseAnnouncement(const std::string& body) {
  const Result<JsonDocument> json = JsonDocument::Parse(body, "announcement");
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  FieldReader reader(*json);
  proto::Backend backend;
  backend.set_id(reader.String("id"));
  backend.set_address(reader.String("address"));
  const auto address = ParseAddress(backend.address());
  if (!address) {
    reader.RecordError("address", address.error().detail);
  }
  backend.set_service(reader.String("service"));
  backend.set_failure_domain(reader.String("failure_domain"));
  for (const std::string& model : reader.Strings("models")) {
    backend.add_models(model);
  }
  backend.set_slots(
      static_cast<uint32_t>(reader.Uint("slots", {1, kMaxSlots})));
  backend.set_leaving(reader.Bool("leaving", false));
  backend.set_plain(reader.Bool("plain", false));
  backend.set_checks_fencing(reader.Bool("checks_fencing", false));
  backend.set_running(
      static_cast<uint32_t>(reader.Uint("running", {0, kMaxSlots}, 0)));
  backend.set_waiting(
      static_cast<uint32_t>(reader.Uint("waiting", {0, 10 * kMaxSlots}, 0)));
  backend.set_incarnation(reader.Uint("incarnation", {}, 0));
  for (const std::string& prefix : reader.Strings("cached_prefixes")) {
    if (backend.cached_prefixes_size() < kMaxPrefixes) {
      backend.add_cached_prefixes(std::strtoull(prefix.c_str(), nullptr, 16));
    }
  }
  if (backend.id().empty()) {
    reader.RecordError("id", "must not be empty");
  }
  const Status read = reader.Finish();
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  return backend;
}

void HandleAnnounce(EntryContext& context,
                    Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response) {
  const Status token = CheckToken(context, request);
  if (!token) {
    SendError(response, token.error());
    return;
  }
  const Result<std::string> body = ReadBody(request, kMaxAnnouncementBytes);
  if (!body) {
    SendError(response, body.error());
    return;
  }
  const Result<proto::Backend> backend = ParseAnnouncement(*body);
  if (!backend) {
    SendError(response, backend.error());
    return;
  }
  const Status domain = CheckDomain(context, *backend);
  if (!domain) {
    SendError(response, domain.error());
    return;
  }
  context.host.dispatch().Announce(*backend);
  SendJson(response, "{}");
}

}  // namespace sequoialb
