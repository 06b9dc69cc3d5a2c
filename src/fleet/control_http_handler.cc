#include "fleet/control_http_handler.h"

#include "fleet/boot_clock.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

HttpHeaders JsonHeaders() {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  return headers;
}

}  // namespace

void ControlHttpHandler::OnRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  auto request = protocol_.Decode(exchange->head(), exchange->body());
  if (!request) {
    LogInfo("control_call_refused",
            {{"target", exchange->head().target},
             {"error", std::string(ErrorName(request.error().code))},
             {"detail", request.error().detail}});
    exchange->Respond(HttpStatus(request.error().code), {},
                      request.error().detail + "\n");
    return;
  }
  if (auto* announce = std::get_if<AnnounceBackend>(&*request)) {
    on_control_thread_([this, exchange, record = announce->record] {
      service_.Announce(record, BootNow());
      Acknowledge(exchange);
    });
    return;
  }
  if (auto* deregister = std::get_if<DeregisterBackend>(&*request)) {
    on_control_thread_([this, exchange, id = deregister->id] {
      service_.DeregisterBackend(id, BootNow());
      Acknowledge(exchange);
    });
    return;
  }
  proto::ControlCall call;
  bool retire_status = false;
  if (auto* put = std::get_if<PutCatalog>(&*request)) {
    call.mutable_put_catalog()->set_version(put->version);
    call.mutable_put_catalog()->set_content(std::move(put->content));
  } else if (std::holds_alternative<ReadCatalog>(*request)) {
    call.set_read_catalog(true);
  } else if (auto* retire = std::get_if<RetireHost>(&*request)) {
    call.set_retire_host(retire->host);
  } else if (auto* order = std::get_if<OrderEvacuation>(&*request)) {
    call.mutable_set_evacuation()->set_failure_domain(order->failure_domain);
    call.mutable_set_evacuation()->set_evacuated(order->evacuated);
  } else {
    call.set_retire_status(std::get<ReadRetireStatus>(*request).host);
    retire_status = true;
  }
  ForwardCall(exchange, std::move(call), retire_status);
}

void ControlHttpHandler::Acknowledge(
    const std::shared_ptr<HttpExchange>& exchange) {
  loop_.Post([exchange] { exchange->Respond(200, JsonHeaders(), "{}"); });
}

void ControlHttpHandler::ForwardCall(
    const std::shared_ptr<HttpExchange>& exchange, proto::ControlCall call,
    bool retire_status) {
  const auto done = [this, exchange,
                     retire_status](const proto::ControlAnswer& answer) {
    loop_.Post([this, exchange, answer, retire_status] {
      Answer(*exchange, answer, retire_status);
    });
  };
  on_control_thread_([this, call = std::move(call), done] {
    service_.Call(call, BootNow(), done);
  });
}

void ControlHttpHandler::Answer(HttpExchange& exchange,
                                const proto::ControlAnswer& answer,
                                bool retire_status) const {
  if (!answer.error_name().empty()) {
    LogInfo("control_call_failed", {{"target", exchange.head().target},
                                    {"error", answer.error_name()},
                                    {"detail", answer.detail()}});
    exchange.Respond(HttpStatus(ErrorCodeFromName(answer.error_name())), {},
                     answer.detail() + "\n");
    return;
  }
  if (retire_status) {
    exchange.Respond(200, JsonHeaders(),
                     protocol_.EncodeRetireStatus(answer.retired()));
    return;
  }
  exchange.Respond(200, JsonHeaders(),
                   answer.catalog().empty() ? "{}" : answer.catalog());
}

}  // namespace sequoialb
