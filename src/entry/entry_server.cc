#include "entry/entry_server.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <json/value.h>

#include "entry/announce_handler.h"
#include "entry/batch_handler.h"
#include "entry/caller_auth.h"
#include "entry/chat_handler.h"
#include "entry/http_io.h"
#include "entry/plain_handler.h"
#include "observe/log.h"
#include "operator/operator_handler.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kBacklog = 1024;
constexpr int kKeepAliveS = 30;
constexpr int kMinThreads = 8;
constexpr int kTlsVerificationDepth = 9;
constexpr seconds kQueryTimeout{3};
constexpr char kFilesPath[] = "/v1/files";
constexpr char kItemsPath[] = "/v1/items/";
constexpr char kAdminPath[] = "/admin/v1/";

std::string ItemStateName(const proto::ItemRecord& item) {
  switch (item.state()) {
    case proto::ITEM_RUNNING:
      return "running";
    case proto::ITEM_DONE:
      return "done";
    case proto::ITEM_UNKNOWN:
      return "unknown";
    default:
      return "failed";
  }
}

// Sends the state and stored result of an accepted item. Only the account that
// owns the item can read it.
void HandleItem(EntryContext& context, HTTPServerRequest& request,
                HTTPServerResponse& response) {
  const Result<Caller> caller =
      Authenticate(request, context.host, Duration(0));
  if (!caller) {
    SendError(response, caller.error());
    return;
  }
  const std::string id = PathOf(request).substr(sizeof(kItemsPath) - 1);
  const auto item =
      context.items.Find(id, caller->account, Clock::now() + kQueryTimeout);
  if (!item) {
    SendError(response, item.error());
    return;
  }
  Json::Value json;
  json["id"] = item->id();
  json["object"] = "item";
  json["state"] = ItemStateName(*item);
  json["service"] = item->service();
  json["path"] = item->path();
  json["result"] = item->result();
  json["error"] = item->error_name();
  json["accepted_unix_ms"] = static_cast<Json::Int64>(item->accepted_unix_ms());
  json["finished_unix_ms"] = static_cast<Json::Int64>(item->finished_unix_ms());
  SendJson(response, JsonLine(json));
}

void HandleModels(EntryContext& context, HTTPServerRequest& request,
                  HTTPServerResponse& response) {
  const Result<Caller> caller =
      Authenticate(request, context.host, Duration(0));
  if (!caller) {
    SendError(response, caller.error());
    return;
  }
  Json::Value list;
  list["object"] = "list";
  list["data"] = Json::Value(Json::arrayValue);
  const ConfigPointer config = context.host.config().current();
  for (const auto& [name, service] : config->services) {
    if (service->document.FindAccount(caller->account) == nullptr) {
      continue;
    }
    for (const ModelEntry& model : service->document.models) {
      Json::Value entry;
      entry["id"] = model.name;
      entry["object"] = "model";
      entry["owned_by"] = name;
      list["data"].append(entry);
    }
  }
  SendJson(response, JsonLine(list));
}

// Reports to the load balancer whether this host accepts requests with a key.
void HandleReady(EntryContext& context, HTTPServerResponse& response) {
  if (context.gate.closed()) {
    SendBody(response, "stopping\n", "text/plain", 503);
  } else if (!context.host.config().Fresh(Clock::now(), Duration(0))) {
    SendBody(response, "keys not confirmed\n", "text/plain", 503);
  } else {
    SendBody(response, "ready\n", "text/plain");
  }
}

