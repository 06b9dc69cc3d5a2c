#include "operator/operator_handler.h"

#include <json/value.h>

#include <algorithm>
#include <functional>
#include <set>

#include "base/hash.h"
#include "entry/http_io.h"
#include "ledger/command_results.h"
#include "observe/log.h"
#include "orders/order_service.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr char kRoot[] = "/admin/v1/";
constexpr seconds kLimit{5};
constexpr size_t kKeyBytes = 24;
constexpr size_t kKeyIdBytes = 6;
constexpr uint64_t kMaxDocumentBytes = 4U << 20U;

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  size_t start = sizeof(kRoot) - 1;
  while (start <= path.size()) {
    const size_t slash = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, slash - start));
    start = slash + 1;
  }
  return parts;
}

Json::Value DocumentJson(const proto::Document& document, bool with_content) {
  Json::Value json;
  json["service"] = document.service();
  json["version"] = static_cast<Json::UInt64>(document.version());
  json["author"] = document.author();
  json["changed_unix_ms"] =
      static_cast<Json::Int64>(document.changed_unix_ms());
  if (with_content) {
    json["content"] = document.content();
  }
  return json;
}

Json::Value BackendJson(const BackendState& state, TimePoint now) {
  Json::Value json;
  json["id"] = state.info.id();
  json["service"] = state.info.service();
  json["failure_domain"] = state.info.failure_domain();
  json["address"] = state.info.address();
  json["slots"] = state.info.slots();
  json["online"] = state.online;
  json["batch"] = state.batch;
  json["foreign"] = state.foreign_load;
  json["reported"] = state.info.running() + state.info.waiting();
  json["leaving"] = state.info.leaving();
  json["silent_ms"] =
      static_cast<Json::Int64>(RemainingMs(now, state.last_announced_at));
  json["failures"] = state.failures;
  json["open_ms"] =
      static_cast<Json::Int64>(RemainingMs(state.breaker_open_until, now));
  for (const std::string& model : state.info.models()) {
    json["models"].append(model);
  }
  return json;
}

class OperatorExchange {
 public:
  OperatorExchange(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response)
      : context_(context),
        host_(context.host),
        request_(request),
        response_(response) {}

  void Handle() {
    const Status status = CheckToken().and_then([this] { return Route(); });
    if (!status) {
      SendError(response_, status.error());
    }
  }

 private:
  Status CheckToken() {
    const std::string sha256 = Sha256Hex(BearerToken(request_));
    if (host_.settings().operator_token_sha256.empty() ||
        !ConstantTimeEqual(sha256, host_.settings().operator_token_sha256)) {
      return Fail(ErrorCode::kUnauthorized,
                  "send the operator token as \"Authorization: Bearer TOKEN\"");
    }
    return {};
  }

  Status Route() {
    const std::vector<std::string> path = SplitPath(PathOf(request_));
    const std::string& method = request_.getMethod();
    const std::string name = path.size() > 1 ? path[1] : "";
    const std::string action = path.size() > 2 ? path[2] : "";
    if (path[0] == "documents") {
      if (method == "PUT") {
        return PutDocument(name);
      }
      return action == "history" ? ShowHistory(name) : ShowDocuments(name);
    }
    if (path[0] == "keys") {
      if (method == "POST") {
        return GiveKey();
      }
      return method == "DELETE" ? WithdrawKey(name) : ListKeys();
    }
    if (path[0] == "replicas") {
      return method == "POST" ? ReplaceReplica() : ShowReplicas();
    }
    if (path[0] == "orders" && method == "POST") {
      return Order();
    }
    if (path[0] == "status") {
      return ShowStatus();
    }
    if (path[0] == "backends") {
      return ShowBackends();
    }
    if (path[0] == "config") {
      return ShowConfig();
    }
    if (path[0] == "traces") {
      SendJson(response_, host_.spans().ToOtlpJson(name));
      return {};
    }
    if (path[0] == "log_level" && method == "POST") {
      return ChangeLogLevel();
    }
    if (path[0] == "test" && name == "cut" && method == "POST") {
      return Cut();
    }
    return Fail(ErrorCode::kNotFound,
                "no such operator call: " + PathOf(request_));
  }

  Result<proto::CommandResult> Propose(const proto::Command& command) {
    return host_.Propose(command, Clock::now() + kLimit);
  }

  // Answers a command's result, or its refusal with what it names.
  Status Answer(
      const Result<proto::CommandResult>& result,
      const std::function<Json::Value(const proto::CommandResult&)>& to_json) {
    if (!result) {
      return tl::unexpected<Error>(result.error());
    }
    Status status = StatusOf(*result);
    if (!status) {
      return status;
    }
    Json::Value json = to_json(*result);
    json["repeated"] = result->repeated();
    SendJson(response_, JsonLine(json));
    return {};
  }

  Result<JsonDocument> BodyJson() {
    Result<std::string> body = ReadBody(request_, kMaxDocumentBytes);
    if (!body) {
      return tl::unexpected<Error>(body.error());
    }
    return JsonDocument::Parse(*body, "body");
  }

