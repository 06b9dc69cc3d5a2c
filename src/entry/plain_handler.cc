#include "entry/plain_handler.h"

#include "base/hash.h"
#include "entry/caller_auth.h"
#include "entry/http_io.h"

namespace sequoialb {
namespace {

constexpr seconds kAcceptTimeout{2};
constexpr seconds kCompleteTimeout{5};
constexpr size_t kItemIdBytes = 12;
constexpr size_t kAttemptBytes = 8;

struct PlainCall {
  std::string service;
  std::string account;
  double weight = 1;
  bool idempotent = true;
  uint32_t max_attempts = 3;
  TimePoint slot_deadline;
  AttemptRequest attempt;
};

// Acquires a slot on a plain server and sends the call; retries on another
// server where that is allowed. `before_send` runs once the connection is
// established.
class PlainRunner {
 public:
  explicit PlainRunner(EntryContext& context)
      : context_(context), host_(context.host) {}

  Result<AttemptResult> Run(const PlainCall& call,
                            const BackendClient::BeforeSend& before_send) {
    std::vector<std::pair<std::string, std::string>> avoid;
    uint32_t failures = 0;
    while (true) {
      SlotNeed need;
      need.service = call.service;
      need.account = call.account;
      need.weight = call.weight;
      need.plain = true;
      need.avoid = avoid;
      const auto lease = host_.dispatch().Acquire(need, call.slot_deadline);
      if (!lease) {
        Error error = lease.error();
        error.run = failures > 0 ? RunState::kUnknown : RunState::kNotRun;
        return tl::unexpected<Error>(error);
      }
      const AttemptResult result = context_.chat.client().Run(
          *lease, call.attempt, nullptr, before_send);
      const bool failed = result.outcome == AttemptOutcome::kBroken ||
                          result.outcome == AttemptOutcome::kNotSent;
      host_.dispatch().Release(
          *lease, {failed, result.outcome == AttemptOutcome::kNotSent,
                   result.first_byte_ms});
      if (!failed && result.outcome != AttemptOutcome::kRevoked) {
        return result;
      }
      avoid.emplace_back((*lease)->backend().id(),
                         (*lease)->backend().failure_domain());
      failures += result.outcome == AttemptOutcome::kNotSent ? 0 : 1;
      const bool may_repeat =
          result.outcome == AttemptOutcome::kNotSent || call.idempotent;
      if (!may_repeat) {
        return Fail(
            ErrorCode::kBackendFailed,
            "the connection broke after the call was sent; it is not retried",
            RunState::kUnknown);
      }
      const bool within_retry_budget = context_.chat.budget().Spend(
          "account " + call.account, "backend " + (*lease)->backend().id());
      if (!within_retry_budget || avoid.size() >= call.max_attempts) {
        return Fail(ErrorCode::kBackendFailed,
                    "the backend servers failed: " + result.detail,
                    failures > 0 ? RunState::kUnknown : RunState::kNotRun);
      }
    }
  }

