#include "entry/chat_handler.h"

#include <Poco/Exception.h>

#include <ostream>

#include "base/hash.h"
#include "entry/caller_auth.h"
#include "entry/http_io.h"
#include "observe/log.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr seconds kAcceptTimeout{2};
constexpr seconds kCompleteTimeout{5};
constexpr size_t kItemIdBytes = 12;
// Checking the key for every token would cost more than the protection is
// worth.
constexpr milliseconds kKeyCheckInterval{200};

// The stored result of a chat item.
struct StoredAnswer {
  std::string text;
  std::string finish_reason;
  uint64_t chunks = 0;

  std::string Encode() const {
    Json::Value value;
    value["text"] = text;
    value["finish_reason"] = finish_reason;
    value["chunks"] = static_cast<Json::UInt64>(chunks);
    return JsonLine(value);
  }

  static StoredAnswer Decode(const std::string& json) {
    const auto document = JsonDocument::Parse(json, "result");
    if (!document) {
      return {};
    }
    return {document->root["text"].asString(),
            document->root["finish_reason"].asString(),
            document->root["chunks"].asUInt64()};
  }
};

Error ErrorOf(const proto::ItemRecord& item) {
  const bool unknown = item.state() == proto::ITEM_UNKNOWN;
  const RunState run = unknown          ? RunState::kUnknown
                       : item.not_run() ? RunState::kNotRun
                                        : RunState::kRan;
  return Error{ErrorCodeFromName(item.error_name()), item.result(), run};
}

ChatRun MakeRun(const ChatRequest& request, const ActiveService& service,
                const std::string& account, const TraceContext& trace) {
  const AccountEntry* terms = service.document.FindAccount(account);
  ChatRun run;
  run.request = &request;
  run.service = service.document.service;
  run.account = account;
  run.weight = terms == nullptr ? 1 : terms->weight;
  run.max_attempts = service.document.max_attempts;
  run.trace = trace;
  const TimePoint now = Clock::now();
  run.first_token_deadline = now + service.document.first_token_limit;
  run.deadline = now + service.document.online_limit;
  return run;
}

proto::CompleteItem Completion(const proto::ItemRecord& item,
                               const Result<ChatAnswer>& answer) {
  if (!answer) {
    return FailedCompletion(item, answer.error());
  }
  proto::CompleteItem completion;
  completion.set_item_id(item.id());
  completion.set_generation(item.generation());
  completion.set_state(proto::ITEM_DONE);
  completion.set_result(
      StoredAnswer{answer->text, answer->finish_reason, answer->chunks}
          .Encode());
  completion.set_http_status(Poco::Net::HTTPResponse::HTTP_OK);
  completion.set_unix_ms(UnixMs());
  return completion;
}

// Handles one request. The members carry state from one step to the next.
class ChatExchange {
 public:
  ChatExchange(EntryContext& context, Poco::Net::HTTPServerRequest& request,
               Poco::Net::HTTPServerResponse& response)
      : context_(context),
        host_(context.host),
        http_request_(request),
        response_(response),
        span_(context.host.spans(),
              TraceContext::FromHeader(request.get("traceparent", "")),
              "entry " + PathOf(request)) {}

  void Handle() {
    const TimePoint begin = Clock::now();
    const Status admitted = Admit();
    if (!admitted) {
      Refuse(admitted.error());
      return;
    }
    if (MayRunUnrecorded()) {
      RunUnrecorded(begin);
      return;
    }
    const Result<Acceptance> accepted = Accept();
    if (!accepted) {
      Refuse(accepted.error());
      return;
    }
    item_ = accepted->item;
    response_.set("X-Sequoialb-Item", item_.id());
    if (accepted->repeated) {
      AnswerFromRecord();
      return;
    }
    host_.metrics()
        .latency("sequoialb_accept_seconds")
        .Observe(Clock::now() - begin);
    RunItem(begin);
  }

 private:
  // Makes every check that can refuse the request before the item is recorded.
  Status Admit() {
    const Result<Caller> caller = AuthenticateForService();
    if (!caller) {
      return tl::unexpected<Error>(caller.error());
    }
    caller_ = *caller;
    span_.Set("account", caller_.account);
    Result<std::string> body =
        ReadBody(http_request_, host_.settings().http_limits.max_body_bytes);
    if (!body) {
      return tl::unexpected<Error>(body.error());
    }
    body_ = std::move(*body);
    Result<ChatRequest> request =
        ParseChatRequest(PathOf(http_request_), body_);
    if (!request) {
      return tl::unexpected<Error>(request.error());
    }
    request_ = std::move(*request);
    return FindService().and_then([this] {
      return host_.rates().Take(
          caller_.account,
          Clock::now() + service_->document.first_token_limit * 4);
    });
  }

  // Authenticates with the longest staleness that any service allows, because
  // the service is known only after the body is parsed. FindService then checks
  // the staleness that this service allows.
  Result<Caller> AuthenticateForService() {
    config_ = host_.config().current();
    Duration staleness{0};
    for (const auto& [name, service] : config_->services) {
      staleness =
          std::max<Duration>(staleness, service->document.key_staleness);
    }
    return Authenticate(http_request_, host_, staleness);
  }