  // Installs a document if its base version is the one in force. Its text is
  // checked here, by the same code that every host reads it with.
  Status PutDocument(const std::string& service) {
    const Result<std::string> body = ReadBody(request_, kMaxDocumentBytes);
    if (!body) {
      return tl::unexpected<Error>(body.error());
    }
    const Result<ServiceDocument> document =
        ParseServiceDocument(*body, service + ".json");
    if (!document) {
      return tl::unexpected<Error>(document.error());
    }
    if (document->service != service) {
      return Fail(ErrorCode::kInvalidField,
                  "service: the document is for \"" + document->service + "\"");
    }
    const std::string base = QueryParameter(request_, "base_version");
    if (base.empty() || !std::all_of(base.begin(), base.end(), ::isdigit) ||
        base.size() > 18) {
      return Fail(ErrorCode::kInvalidField,
                  "base_version: expected the version that the change is based "
                  "on, 0 for a new "
                  "document");
    }
    proto::Command command;
    proto::PutDocument& put = *command.mutable_put_document();
    put.set_base_version(std::stoull(base));
    put.mutable_document()->set_service(service);
    put.mutable_document()->set_content(*body);
    put.mutable_document()->set_author(
        request_.get("X-Operator", "unnamed operator"));
    put.mutable_document()->set_changed_unix_ms(UnixMs());
    const Result<proto::CommandResult> result = Propose(command);
    LogInfo("document_put", {{"service", service}, {"base_version", base}});
    return Answer(result, [](const proto::CommandResult& r) {
      return DocumentJson(r.document(), false);
    });
  }

  Status ShowDocuments(const std::string& service) {
    proto::Query query;
    query.set_documents(true);
    const auto reply = host_.Ask(query, Clock::now() + kLimit);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    Json::Value list(Json::arrayValue);
    for (const proto::Document& document : reply->documents()) {
      if (document.service() == service) {
        SendJson(response_, JsonLine(DocumentJson(document, true)));
        return {};
      }
      list.append(DocumentJson(document, false));
    }
    if (!service.empty()) {
      return Fail(ErrorCode::kNotFound, "no document of service " + service);
    }
    SendJson(response_, JsonLine(list));
    return {};
  }

  Status ShowHistory(const std::string& service) {
    proto::Query query;
    query.set_history_of(service);
    const auto reply = host_.Ask(query, Clock::now() + kLimit);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    Json::Value list(Json::arrayValue);
    for (const proto::Document& document : reply->documents()) {
      list.append(DocumentJson(document, true));
    }
    SendJson(response_, JsonLine(list));
    return {};
  }

  // Makes a key and records its hash. The key itself is shown in this answer
  // and nowhere else.
  Status GiveKey() {
    const Result<JsonDocument> json = BodyJson();
    if (!json) {
      return tl::unexpected<Error>(json.error());
    }
    FieldReader reader(*json);
    const std::string account = reader.String("account");
    Status read = reader.Finish();
    if (!read) {
      return read;
    }
    const std::string key = "sq-" + RandomHex(kKeyBytes);
    proto::Command command;
    proto::KeyRecord& record = *command.mutable_give_key()->mutable_key();
    record.set_key_id("key-" + RandomHex(kKeyIdBytes));
    record.set_account(account);
    record.set_key_sha256(Sha256Hex(key));
    record.set_changed_unix_ms(UnixMs());
    const std::string id = record.key_id();
    return Answer(Propose(command),
                  [&](const proto::CommandResult& /*result*/) {
                    Json::Value out;
                    out["key_id"] = id;
                    out["account"] = account;
                    out["key"] = key;
                    return out;
                  });
  }

  Status WithdrawKey(const std::string& id) {
    proto::Command command;
    command.mutable_withdraw_key()->set_key_id(id);
    command.mutable_withdraw_key()->set_unix_ms(UnixMs());
    return Answer(Propose(command), [&](const proto::CommandResult& result) {
      Json::Value out;
      out["key_id"] = id;
      out["account"] = result.key().account();
      out["withdrawn"] = true;
      return out;
    });
  }

  Status ListKeys() {
    const ConfigPointer config = host_.config().current();
    Json::Value list(Json::arrayValue);
    for (const auto& [sha256, key] : config->keys) {
      Json::Value entry;
      entry["key_id"] = key.key_id;
      entry["account"] = key.account;
      entry["withdrawn"] = key.withdrawn;
      list.append(entry);
    }
    SendJson(response_, JsonLine(list));
    return {};
  }

  Status ShowReplicas() {
    proto::Query query;
    query.set_replicas(true);
    const auto reply = host_.Ask(query, Clock::now() + kLimit);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    const proto::ReplicaStatus& status = reply->replicas();
    Json::Value json;
    json["leader"] = status.leader();
    json["term"] = static_cast<Json::UInt64>(status.term());
    json["commit"] = static_cast<Json::UInt64>(status.commit());
    json["snapshot_index"] = static_cast<Json::UInt64>(status.snapshot_index());
    json["items"] = static_cast<Json::UInt64>(status.items());
    json["batches"] = static_cast<Json::UInt64>(status.lots());
    const auto fill = [&json](const char* name, const auto& nodes) {
      json[name] = Json::Value(Json::arrayValue);
      for (const std::string& node : nodes) {
        json[name].append(node);
      }
    };
    fill("voters", status.membership().voters());
    fill("learners", status.membership().learners());
    fill("retiring", status.membership().retiring());
    fill("new_disks", status.unformed());
    SendJson(response_, JsonLine(json));
    return {};
  }

