// Handles the HTTP calls of operators and backend servers at a control host:
// decodes each call, runs it on the control thread and sends the response.
// Belongs to the traffic thread.
#pragma once

#include <functional>
#include <memory>

#include "fleet/control_protocol.h"
#include "fleet/control_service.h"
#include "http/http_server.h"

namespace sequoialb {

class ControlHttpHandler {
 public:
  // Runs a task on the control thread, which owns `service`.
  using OnControlThread = std::function<void(std::function<void()>)>;

  ControlHttpHandler(EventLoop& loop, const ControlProtocol& protocol,
                     ControlService& service, OnControlThread on_control_thread)
      : loop_(loop),
        protocol_(protocol),
        service_(service),
        on_control_thread_(std::move(on_control_thread)) {}

  void OnRequest(const std::shared_ptr<HttpExchange>& exchange);

 private:
  void Acknowledge(const std::shared_ptr<HttpExchange>& exchange);
  void ForwardCall(const std::shared_ptr<HttpExchange>& exchange,
                   proto::ControlCall call, bool retire_status);
  void Answer(HttpExchange& exchange, const proto::ControlAnswer& answer,
              bool retire_status) const;

  EventLoop& loop_;
  const ControlProtocol& protocol_;
  ControlService& service_;
  OnControlThread on_control_thread_;
};

}  // namespace sequoialb