 private:
  EntryContext& context_;
  Host& host_;
};

proto::CompleteItem Completion(const proto::ItemRecord& item,
                               const Result<AttemptResult>& result) {
  if (!result) {
    return FailedCompletion(item, result.error());
  }
  proto::CompleteItem completion;
  completion.set_item_id(item.id());
  completion.set_generation(item.generation());
  completion.set_attempt(item.sent_attempt());
  completion.set_state(proto::ITEM_DONE);
  completion.set_result(result->body);
  completion.set_http_status(result->http_status);
  completion.set_content_type(result->content_type);
  completion.set_unix_ms(UnixMs());
  return completion;
}

// Names the attempt that is about to run, if the item may be sent only once.
void NameAttempt(proto::ItemRecord& item) {
  item.set_sent_attempt(item.idempotent() ? "" : RandomHex(kAttemptBytes));
}

// Runs a recorded call. If the call is not idempotent, the intent to send is
// recorded before the first byte is sent.
Result<AttemptResult> RunRecorded(EntryContext& context, const PlainCall& call,
                                  const proto::ItemRecord& item) {
  bool marked = true;
  bool mark_outcome_unknown = false;
  const auto before_send = [&] {
    const Status status =
        context.items.MarkSent(item, Clock::now() + kAcceptTimeout);
    marked = status.has_value();
    mark_outcome_unknown = !status && status.error().run == RunState::kUnknown;
    return marked;
  };
  PlainRunner runner(context);
  PlainCall single_attempt = call;
  // If it is unknown whether the intent to send was recorded, there must be no
  // second attempt: its own record would not show which attempt was sent.
  single_attempt.max_attempts = 1;
  Result<AttemptResult> result = runner.Run(
      single_attempt,
      call.idempotent ? BackendClient::BeforeSend(nullptr) : before_send);
  if (!marked) {
    return Fail(
        ErrorCode::kNoQuorum,
        mark_outcome_unknown
            ? "the intent to send could not be recorded; nothing was sent"
            : "another host has taken over the item",
        mark_outcome_unknown ? RunState::kNotRun : RunState::kUnknown);
  }
  return result;
}

class PlainExchange {
 public:
  PlainExchange(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response)
      : context_(context),
        host_(context.host),
        request_(request),
        response_(response),
        span_(context.host.spans(),
              TraceContext::FromHeader(request.get("traceparent", "")),
              "entry " + PathOf(request)) {}

  void Handle() {
    const Status admitted = Admit();
    if (!admitted) {
      Refuse(admitted.error());
      return;
    }
    const bool recorded =
        !call_.idempotent ||
        (!call_.account.empty() && request_.has("Idempotency-Key"));
    const Result<AttemptResult> result =
        recorded ? RunAsItem() : PlainRunner(context_).Run(call_, nullptr);
    if (!result) {
      Refuse(result.error());
      return;
    }
    SendBody(response_, result->body,
             result->content_type.empty() ? "application/octet-stream"
                                          : result->content_type,
             result->http_status);
  }

 private:
  Status Admit() {
    const std::string path = PathOf(request_);
    config_ = host_.config().current();
    service_ = config_->FindForPath(path);
    if (service_ == nullptr) {
      return Fail(ErrorCode::kNotFound, "no service has a route for " + path);
    }
    const Route& route = *service_->document.FindRoute(path);
    call_.service = service_->document.service;
    call_.idempotent = route.idempotent;
    call_.max_attempts = service_->document.max_attempts;
    if (!route.open) {
      Status allowed = CheckCaller();
      if (!allowed) {
        return allowed;
      }
    }
    Result<std::string> body =
        ReadBody(request_, host_.settings().http_limits.max_body_bytes);
    if (!body) {
      return tl::unexpected<Error>(body.error());
    }
    call_.attempt.method = request_.getMethod();
    call_.attempt.path = request_.getURI();
    call_.attempt.content_type = request_.getContentType();
    call_.attempt.body = std::move(*body);
    call_.attempt.trace = span_.context();
    call_.attempt.idempotent = route.idempotent;
    const TimePoint now = Clock::now();
    call_.attempt.deadline = now + service_->document.online_limit;
    call_.slot_deadline = now + service_->document.first_token_limit;
    return {};
  }

  Status CheckCaller() {
    const Result<Caller> caller =
        Authenticate(request_, host_, service_->document.key_staleness);
    if (!caller) {
      return tl::unexpected<Error>(caller.error());
    }
    const AccountEntry* terms = service_->document.FindAccount(caller->account);
    if (terms == nullptr) {
      return Fail(ErrorCode::kNotAllowed,
                  "client account " + caller->account +
                      " is not in the document of service " +
                      service_->document.service);
    }
    call_.account = caller->account;
    call_.weight = terms->weight;
    return host_.rates().Take(
        caller->account,
        Clock::now() + service_->document.first_token_limit * 4);
  }