  Status ReplaceReplica() {
    const Result<JsonDocument> json = BodyJson();
    if (!json) {
      return tl::unexpected<Error>(json.error());
    }
    FieldReader reader(*json);
    proto::Query query;
    query.set_replace_host(reader.String("host"));
    query.set_replace_with(reader.String("with", ""));
    Status read = reader.Finish();
    if (!read) {
      return read;
    }
    const auto reply = host_.Ask(query, Clock::now() + kLimit);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    if (!reply->error_name().empty()) {
      return Fail(ErrorCodeFromName(reply->error_name()), reply->detail());
    }
    SendJson(response_, R"({"started":true})");
    return {};
  }

  Status Order() {
    const Result<JsonDocument> json = BodyJson();
    if (!json) {
      return tl::unexpected<Error>(json.error());
    }
    FieldReader reader(*json);
    const std::string backend = reader.String("backend");
    const std::string order_id =
        reader.String("order_id", "order-" + RandomHex(kKeyIdBytes));
    reader.Object("order");
    Status read = reader.Finish();
    if (!read) {
      return read;
    }
    const auto outcome =
        SendOrder(host_, order_id, backend, JsonLine(json->root["order"]));
    if (!outcome) {
      return tl::unexpected<Error>(outcome.error());
    }
    Json::Value out;
    out["order_id"] = order_id;
    out["fencing"] = static_cast<Json::UInt64>(outcome->fencing);
    out["backend_status"] = outcome->http_status;
    out["answer"] = outcome->body;
    SendJson(response_, JsonLine(out));
    return {};
  }

  Status ShowStatus() {
    const HostStatus status = host_.Status();
    Json::Value json;
    json["host"] = host_.settings().host;
    json["failure_domain"] = host_.settings().failure_domain;
    json["leader"] = status.leader;
    json["replica"] = status.replica;
    json["leads"] = status.leads;
    json["in_view"] = status.in_view;
    json["dispatching"] = status.dispatching;
    json["config_index"] = static_cast<Json::UInt64>(status.config_index);
    json["view_epoch"] = static_cast<Json::UInt64>(status.view_epoch);
    json["settled_epoch"] = static_cast<Json::UInt64>(status.settled_epoch);
    json["fresh_ms"] = static_cast<Json::Int64>(status.fresh_ms);
    json["log_applied"] = static_cast<Json::UInt64>(status.log_applied);
    json["requests_under_way"] =
        static_cast<Json::Int64>(context_.gate.under_way());
    json["batches_running"] =
        static_cast<Json::UInt64>(context_.lots.running());
    SendJson(response_, JsonLine(json));
    return {};
  }

  Status ShowBackends() {
    Json::Value list(Json::arrayValue);
    const TimePoint now = Clock::now();
    for (const BackendState& state : host_.Backends()) {
      list.append(BackendJson(state, now));
    }
    SendJson(response_, JsonLine(list));
    return {};
  }

  Status ShowConfig() {
    const ConfigPointer config = host_.config().current();
    Json::Value json;
    json["index"] = static_cast<Json::UInt64>(config->index);
    json["keys"] = static_cast<Json::UInt64>(config->keys.size());
    for (const auto& [name, service] : config->services) {
      json["versions"][name] =
          static_cast<Json::UInt64>(service->record.version());
    }
    SendJson(response_, JsonLine(json));
    return {};
  }

  Status ChangeLogLevel() {
    const Result<JsonDocument> json = BodyJson();
    if (!json) {
      return tl::unexpected<Error>(json.error());
    }
    FieldReader reader(*json);
    const std::string level = reader.String("level");
    if (!SetLogLevel(level)) {
      reader.Refuse("level", "expected trace, debug, info, warn or error");
    }
    Status read = reader.Finish();
    if (read) {
      SendJson(response_, "{}");
    }
    return read;
  }

  Status Cut() {
    if (!host_.settings().test_hooks) {
      return Fail(ErrorCode::kNotAllowed,
                  "test_hooks is off in the settings of this host");
    }
    const Result<JsonDocument> json = BodyJson();
    if (!json) {
      return tl::unexpected<Error>(json.error());
    }
    FieldReader reader(*json);
    const std::vector<std::string> hosts = reader.Strings("hosts");
    const std::vector<std::string> domains = reader.Strings("backend_domains");
    Status read = reader.Finish();
    if (!read) {
      return read;
    }
    host_.SetCut({hosts.begin(), hosts.end()});
    context_.chat.client().SetCutDomains(domains);
    SendJson(response_, "{}");
    return {};
  }

  EntryContext& context_;
  Host& host_;
  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
};

}  // namespace

void HandleOperator(EntryContext& context,
                    Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response) {
  OperatorExchange(context, request, response).Handle();
}

}  // namespace sequoialb
