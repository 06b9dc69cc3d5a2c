// Handles callers' batch requests at a front: submitting a job, reading its
// results, reading an item's body, and ending a job. Each request is decoded
// and forwarded to the store group, whose answer is returned to the caller.
// Belongs to the traffic thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gateway/front_view.h"
#include "gateway/refusal.h"
#include "http/http_server.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

class JobHandler {
 public:
  using Done = std::function<void(const proto::JobAnswer&)>;
  // Forwards a call to the store group; `done` runs on the traffic thread.
  using ForwardCall =
      std::function<void(proto::JobCall, TimePoint deadline, Done)>;

  JobHandler(FrontShared& front, ForwardCall forward_call)
      : front_(front), forward_call_(std::move(forward_call)) {}

  void Submit(const std::shared_ptr<HttpExchange>& exchange, const Route& route,
              const Account& account);
  void OnRequest(const std::shared_ptr<HttpExchange>& exchange,
                 const JobRequest& request);

 private:
  void Answer(HttpExchange& exchange, const std::string& request,
              const std::string& account, const proto::JobAnswer& answer,
              int success, bool mutating) const;

  FrontShared& front_;
  ForwardCall forward_call_;
};

}  // namespace sequoialb
