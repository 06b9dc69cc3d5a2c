#include "gateway/gateway.h"

#include <algorithm>

#include "base/hash.h"
#include "gateway/stall_policy.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

// How often waiting requests are tried again. Load reports of other fronts
// expire without an event, and that can free a slot.
constexpr milliseconds kDispatchInterval{15};
// Time limit for connecting to a backend server: several round trips between
// failure domains, but less than the time to retransmit a lost packet.
constexpr milliseconds kConnectTimeout{100};
// How long a connection may have been idle when it is reused. Requests that may
// run only once have the lower limit.
constexpr milliseconds kRunOnceMaxIdle{1'000};
constexpr milliseconds kMaxIdle{8'000};
// With more bytes than this not yet sent to a caller, its server is no longer
// read from.
constexpr size_t kMaxUnsent = 262'144;
// A caller must read half of that (64 KB a second) before its server has not
// been read from for this long. Servers abort responses that stay unread for
// some seconds, which would look like a failure of the server.
constexpr milliseconds kMaxPause{2'000};
// Time from getting a slot to an answer's first event.
constexpr milliseconds kFirstEventTime{40};
// Only one in this many requests that were served or abandoned by their callers
// is logged.
constexpr uint64_t kServedLogInterval = 64;
// The newest request changes the mean hold time by one part in this many.
constexpr int kMeanHoldDivisor = 16;

std::string WholeMs(Duration d) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

// Returns the refusal of a request that a quarantine covers.
Error QuarantineError(const proto::Quarantine& quarantine, RunState run) {
  return {ErrorCode::kQuarantined,
          "requests whose prompt has " + PartsText(quarantine) +
              " have crashed several backend servers; they are not sent to "
              "any for the time being",
          run, std::max<int64_t>(0, quarantine.until_unix_ms() - UnixMs())};
}

bool IsEventStream(const ResponseHead& head) {
  const std::string* type = head.headers.Find("Content-Type");
  return type != nullptr &&
         type->find("text/event-stream") != std::string::npos;
}

// Returns whether an answer can go on with a stream that another server began.
// The caller has the head of that server's answer and gets only events.
bool ContinuesStream(const ResponseHead& head) {
  return head.status == 200 && IsEventStream(head);
}

// Returns how long a request may take from its arrival.
milliseconds TimeLimit(const Route& route, const CallerRequest& caller) {
  return std::min(route.timeout, caller.time_left.value_or(route.timeout));
}

std::string_view HostWithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

struct Gateway::Request {
  uint64_t number = 0;
  std::shared_ptr<HttpExchange> exchange;
  // Keeps `route` valid when the catalog changes.
  std::shared_ptr<const CatalogIndex> catalog;
  const Route* route = nullptr;
  std::string account;
  CallerRequest caller;
  std::string service;
  TimePoint arrived_at;
  TimePoint sent_at;
  // When the current server last sent a part of its answer, or TimePoint() when
  // it has not. Of an event stream only new events count, because a server in
  // trouble may send other bytes without end.
  TimePoint last_progress_at;
  // When the current server's answer began, or TimePoint().
  TimePoint begun_at;
  // The current server has sent an event that the caller did not have.
  bool has_event = false;
  // The prompt tokens that count as unread at the current server.
  uint64_t unread_tokens = 0;
  // The end of the current answer is marked by its framing.
  bool end_marked = false;
  // An earlier server's answer ended before it was complete.
  bool broken_before = false;
  TimePoint deadline;
  TimerId deadline_timer = 0;
  bool waiting = false;
  // The caller was refused before and has come back.
  bool returning = false;

  std::unique_ptr<HttpCall> call;
  std::string backend;
  // The process that `call` was sent to.
  ServerProcess process;
  // A batch item was stopped to free a slot for the current attempt.
  bool item_stopped = false;
  uint32_t attempts = 0;
  // The current attempt is the trial of the quarantines that cover the request.
  bool trial = false;
  // The current attempt has been counted as a survivor.
  bool survived = false;
  std::set<std::string> avoid;
  // The request was sent to a server that has not stated that it did not run
  // it.
  bool may_have_run = false;
  // The value of may_have_run before the current attempt.
  bool may_have_run_before = false;

  bool head_forwarded = false;
  bool is_event_stream = false;
  // The caller has not read enough, and the server is not read from until then.
  bool paused = false;
  // When a paused request ends.
  TimePoint pause_ends_at;
  // Reading was paused since the last event.
  bool was_paused = false;
  EventParser parser;
  std::optional<uint64_t> last_event;
};

Gateway::Gateway(FrontShared& front, RateLimiter& rates, Hooks hooks)
    : front_(front),
      rates_(rates),
      hooks_(std::move(hooks)),
      random_(Hash64(RandomHex(8))),
      started_(front.metrics.counter("sequoialb_requests_total")),
      completed_(front.metrics.counter("sequoialb_requests_completed_total")),
      refused_(front.metrics.counter("sequoialb_requests_refused_total")),
      refused_on_arrival_(
          front.metrics.counter("sequoialb_requests_refused_on_arrival_total")),
      refused_after_wait_(
          front.metrics.counter("sequoialb_requests_refused_after_wait_total")),
      sent_contended_(
          front.metrics.counter("sequoialb_requests_sent_contended_total")),
      broken_(front.metrics.counter("sequoialb_requests_broken_total")),
      resumed_(front.metrics.counter("sequoialb_streams_resumed_total")),
      caller_left_(front.metrics.counter("sequoialb_requests_abandoned_total")),
      slow_callers_(front.metrics.counter("sequoialb_slow_callers_total")),
      first_event_(front.metrics.latency("sequoialb_first_byte_seconds")),
      waited_(front.metrics.latency("sequoialb_wait_seconds")) {}

Gateway::~Gateway() = default;

void Gateway::OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
  started_.Add();
  const RequestHead& head = exchange->head();
  CallerRequest caller = front_.protocol.DecodeRequest(head);
  const auto refuse = [&](ErrorCode code, const std::string& detail,
                          std::optional<int64_t> retry_after_ms = {}) {
    refused_.Add();
    const Error error{code, detail, RunState::kNotRun, retry_after_ms};
    LogRefusal(caller.id, "", head.target, error, Duration(0));
    Refuse(front_, *exchange, error);
  };
  if (!front_.view.has_authority()) {
    refuse(ErrorCode::kStaleConfig,
           "this host has no confirmed view of the configuration",
           AuthorityRetryDelayMs());
    return;
  }
  const CatalogIndex& catalog = *front_.view.catalog;
  const Route* route = catalog.FindRoute(
      HostWithoutPort(*head.headers.Find("Host")), head.path());
  if (route == nullptr) {
    refuse(ErrorCode::kNotFound, "no route matches this host and path");
    return;
  }
  const Account* account = nullptr;
  if (!route->open && !catalog.catalog().accounts.empty()) {
    account = catalog.FindAccount(caller.key);
    if (account == nullptr) {
      refuse(ErrorCode::kBadKey, "the key is unknown or withdrawn");
      return;
    }
  }
  const auto* quarantine =
      FindQuarantine(front_.view.quarantines, caller.shared_parts);
  if (quarantine != nullptr &&
      !front_.trials.Allows(front_.view.quarantines, caller.shared_parts)) {
    front_.trials.RecordRefused(front_.view.quarantines, caller.shared_parts,
                                front_.loop.now());
    const Error error = QuarantineError(*quarantine, RunState::kNotRun);
    refuse(error.code, error.detail, error.retry_after_ms);
    return;
  }
  const TimePoint received_at = exchange->received_at();
  if (!front_.view.TakesRequest(received_at,
                                received_at + TimeLimit(*route, caller))) {
    const Error error = DrainRefusal();
    refuse(error.code, error.detail, error.retry_after_ms);
    return;
  }
  if (route->kind == RouteKind::kBatch) {
    if (account == nullptr) {
      refuse(ErrorCode::kNoKey,
             "a batch job needs the key of a client account");
      return;
    }
    hooks_.submit_job(exchange, *route, *account);
    return;
  }
  Admit(exchange, std::move(caller), *route, account);
}

void Gateway::Admit(const std::shared_ptr<HttpExchange>& exchange,
                    CallerRequest caller, const Route& route,
                    const Account* account) {
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.number = next_request_++;
  request.exchange = exchange;
  request.catalog = front_.view.catalog;
  request.route = &route;
  request.account = account == nullptr ? "" : account->name;
  request.caller = std::move(caller);
  request.last_event = request.caller.last_event;
  request.arrived_at = exchange->received_at();
  const milliseconds limit = TimeLimit(route, request.caller);
  request.deadline = request.arrived_at + limit;
  milliseconds& longest = longest_time_left_[route.name];
  longest = std::max(longest, limit);
  request.returning = IsReturning(limit, longest);
  requests_[request.number] = std::move(owned);
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  request.service = PickTarget(route, draw);
  request.deadline_timer = front_.loop.RunAt(
      request.deadline, [this, &request] { OnDeadline(request); });
  exchange->OnCallerDisconnect([this, &request] {
    caller_left_.Add();
    Finish(request, "caller_left");
  });
  if (account == nullptr || account->rate <= 0) {
    SendOrQueue(request);
    return;
  }
  rates_.Take(*account, [this, number = request.number](
                            const RateLimiter::Answer& answer) {
    OnToken(number, answer);
  });
}

void Gateway::OnToken(uint64_t number, const RateLimiter::Answer& answer) {
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  if (answer.taken) {
    SendOrQueue(*found->second);
    return;
  }
  End(*found->second,
      {ErrorCode::kRateLimited, "the account is over its rate limit",
       RunState::kNotRun, answer.retry_after_ms});
}

void Gateway::SendOrQueue(Request& request) {
  if (!TrySend(request)) {
    Enqueue(request);
  }
}

bool Gateway::TrySend(Request& request) {
  if (EndIfQuarantined(request)) {
    return true;
  }
  const TimePoint now = front_.loop.now();
  if (!queue_.empty() && !request.waiting) {
    // Queued requests go first, in the order of the queue.
    return false;
  }
  const SlotUse slots_to_use =
      SlotsToUse(now - request.arrived_at, front_.pool.IsContended(now),
                 front_.pool.HoldsSlots());
  auto choice = front_.pool.ChooseOnline(request.service, request.avoid, now,
                                         slots_to_use);
  if (choice && choice->stop_item && !hooks_.stop_item(choice->backend)) {
    choice.reset();
  }
  if (!choice) {
    return false;
  }
  Send(request, *choice);
  return true;
}

bool Gateway::EndIfQuarantined(Request& request) {
  const auto* quarantine =
      FindQuarantine(front_.view.quarantines, request.caller.shared_parts);
  if (quarantine == nullptr ||
      front_.trials.Allows(front_.view.quarantines,
                           request.caller.shared_parts)) {
    return false;
  }
  front_.trials.RecordRefused(front_.view.quarantines,
                              request.caller.shared_parts, front_.loop.now());
  End(request,
      QuarantineError(*quarantine, request.may_have_run ? RunState::kUnknown
                                                        : RunState::kNotRun));
  return true;
}

void Gateway::LogTrial(const Request& request, const char* outcome) const {
  LogInfo("quarantine_trial",
          {{"request", request.caller.id},
           {"backend", request.backend},
           {"shared_parts", PartsText(request.caller.shared_parts)},
           {"outcome", outcome}});
}

void Gateway::EndQuarantined() {
  std::vector<Request*> waiting;
  for (const auto& [number, request] : requests_) {
    if (request->waiting) {
      waiting.push_back(request.get());
    }
  }
  for (Request* request : waiting) {
    EndIfQuarantined(*request);
  }
}

std::string Gateway::ForwardedBytes(const Request& request,
                                    const std::string& backend,
                                    int64_t left_ms) const {
  const HttpExchange& exchange = *request.exchange;
  ForwardFields fields;
  fields.id = request.caller.id;
  fields.backend = backend;
  fields.account = request.account;
  fields.time_left_ms = left_ms;
  fields.last_event = request.last_event;
  std::string bytes =
      exchange.head().method + " " + exchange.head().target + " HTTP/1.1\r\n";
  const HttpHeaders headers =
      front_.protocol.ForwardHeaders(exchange.head().headers, fields);
  for (const HttpHeader& header : headers.fields()) {
    bytes.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (exchange.head().framing != BodyFraming::kNone) {
    bytes +=
        "Content-Length: " + std::to_string(exchange.body().size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += exchange.body();
  return bytes;
}

void Gateway::Send(Request& request, const Choice& choice) {
  const TimePoint now = front_.loop.now();
  const bool withdrawn =
      !request.account.empty() &&
      (front_.view.catalog == nullptr ||
       front_.view.catalog->FindAccount(request.caller.key) == nullptr);
  if (!front_.view.has_authority() || withdrawn) {
    End(request,
        {withdrawn ? ErrorCode::kBadKey : ErrorCode::kStaleConfig,
         "the key was withdrawn or the configuration became stale while the "
         "request waited",
         request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
         AuthorityRetryDelayMs()});
    return;
  }
  if (request.waiting) {
    queue_.RecordServed(request.number);
    request.waiting = false;
  }
  waited_.Observe(now - request.arrived_at);
  if (front_.pool.IsContended(now)) {
    sent_contended_.Add();
  }
  ++request.attempts;
  request.backend = choice.backend;
  request.process = choice.process();
  request.sent_at = now;
  request.last_progress_at = TimePoint();
  request.begun_at = TimePoint();
  request.has_event = false;
  request.survived = false;
  request.item_stopped = choice.stop_item;
  request.may_have_run_before = request.may_have_run;
  request.may_have_run = true;
  request.trial =
      front_.trials.Take(front_.view.quarantines, request.caller.shared_parts);
  if (request.trial) {
    LogTrial(request, "sent");
  }
  front_.pool.RecordSent(choice.backend, false, now);
  request.unread_tokens = request.caller.prompt_tokens;
  front_.pool.AddUnread(choice.backend, request.unread_tokens);
  CallOptions options;
  options.request = ForwardedBytes(request, choice.backend,
                                   RemainingMs(request.deadline, now));
  options.head_request = request.exchange->head().method == "HEAD";
  options.request_id_header = front_.protocol.request_id_header();
  options.request_id = request.caller.id;
  const bool runs_once =
      request.route->kind == RouteKind::kOnce ||
      (request.route->kind == RouteKind::kStream && !request.route->resumable);
  options.max_idle = runs_once ? kRunOnceMaxIdle : kMaxIdle;
  options.connect_deadline = now + kConnectTimeout;
  options.may_send = [this, backend = choice.backend] {
    return front_.MaySend(backend);
  };
  CallEvents events;
  events.on_connected = [this, &request] {
    front_.crashes.RecordAccepted(request.process.address, front_.loop.now());
  };
  events.on_head = [this, &request](const ResponseHead& head) {
    OnHead(request, head);
  };
  events.on_data = [this, &request](std::string_view data) {
    OnData(request, data);
  };
  events.on_complete = [this, &request] { OnComplete(request); };
  events.on_failure = [this, &request](CallFailure failure) {
    OnFailure(request, failure);
  };
  request.call = front_.client.Start(choice.address, std::move(options),
                                     std::move(events));
}

void Gateway::Release(Request& request) {
  request.call.reset();
  if (!request.backend.empty()) {
    RecordPromptRead(request);
    front_.pool.RecordEnded(request.backend, false,
                            request.last_progress_at != TimePoint());
    front_.pool.RecordSlotFreed(request.backend, front_.loop.now());
    request.backend.clear();
  }
}

bool Gateway::CanRetry(const Request& request) const {
  const bool repeatable =
      request.route->kind == RouteKind::kIdempotent ||
      (request.route->kind == RouteKind::kStream && request.route->resumable);
  const bool run_allows = !request.may_have_run || repeatable;
  const bool response_allows =
      !request.head_forwarded ||
      (request.is_event_stream && request.route->resumable);
  // A caller that does not read its response would not read another one.
  return run_allows && response_allows && !request.paused &&
         request.attempts < request.route->attempts &&
         front_.loop.now() < request.deadline;
}

// Retries the request at another server, or ends it with `error` when it may
// not be retried.
void Gateway::RetryOrEnd(Request& request, const Error& error) {
  if (!CanRetry(request)) {
    End(request, error);
    return;
  }
  if (request.head_forwarded) {
    resumed_.Add();
  }
  request.parser.Clear();
  LogInfo(
      "request_again",
      {{"request", request.caller.id},
       {"reason", error.detail},
       {"attempts", std::to_string(request.attempts)},
       {"last_event",
        request.last_event ? std::to_string(*request.last_event) : "none"}});
  if (!TrySend(request)) {
    Enqueue(request);
  }
}

void Gateway::OnHead(Request& request, const ResponseHead& head) {
  const TimePoint now = front_.loop.now();
  request.end_marked = head.framing != BodyFraming::kUntilClose;
  if (!head.attributed) {
    // It may answer an earlier request on this connection.
    LogWarn("answer_unattributed", {{"request", request.caller.id},
                                    {"backend", request.backend},
                                    {"status", std::to_string(head.status)}});
    OnFailure(request, CallFailure::kFaulty);
    return;
  }
  const BackendAnswer answer = front_.protocol.DecodeAnswer(head);
  front_.RecordServerState(request.backend, answer);
  if (answer.not_run || answer.other_server) {
    const std::string backend = request.backend;
    request.may_have_run = request.may_have_run_before;
    request.avoid.insert(backend);
    if (answer.other_server) {
      front_.pool.RecordFailure(backend, ServerFailure::kOtherServer, now);
    } else {
      front_.pool.RecordRefused(backend, now);
    }
    Release(request);
    RetryOrEnd(request,
               {ErrorCode::kOverloaded,
                "backend server " + backend +
                    " refused the request without running it",
                request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
                RetryElsewhereMs()});
    return;
  }
  const bool success =
      head.status < 300 && (!request.head_forwarded || ContinuesStream(head));
  if (!success && CanRetry(request)) {
    const std::string backend = request.backend;
    request.avoid.insert(backend);
    Release(request);
    RetryOrEnd(request, {ErrorCode::kBackendFailed,
                         "backend server " + backend + " answered " +
                             std::to_string(head.status),
                         RunState::kRan});
    return;
  }
  if (!success && request.head_forwarded) {
    End(request, {ErrorCode::kBackendFailed, "the stream could not be resumed",
                  RunState::kRan});
    return;
  }
  RecordProgress(request);
  if (!request.head_forwarded) {
    ForwardHead(request, head);
  }
}

void Gateway::RecordPromptRead(Request& request) {
  front_.pool.RemoveUnread(request.backend, request.unread_tokens);
  request.unread_tokens = 0;
}

void Gateway::RecordProgress(Request& request) {
  const TimePoint now = front_.loop.now();
  front_.pool.RecordProgress(request.backend,
                             request.last_progress_at == TimePoint(), now);
  front_.crashes.RecordAlive(request.backend, now);
  request.last_progress_at = now;
  if (request.begun_at == TimePoint()) {
    request.begun_at = now;
  }
  if (CrashRecorder::HasSurvived(request.begun_at, now)) {
    front_.crashes.RecordSound(request.caller.shared_parts, true, now);
    CountSurvivor(request);
  }
}

void Gateway::RecordSpeed(const Request& request) {
  const TimePoint now = front_.loop.now();
  const Duration target = request.route->latency_target;
  if (request.has_event) {
    front_.pool.RecordGap(request.backend, now - request.last_progress_at,
                          target, now);
  } else if (request.attempts == 1) {
    // A resumed stream may repeat events that were skipped.
    front_.pool.RecordFirstEvent(request.backend, now - request.sent_at,
                                 request.caller.prompt_tokens, target, now);
  }
}

void Gateway::CountSurvivor(Request& request) {
  if (!request.survived && !request.caller.shared_parts.empty()) {
    request.survived = true;
    front_.survivors.Add(front_.loop.now());
  }
}

void Gateway::ForwardHead(Request& request, const ResponseHead& head) {
  request.head_forwarded = true;
  request.is_event_stream = head.status < 300 &&
                            request.route->kind == RouteKind::kStream &&
                            IsEventStream(head);
  HttpHeaders forwarded;
  const HopByHopFields hop_by_hop(head.headers);
  for (const HttpHeader& header : head.headers.fields()) {
    if (!hop_by_hop.Contains(header.name) &&
        !EqualsIgnoringCase(header.name, "Content-Length")) {
      forwarded.Add(header.name, header.value);
    }
  }
  std::optional<uint64_t> length;
  if (head.framing == BodyFraming::kLength && !request.is_event_stream) {
    length = head.length;
  } else if (head.framing == BodyFraming::kNone) {
    length = 0;
  }
  const TimePoint now = front_.loop.now();
  first_event_.Observe(now - request.arrived_at);
  if (now - request.arrived_at > request.route->latency_target) {
    LogInfo("first_event_late",
            {{"request", request.caller.id},
             {"backend", request.backend},
             {"wait_ms", WholeMs(request.sent_at - request.arrived_at)},
             {"backend_ms", WholeMs(now - request.sent_at)},
             {"attempts", std::to_string(request.attempts)},
             {"item_stopped", request.item_stopped ? "yes" : "no"},
             {"load", front_.pool.Describe(request.backend, now)}});
  }
  request.exchange->Start(head.status, forwarded, length);
}

void Gateway::OnData(Request& request, std::string_view data) {
  if (!request.is_event_stream) {
    RecordPromptRead(request);
    RecordProgress(request);
    request.exchange->Send(data);
  } else {
    ForwardEvents(request, data);
    if (request.parser.too_long() || request.parser.foreign()) {
      LogWarn(
          request.parser.foreign() ? "bytes_not_an_event" : "event_without_end",
          {{"request", request.caller.id}, {"backend", request.backend}});
      OnFailure(request, CallFailure::kFaulty);
      return;
    }
  }
  if (request.exchange->unsent() > kMaxUnsent && !request.paused) {
    request.paused = true;
    request.pause_ends_at = front_.loop.now() + kMaxPause;
    request.was_paused = true;
    request.call->Pause(true);
    request.exchange->OnDrained([this, &request] { Resume(request); });
  }
}

void Gateway::Resume(Request& request) {
  if (request.paused && request.call != nullptr) {
    request.paused = false;
    // The server could not make progress during the pause.
    request.last_progress_at = front_.loop.now();
    request.call->Pause(false);
  }
}

void Gateway::CheckPaused(TimePoint now) {
  std::vector<Request*> too_slow;
  for (const auto& [number, request] : requests_) {
    if (!request->paused) {
      continue;
    }
    if (request->exchange->unsent() <= kMaxUnsent / 2) {
      Resume(*request);
    } else if (now >= request->pause_ends_at) {
      too_slow.push_back(request.get());
    }
  }
  for (Request* request : too_slow) {
    slow_callers_.Add();
    End(*request, {ErrorCode::kCancelled,
                   "the caller does not read its response", RunState::kRan});
  }
}

void Gateway::ForwardEvents(Request& request, std::string_view data) {
  request.parser.Add(data);
  std::string whole;
  size_t events = 0;
  while (auto event = request.parser.Next()) {
    // Skips events that the caller has already received.
    const bool repeated =
        event->id && request.last_event && *event->id <= *request.last_event;
    if (repeated) {
      continue;
    }
    events += event->id || !event->data.empty() ? 1 : 0;
    request.last_event = event->id ? event->id : request.last_event;
    whole += event->raw;
  }
  if (events > 0) {
    // Events that are read together, or after a pause for a slow caller, say
    // nothing about the time between them.
    if (events == 1 && !request.was_paused) {
      RecordSpeed(request);
    }
    request.was_paused = request.paused;
    request.has_event = true;
    RecordPromptRead(request);
    RecordProgress(request);
  }
  request.exchange->Send(whole);
}

void Gateway::OnComplete(Request& request) {
  // An answer that ends with its connection may be cut anywhere.
  const bool empty = !request.end_marked && !request.has_event;
  if (request.is_event_stream && (request.parser.partial() || empty)) {
    OnFailure(request,
              request.end_marked ? CallFailure::kFaulty : CallFailure::kBroken);
    return;
  }
  if (request.trial) {
    LogTrial(request, "answered");
  }
  front_.pool.RecordSuccess(request.backend);
  front_.crashes.RecordAlive(request.backend, front_.loop.now());
  // A crash may look like the end of an answer that ends with its connection.
  // The short rest of an answer may end before it crashes its server.
  const TimePoint now = front_.loop.now();
  if (request.end_marked &&
      CrashRecorder::IsWhole(!request.broken_before, request.begun_at, now)) {
    front_.crashes.RecordSound(request.caller.shared_parts, true, now);
    CountSurvivor(request);
  } else if (request.broken_before) {
    front_.crashes.RecordBroken(request.process, request.caller.shared_parts,
                                request.begun_at, now);
  }
  const Duration held = now - request.sent_at;
  mean_hold_ +=
      mean_hold_.count() == 0 ? held : (held - mean_hold_) / kMeanHoldDivisor;
  request.exchange->Finish();
  completed_.Add();
  Finish(request, "served");
}

void Gateway::OnFailure(Request& request, CallFailure failure) {
  const std::string backend = request.backend;
  const TimePoint now = front_.loop.now();
  const bool unsent = IsUnsent(failure);
  if (request.trial) {
    LogTrial(request, failure == CallFailure::kWithheld ? "withheld"
                      : unsent                          ? "unreachable"
                                                        : "broken");
  }
  if (failure == CallFailure::kRefused) {
    front_.crashes.RecordRefused(request.process.address, now);
  } else if (failure == CallFailure::kBroken) {
    front_.crashes.RecordBroken(request.process, request.caller.shared_parts,
                                request.begun_at, now);
  }
  if (!unsent) {
    request.broken_before = true;
    LogInfo(
        "attempt_broken",
        {{"request", request.caller.id},
         {"account", request.account},
         {"route", request.route->name},
         {"backend", backend},
         {"shared_parts", PartsText(request.caller.shared_parts)},
         {"ran_ms", WholeMs(now - request.sent_at)},
         {"connection_ended", failure == CallFailure::kBroken ? "yes" : "no"},
         {"answer_begun",
          request.last_progress_at != TimePoint() ? "yes" : "no"},
         {"load", front_.pool.Describe(backend, now)}});
  }
  front_.RecordCallFailure(backend, failure);
  if (failure != CallFailure::kRefused) {
    // A server that refused the connection may start again: the pool's backoff
    // says when it is tried next.
    request.avoid.insert(backend);
  }
  if (unsent) {
    // Nothing was sent, so this does not count as an attempt.
    --request.attempts;
    if (request.trial) {
      front_.trials.Return(front_.view.quarantines,
                           request.caller.shared_parts);
    }
    request.may_have_run = request.may_have_run_before;
  }
  Release(request);
  RetryOrEnd(
      request,
      {unsent && !request.may_have_run ? ErrorCode::kOverloaded
                                       : ErrorCode::kBackendFailed,
       "backend server " + backend +
           (unsent ? " cannot be reached" : " did not send a complete answer"),
       request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
       RetryElsewhereMs()});
}

bool Gateway::HasStalled(const Request& request, TimePoint now) const {
  if (request.call == nullptr || request.paused || !CanRetry(request)) {
    return false;
  }
  const Duration reading = front_.pool.ReadingTime(
      request.backend, request.caller.prompt_tokens, now);
  if (request.last_progress_at != TimePoint()) {
    return request.is_event_stream &&
           now >= StreamStallsAt(*request.route, request.last_progress_at,
                                 request.has_event ? Duration(0) : reading);
  }
  const TimePoint stalls_at =
      front_.pool.IsStalled(request.backend, now)
          ? request.sent_at + kMinStallTime
          : FirstEventStallsAt(*request.route, request.sent_at,
                               front_.pool.Speed(request.backend, now),
                               reading);
  if (now < stalls_at) {
    return false;
  }
  std::set<std::string> avoid = request.avoid;
  avoid.insert(request.backend);
  const auto other = front_.pool.ChooseOnline(request.service, avoid, now);
  return other.has_value();
}

void Gateway::CheckStalls() {
  const TimePoint now = front_.loop.now();
  CheckPaused(now);
  std::vector<Request*> stalled;
  for (const auto& [number, request] : requests_) {
    if (HasStalled(*request, now)) {
      stalled.push_back(request.get());
    }
  }
  for (Request* request : stalled) {
    const std::string backend = request->backend;
    // The server has failed if all its streams have stalled. Otherwise this
    // request may just be queued there, or was preempted.
    if (front_.pool.IsStalled(backend, now)) {
      front_.pool.RecordFailure(backend, ServerFailure::kStalled, now);
    } else {
      front_.pool.RecordFull(backend, now);
    }
    request->avoid.insert(backend);
    Release(*request);
    RetryOrEnd(*request,
               {ErrorCode::kBackendFailed,
                "backend server " + backend + " stalled", RunState::kUnknown});
  }
}

void Gateway::Enqueue(Request& request) {
  WaitingRequest entry;
  entry.request = request.number;
  entry.service = request.service;
  entry.account = request.account;
  entry.priority = request.route->priority;
  entry.returning = request.returning;
  entry.send_by =
      request.arrived_at + request.route->latency_target - kFirstEventTime;
  const WaitLimits limits =
      WaitLimitsOf(request.returning, request.route->latency_target);
  entry.expires_at =
      request.head_forwarded
          ? request.deadline
          : std::min(request.deadline, request.arrived_at + limits.held);
  const TimePoint now = front_.loop.now();
  // A request that has lost its server was admitted before.
  const TimePoint admitted_until =
      request.attempts > 0
          ? entry.expires_at
          : std::min(entry.expires_at, request.arrived_at + limits.admitted);
  if (!request.head_forwarded &&
      CannotMeetDeadline(CurrentServiceRate(),
                         queue_.Ahead(request.returning, now),
                         admitted_until - now)) {
    refused_on_arrival_.Add();
    RefuseOverloaded(request);
    return;
  }
  request.waiting = true;
  queue_.Add(std::move(entry));
  ScheduleDispatch();
}

void Gateway::ScheduleDispatch() {
  if (dispatch_timer_ == 0 && !queue_.empty()) {
    dispatch_timer_ =
        front_.loop.RunAt(front_.loop.now() + kDispatchInterval, [this] {
          dispatch_timer_ = 0;
          DispatchQueued();
        });
  }
}

void Gateway::DispatchQueued() {
  for (const uint64_t number : queue_.TakeExpired(front_.loop.now())) {
    refused_after_wait_.Add();
    RefuseOverloaded(*requests_.at(number));
  }
  std::set<std::string> full_services;
  for (const uint64_t number : queue_.Order(front_.loop.now())) {
    const auto found = requests_.find(number);
    if (found == requests_.end() || !found->second->waiting) {
      continue;
    }
    Request& request = *found->second;
    // Once one request has found no server of its service, the others would
    // find none either. This does not hold for requests with servers to avoid.
    if (request.avoid.empty() && full_services.count(request.service) > 0) {
      continue;
    }
    const std::string service = request.service;
    const bool avoids_servers = !request.avoid.empty();
    if (!TrySend(request) && !avoids_servers) {
      full_services.insert(service);
    }
  }
  ScheduleDispatch();
}

void Gateway::RefuseOverloaded(Request& request) {
  request.waiting = false;
  End(request, {ErrorCode::kOverloaded, "no slot became free in time",
                request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
                RetryDelayMs()});
}

ServiceRate Gateway::CurrentServiceRate() const {
  size_t active_requests = 0;
  for (const auto& [number, request] : requests_) {
    active_requests += request->call != nullptr ? 1 : 0;
  }
  return {active_requests, mean_hold_};
}

int64_t Gateway::RetryDelayMs() {
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  return RetryDelay(CurrentServiceRate(), queue_.size(), jitter).count();
}

int64_t Gateway::RetryElsewhereMs() {
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  return RetryElsewhereDelay(jitter).count();
}

int64_t Gateway::AuthorityRetryDelayMs() {
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  return RetryWithoutAuthority(front_.view.authority, BootNow(), jitter)
      .count();
}

void Gateway::OnDeadline(Request& request) {
  request.deadline_timer = 0;
  End(request, {request.may_have_run ? ErrorCode::kDeadlineExceeded
                                     : ErrorCode::kOverloaded,
                "the deadline of the request passed",
                request.may_have_run ? RunState::kUnknown : RunState::kNotRun});
}

// Ends a request with an error answer, or by aborting an answer that has
// already begun.
void Gateway::End(Request& request, const Error& error) {
  refused_.Add();
  LogRefusal(request.caller.id, request.account, request.route->name, error,
             front_.loop.now() - request.arrived_at, request.returning);
  const std::shared_ptr<HttpExchange> exchange = request.exchange;
  if (request.head_forwarded) {
    broken_.Add();
    exchange->Abort();
  } else {
    Refuse(front_, *exchange, error);
  }
  Finish(request, nullptr);
}

void Gateway::Finish(Request& request, const char* outcome) {
  if (outcome != nullptr && served_++ % kServedLogInterval == 0) {
    LogInfo("request_ended",
            {{"request", request.caller.id},
             {"account", request.account},
             {"route", request.route->name},
             {"backend", request.backend},
             {"catalog", std::to_string(request.catalog->version())},
             {"attempts", std::to_string(request.attempts)},
             {"outcome", outcome},
             {"one_line_in", std::to_string(kServedLogInterval)}});
  }
  Remove(request);
  hooks_.slot_freed();
}

void Gateway::Remove(Request& request) {
  Release(request);
  front_.loop.Cancel(request.deadline_timer);
  if (request.waiting) {
    queue_.Remove(request.number);
  }
  const auto found = requests_.find(request.number);
  std::shared_ptr<Request> kept(found->second.release());
  requests_.erase(found);
  // Callbacks of the request may still be running.
  front_.loop.ReleaseAfterIteration(kept);
}

}  // namespace sequoialb
