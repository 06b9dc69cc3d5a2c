#include "orders/order_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "http/response_reader.h"
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

std::string RequestBytes(const std::string& address, const std::string& body) {
  return "POST /v1/orders HTTP/1.1\r\nHost: " + address +
         "\r\nConnection: close\r\nContent-Type: application/json"
         "\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

Result<OrderOutcome> ReadAnswer(Poco::Net::StreamSocket& socket,
                                TimePoint deadline) {
  ResponseReader response(socket, deadline);
  const auto head = response.ReadHead();
  if (!head) {
    return tl::unexpected<Error>(head.error());
  }
  OrderOutcome outcome;
  outcome.http_status = head->status;
  while (!response.whole()) {
    const auto data = response.ReadBody();
    if (!data) {
      return tl::unexpected<Error>(data.error());
    }
    outcome.body += *data;
    if (outcome.body.size() > kMaxAnswerBytes) {
      return Fail(ErrorCode::kIo, "the response to the order has no end");
    }
  }
  return outcome;
}

Result<OrderOutcome> Post(const proto::Backend& backend,
                          const std::string& body, Duration timeout) {
  const TimePoint deadline = Clock::now() + timeout;
  std::string reason;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(backend.address()),
                   TimeLeft(deadline));
    socket.setSendTimeout(TimeLeft(deadline));
    SendAll(socket, RequestBytes(backend.address(), body));
    auto outcome = ReadAnswer(socket, deadline);
    if (outcome) {
      return outcome;
    }
    reason = outcome.error().detail;
  } catch (const Poco::Exception& e) {
    reason = e.displayText();
  }
  return Fail(ErrorCode::kBackendFailed,
              "no whole response to the order: " + reason, RunState::kUnknown);
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