void Dispatch(EntryContext& context, HTTPServerRequest& request,
              HTTPServerResponse& response) {
  const std::string path = PathOf(request);
  if (path == "/healthz") {
    SendBody(response, "ok\n", "text/plain");
    return;
  }
  if (path == "/readyz") {
    HandleReady(context, response);
    return;
  }
  if (path == "/metrics") {
    SendBody(response, context.host.metrics().Render(),
             "text/plain; version=0.0.4");
    return;
  }
  if (path == "/v1/backends/announce") {
    HandleAnnounce(context, request, response);
    return;
  }
  if (path.compare(0, sizeof(kAdminPath) - 1, kAdminPath) == 0) {
    HandleOperator(context, request, response);
    return;
  }
  const RequestGate::RequestScope request_scope(context.gate);
  if (!request_scope.admitted()) {
    SendError(
        response,
        Error{ErrorCode::kShuttingDown,
              "this host is stopping; nothing was run, send the request to "
              "another host",
              RunState::kNotRun, 0});
    return;
  }
  if (IsChatPath(path) && request.getMethod() == "POST") {
    HandleChat(context, request, response);
  } else if (IsBatchPath(path)) {
    HandleBatches(context, request, response);
  } else if (path.compare(0, sizeof(kItemsPath) - 1, kItemsPath) == 0) {
    HandleItem(context, request, response);
  } else if (path == "/v1/models") {
    HandleModels(context, request, response);
  } else {
    HandlePlain(context, request, response);
  }
}

// Takes in the rest of a body that the response did not wait for. An upload may
// be as large as a file. The time limit is the one for a silent caller, so a
// refused body holds a thread for at most twice that time.
void FinishRequest(const HttpLimits& limits, HTTPServerRequest& request,
                   HTTPServerResponse& response) {
  const uint64_t max_bytes = PathOf(request) == kFilesPath
                                 ? limits.max_file_bytes
                                 : limits.max_body_bytes;
  if (!DiscardBody(request, max_bytes, Clock::now() + limits.read_timeout)) {
    response.setKeepAlive(false);
  }
}

class Handler : public HTTPRequestHandler {
 public:
  explicit Handler(EntryContext& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    try {
      Dispatch(context_, request, response);
      FinishRequest(context_.host.settings().http_limits, request, response);
    } catch (const Poco::Exception& e) {
      // The caller's connection ended, so no answer can be sent.
      LogDebug("caller_gone", {{"reason", e.displayText()}});
    }
  }

 private:
  EntryContext& context_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(EntryContext& context) : context_(context) {}
  HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return std::make_unique<Handler>(context_).release();
  }

 private:
  EntryContext& context_;
};

class PocoEntryServer : public EntryServer {
 public:
  explicit PocoEntryServer(EntryContext& context)
      : pool_(kMinThreads,
              static_cast<int>(
                  context.host.settings().http_limits.max_connections) +
                  kMinThreads) {
    const Settings& settings = context.host.settings();
    const Poco::Net::SocketAddress address(settings.http.ip,
                                           settings.http.port);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(
        static_cast<int>(settings.http_limits.max_connections));
    params->setMaxQueued(kBacklog);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveS, 0));
    params->setTimeout(
        Poco::Timespan(settings.http_limits.read_timeout.count() * 1000));
    if (settings.tls_certificate.empty()) {
      socket_.bind(address, true);
      socket_.listen(kBacklog);
    } else {
      const Poco::Net::Context::Ptr tls = new Poco::Net::Context(
          Poco::Net::Context::TLS_SERVER_USE, settings.tls_private_key,
          settings.tls_certificate, "", Poco::Net::Context::VERIFY_NONE,
          kTlsVerificationDepth, false);
      Poco::Net::SecureServerSocket secure(tls);
      secure.bind(address, true);
      secure.listen(kBacklog);
      socket_ = secure;
    }
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(context), pool_, socket_, params);
    server_->start();
  }

  ~PocoEntryServer() override { Stop(); }

  void Stop() override {
    if (server_ != nullptr) {
      server_->stopAll(false);
      server_.reset();
      pool_.joinAll();
    }
  }

 private:
  Poco::ThreadPool pool_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace

Result<std::unique_ptr<EntryServer>> EntryServer::Start(EntryContext& context) {
  try {
    return std::unique_ptr<EntryServer>(
        std::make_unique<PocoEntryServer>(context));
  } catch (const Poco::Exception& e) {
    return Fail(ErrorCode::kIo, "listen on " +
                                    context.host.settings().http.ToString() +
                                    ": " + e.displayText());
  }
}

}  // namespace sequoialb
