#include "orders/order_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include "ledger/command_results.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr seconds kProposeTimeout{3};
// An order is sent only if at least this much of the session lease is left.
constexpr milliseconds kMinLeaseLeft{500};
// The longest response to an order that is read.
constexpr size_t kMaxAnswerBytes = 1'048'576;

Result<proto::Backend> FindBackend(Host& host, const std::string& backend) {
  for (const BackendState& state : host.Backends()) {
    if (state.info.id() == backend) {
      return state.info;
    }
  }
  return Fail(ErrorCode::kNotFound,
              "this host does not dispatch for backend server " + backend +
                  "; send the order to the dispatcher of its failure domain");
}

Result<uint64_t> RecordOrder(Host& host, const std::string& order_id,
                             const std::string& backend,
                             const std::string& body) {
  proto::Command command;
  proto::IssueOrder& order = *command.mutable_issue_order();
  order.set_order_id(order_id);
  order.set_backend(backend);
  order.set_holder(host.settings().host);
  order.set_holder_incarnation(host.incarnation());
  order.set_body(body);
  order.set_unix_ms(UnixMs());
  const auto result = host.Propose(command, Clock::now() + kProposeTimeout);
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  const Status status = StatusOf(*result);
  if (!status) {
    return tl::unexpected<Error>(status.error());
  }
  return result->index();
}

void FinishOrder(Host& host, const std::string& order_id,
                 const std::string& backend) {
  proto::Command command;
  command.mutable_finish_order()->set_order_id(order_id);
  command.mutable_finish_order()->set_backend(backend);
  static_cast<void>(host.Propose(command, Clock::now() + kProposeTimeout));
}

Result<OrderOutcome> Post(const proto::Backend& backend,
                          const std::string& body, Duration timeout) {
  OrderOutcome outcome;
  const TimePoint deadline = Clock::now() + timeout;
  try {
    Poco::Net::HTTPClientSession session{
        Poco::Net::SocketAddress(backend.address())};
    session.setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(timeout)
            .count()));
    Poco::Net::HTTPRequest request("POST", "/v1/orders", "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    outcome.http_status = response.getStatus();
    for (int c = in.get(); c != std::istream::traits_type::eof();
         c = in.get()) {
      outcome.body.push_back(static_cast<char>(c));
      if (outcome.body.size() > kMaxAnswerBytes || Clock::now() >= deadline) {
        return Fail(ErrorCode::kBackendFailed,
                    "the response to the order has no end", RunState::kUnknown);
      }
    }
  } catch (const Poco::Exception& e) {
    return Fail(ErrorCode::kBackendFailed,
                "no response to the order: " + e.displayText(),
                RunState::kUnknown);
  }
  return outcome;
}

}  // namespace

Result<OrderOutcome> SendOrder(Host& host, const std::string& order_id,
                               const std::string& backend,
                               const std::string& body) {
  Result<JsonDocument> json = JsonDocument::Parse(body, "order");
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  const Result<proto::Backend> target = FindBackend(host, backend);
  if (!target) {
    return tl::unexpected<Error>(target.error());
  }
  const Result<uint64_t> fencing = RecordOrder(host, order_id, backend, body);
  if (!fencing) {
    return tl::unexpected<Error>(fencing.error());
  }
  json->root["fencing"] = static_cast<Json::UInt64>(*fencing);
  json->root["order_id"] = order_id;
  // Read the lease right before sending, so that a process that was suspended
  // before this point sees that its lease has expired.
  const TimePoint lease_until = host.SessionLeaseUntil();
  const Duration left = lease_until - Clock::now();
  if (left < kMinLeaseLeft) {
    FinishOrder(host, order_id, backend);
    return Fail(ErrorCode::kStaleConfig,
                "too little of this host's session lease is left to send the "
                "order; repeat the request");
  }
  Result<OrderOutcome> outcome =
      Post(*target, JsonLine(json->root), left - kMinLeaseLeft / 2);
  if (outcome) {
    FinishOrder(host, order_id, backend);
    outcome->fencing = *fencing;
  }
  return outcome;
}

}  // namespace sequoialb
