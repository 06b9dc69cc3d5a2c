// Callers' batch calls at a front: submissions, reads, item bodies, ends. Each
// is decoded, passed on to the store group, and its answer given back.
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
  // Passes a call on; `done` runs on the traffic thread.
  using ForwardCall =
      std::function<void(proto::JobCall, TimePoint deadline, Done)>;

  JobHandler(FrontShared& front, ForwardCall pass_on)
      : front_(front), forward_call_(std::move(pass_on)) {}

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