  Status FindService() {
    service_ = config_->FindForModel(request_.model, caller_.account);
    if (service_ == nullptr) {
      return Fail(ErrorCode::kNotFound,
                  "no service offers the model " + request_.model);
    }
    if (service_->document.FindAccount(caller_.account) == nullptr) {
      return Fail(ErrorCode::kNotAllowed,
                  "client account " + caller_.account +
                      " is not in the document of service " +
                      service_->document.service);
    }
    if (!host_.config().Fresh(Clock::now(), service_->document.key_staleness)) {
      return tl::unexpected<Error>(
          Error{ErrorCode::kStaleConfig,
                "this host cannot confirm that keys are still valid; "
                "nothing was run",
                RunState::kNotRun, 1'000});
    }
    return {};
  }

  Result<Acceptance> Accept() {
    SpanScope accept_span(host_.spans(), span_.context(), "accept");
    return context_.items.Accept(NewItem(), Clock::now() + kAcceptTimeout);
  }

  proto::ItemRecord NewItem() const {
    proto::ItemRecord item;
    item.set_id("item-" + RandomHex(kItemIdBytes));
    item.set_account(caller_.account);
    item.set_service(service_->document.service);
    item.set_idempotency_key(http_request_.get("Idempotency-Key", ""));
    item.set_content_sha256(Sha256Hex(PathOf(http_request_) + "\n" + body_));
    item.set_path(PathOf(http_request_));
    item.set_method("POST");
    item.set_body(body_);
    item.set_idempotent(true);
    item.set_deadline_unix_ms(UnixMs() +
                              service_->document.online_limit.count());
    item.set_traceparent(span_.context().ToHeader());
    return item;
  }

  // A host that has lost contact with the leader runs requests without
  // recording them first, for as long as the service's key staleness allows.
  // A request with an idempotency key is excluded, because an earlier copy of
  // it may be running on another host.
  bool MayRunUnrecorded() const {
    return !host_.config().Fresh(Clock::now(), Duration(0)) &&
           !http_request_.has("Idempotency-Key");
  }

  // Runs the request now, and records the item with its result once the
  // replicas can be reached again.
  void RunUnrecorded(TimePoint begin) {
    item_ = NewItem();
    item_.set_generation(1);
    item_.set_accepted_unix_ms(UnixMs());
    response_.set("X-Sequoialb-Item", item_.id());
    response_.set("X-Sequoialb-Recorded", "later");
    const Result<ChatAnswer> answer =
        context_.chat.Run(MakeRunForCaller(begin));
    if (!answer) {
      EndWithError(answer.error());
      return;
    }
    const Status queued =
        context_.items.RecordLater(item_, Completion(item_, answer));
    if (!queued) {
      EndWithError(queued.error());
      return;
    }
    FinishAnswer(*answer);
  }

  // Returns a run whose text is sent to the caller as it arrives.
  ChatRun MakeRunForCaller(TimePoint begin) {
    ChatRun run =
        MakeRun(request_, *service_, caller_.account, span_.context());
    run.on_text = [this, begin](const std::string& text) {
      if (!first_token_received_) {
        first_token_received_ = true;
        host_.metrics()
            .latency("sequoialb_first_token_seconds")
            .Observe(Clock::now() - begin);
      }
      WriteText(text);
    };
    return run;
  }

  void RunItem(TimePoint begin) {
    const Result<ChatAnswer> answer =
        context_.chat.Run(MakeRunForCaller(begin));
    const Status recorded = context_.items.Complete(
        Completion(item_, answer), Clock::now() + kCompleteTimeout);
    if (!answer) {
      EndWithError(answer.error());
      return;
    }
    if (!recorded) {
      FinishFromRecordedResult(recorded.error(), answer->text);
      return;
    }
    FinishAnswer(*answer);
    host_.metrics()
        .latency("sequoialb_online_seconds")
        .Observe(Clock::now() - begin);
  }

  // This host's result was rejected because its lease had ended and another
  // host took over the item. The result which that host recorded is the answer.
  void FinishFromRecordedResult(const Error& error, const std::string& sent) {
    const auto item = context_.items.AwaitResult(
        item_.id(), Clock::now() + service_->document.online_limit);
    if (!item || item->state() != proto::ITEM_DONE) {
      EndWithError(error);
      return;
    }
    const StoredAnswer stored = StoredAnswer::Decode(item->result());
    if (stored.text.compare(0, sent.size(), sent) != 0) {
      EndWithError(error);
      return;
    }
    if (request_.stream) {
      WriteText(stored.text.substr(sent.size()));
    }
    FinishAnswer(ChatAnswer{stored.text, stored.finish_reason, stored.chunks});
  }

  // Answers a repeated request: waits for the item if it is still running, then
  // sends its stored result.
  void AnswerFromRecord() {
    Result<proto::ItemRecord> item = context_.items.AwaitResult(
        item_.id(), Clock::now() + service_->document.online_limit);
    if (!item) {
      Refuse(item.error());
      return;
    }
    response_.set("X-Sequoialb-Repeated", "true");
    if (item->state() != proto::ITEM_DONE) {
      Refuse(ErrorOf(*item));
      return;
    }
    const StoredAnswer stored = StoredAnswer::Decode(item->result());
    if (request_.stream) {
      WriteText(stored.text);
    }
    FinishAnswer(ChatAnswer{stored.text, stored.finish_reason, stored.chunks});
  }

  void WriteText(const std::string& text) {
    if (!request_.stream || stream_closed_) {
      return;
    }
    const TimePoint now = Clock::now();
    if (now >= key_check_due_) {
      key_check_due_ = now + kKeyCheckInterval;
      if (!KeyStillValid(caller_, host_)) {
        WriteEvent(
            "data: " +
            ProblemJson(Error{ErrorCode::kBadKey,
                              "the key was withdrawn while the answer was "
                              "under way",
                              RunState::kRan}) +
            "\n\n");
        stream_closed_ = true;
        return;
      }
    }
    WriteEvent(FormatChunk(request_, item_.id(), created_, text, ""));
  }

  // Writes one event. If the caller has disconnected, the item still runs to
  // its end: it was accepted, and its result stays readable.
  void WriteEvent(const std::string& event) {
    if (stream_closed_) {
      return;
    }
    try {
      if (out_ == nullptr) {
        response_.setChunkedTransferEncoding(true);
        response_.setContentType("text/event-stream");
        response_.set("Cache-Control", "no-cache");
        out_ = &response_.send();
      }
      *out_ << event << std::flush;
      stream_closed_ = !out_->good();
    } catch (const Poco::Exception&) {
      stream_closed_ = true;
    }
  }

  void FinishAnswer(const ChatAnswer& answer) {
    if (request_.stream) {
      WriteEvent(FormatChunk(request_, item_.id(), created_, "",
                             answer.finish_reason) +
                 "data: [DONE]\n\n");
      return;
    }
    if (!KeyStillValid(caller_, host_)) {
      SendError(response_,
                Error{ErrorCode::kBadKey,
                      "the key was withdrawn while the answer was under way",
                      RunState::kRan});
      return;
    }
    SendJson(response_,
             FormatAnswer(request_, item_.id(), created_, answer.text,
                          answer.finish_reason, answer.chunks));
  }

  // Ends an answer with an error, sent as an event if the stream has begun.
  void EndWithError(const Error& error) {
    if (out_ == nullptr) {
      Refuse(error);
      return;
    }
    CountError(error);
    WriteEvent("data: " + ProblemJson(error) + "\n\n");
  }

  void Refuse(const Error& error) {
    CountError(error);
    SendError(response_, error);
  }

  void CountError(const Error& error) {
    const std::string labels =
        "code=\"" + std::string(ErrorName(error.code)) + "\"";
    host_.metrics().counter("sequoialb_refused_total", labels).Add();
    span_.Set("error", std::string(ErrorName(error.code)));
  }

  EntryContext& context_;
  Host& host_;
  Poco::Net::HTTPServerRequest& http_request_;
  Poco::Net::HTTPServerResponse& response_;
  SpanScope span_;
  ConfigPointer config_;
  Caller caller_;
  std::string body_;
  ChatRequest request_;
  const ActiveService* service_ = nullptr;
  proto::ItemRecord item_;
  const int64_t created_ = UnixMs() / 1000;
  std::ostream* out_ = nullptr;
  bool stream_closed_ = false;
  bool first_token_received_ = false;
  TimePoint key_check_due_;
};

}  // namespace

void HandleChat(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response) {
  ChatExchange(context, request, response).Handle();
}

void RunReassignedChatItem(EntryContext& context,
                           const proto::ItemRecord& item) {
  const Result<ChatRequest> request =
      ParseChatRequest(item.path(), item.body());
  const ConfigPointer config = context.host.config().current();
  const auto service = config->services.find(item.service());
  Result<ChatAnswer> answer =
      Fail(ErrorCode::kItemFailed,
           "the service no longer exists or the request cannot be parsed");
  if (request && service != config->services.end()) {
    SpanScope span(context.host.spans(),
                   TraceContext::FromHeader(item.traceparent()), "take-over");
    ChatRun run =
        MakeRun(*request, *service->second, item.account(), span.context());
    // No caller waits for the first token of an item that was taken over.
    run.first_token_deadline = run.deadline;
    answer = context.chat.Run(run);
  }
  const Status recorded = context.items.Complete(
      Completion(item, answer), Clock::now() + kCompleteTimeout);
  LogInfo("item_taken_over",
          {{"item", item.id()},
           {"outcome",
            !answer ? std::string(ErrorName(answer.error().code)) : "done"},
           {"recorded", recorded ? "yes" : "later"}});
}

}  // namespace sequoialb