  Result<AttemptResult> RunAsItem() {
    proto::ItemRecord new_item;
    new_item.set_id("item-" + RandomHex(kItemIdBytes));
    new_item.set_account(call_.account);
    new_item.set_service(call_.service);
    new_item.set_idempotency_key(
        call_.account.empty() ? "" : request_.get("Idempotency-Key", ""));
    new_item.set_method(call_.attempt.method);
    new_item.set_path(call_.attempt.path);
    new_item.set_body(call_.attempt.body);
    new_item.set_content_type(call_.attempt.content_type);
    new_item.set_content_sha256(Sha256Hex(call_.attempt.method + " " +
                                          call_.attempt.path + "\n" +
                                          call_.attempt.body));
    new_item.set_idempotent(call_.idempotent);
    new_item.set_traceparent(span_.context().ToHeader());
    const auto accepted = context_.items.Accept(std::move(new_item),
                                                Clock::now() + kAcceptTimeout);
    if (!accepted) {
      return tl::unexpected<Error>(accepted.error());
    }
    proto::ItemRecord item = accepted->item;
    response_.set("X-Sequoialb-Item", item.id());
    if (accepted->repeated) {
      return AwaitRecordedResult(item);
    }
    NameAttempt(item);
    Result<AttemptResult> result = RunRecorded(context_, call_, item);
    const Status recorded = context_.items.Complete(
        Completion(item, result), Clock::now() + kCompleteTimeout);
    if (result && !recorded) {
      return tl::unexpected<Error>(recorded.error());
    }
    return result;
  }

  Result<AttemptResult> AwaitRecordedResult(const proto::ItemRecord& original) {
    const auto item =
        context_.items.AwaitResult(original.id(), call_.attempt.deadline);
    if (!item) {
      return tl::unexpected<Error>(item.error());
    }
    response_.set("X-Sequoialb-Repeated", "true");
    if (item->state() != proto::ITEM_DONE) {
      const RunState run =
          item->not_run() ? RunState::kNotRun : RunState::kUnknown;
      return Fail(ErrorCodeFromName(item->error_name()), item->result(), run);
    }
    AttemptResult result;
    result.outcome = AttemptOutcome::kComplete;
    result.http_status = item->http_status();
    result.content_type = item->content_type();
    result.body = item->result();
    return result;
  }

  void Refuse(const Error& error) {
    const std::string labels =
        "code=\"" + std::string(ErrorName(error.code)) + "\"";
    host_.metrics().counter("sequoialb_refused_total", labels).Add();
    SendError(response_, error);
  }

  EntryContext& context_;
  Host& host_;
  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  SpanScope span_;
  ConfigPointer config_;
  const ActiveService* service_ = nullptr;
  PlainCall call_;
};

}  // namespace

void HandlePlain(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response) {
  PlainExchange(context, request, response).Handle();
}

void RunReassignedPlainItem(EntryContext& context,
                            const proto::ItemRecord& assigned) {
  proto::ItemRecord item = assigned;
  NameAttempt(item);
  const ConfigPointer config = context.host.config().current();
  const auto service = config->services.find(item.service());
  Result<AttemptResult> result =
      Fail(ErrorCode::kItemFailed, "the service no longer exists");
  if (service != config->services.end()) {
    const ServiceDocument& document = service->second->document;
    PlainCall call;
    call.service = item.service();
    call.account = item.account();
    call.idempotent = item.idempotent();
    call.max_attempts = document.max_attempts;
    call.slot_deadline = Clock::now() + document.online_limit;
    call.attempt.method = item.method();
    call.attempt.path = item.path();
    call.attempt.content_type = item.content_type();
    call.attempt.body = item.body();
    call.attempt.trace = TraceContext::FromHeader(item.traceparent());
    call.attempt.deadline = Clock::now() + document.online_limit;
    call.attempt.idempotent = item.idempotent();
    result = RunRecorded(context, call, item);
  }
  static_cast<void>(context.items.Complete(Completion(item, result),
                                           Clock::now() + kCompleteTimeout));
}

}  // namespace sequoialb
