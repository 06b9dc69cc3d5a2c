#include "jobs/item_runner.h"

#include <algorithm>
#include <vector>

#include "jobs/item_stop_policy.h"
#include "jobs/job_route.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kConnectTimeout{100};
constexpr milliseconds kMaxConnectionIdle{8'000};
// An item that gets no slot within this time is returned, so that another front
// can run it.
constexpr milliseconds kMaxSlotWait{150};
// Items are not urgent, so a response counts as stalled only after many times
// the usual pause between events.
constexpr milliseconds kStallTimeout{800};
// Each run of an item that stalled before doubles the time, since its server
// may be slower than expected, up to kMaxStallTimeout.
//
// The budget: an item must be done within 18 s of the end of the traffic
// (FinishS of DEPLOY.md), at servers of which one may have stopped. An item of
// 80,000 prompt tokens takes 2.7 s to leave a stopped server, and 8.1 s to
// leave two; the next one gets 10.8 s to begin an answer.
constexpr uint32_t kMaxStallDoublings = 4;
constexpr milliseconds kMaxStallTimeout{20'000};
// A run whose output is longer than this is returned without it. The output of
// one item must fit into the answer to a read of results.
constexpr size_t kMaxOutputBytes = 900'000;
constexpr int kStatusNeverPossible = 422;
constexpr int kStatusFailed = 500;

}  // namespace

struct ItemRunner::Run {
  proto::ItemOffer offer;
  TimePoint accepted_at;
  TimePoint due_at;
  // When the request was sent, or its answer last made progress. Bytes that are
  // no new event are no progress.
  TimePoint last_progress_at;
  std::unique_ptr<HttpCall> call;
  std::string backend;
  // The process that `call` was sent to.
  ServerProcess process;
  EventParser parser;
  std::string output;
  std::optional<uint64_t> last_event;
  bool streaming = false;
  bool received_data = false;
  uint64_t prompt_tokens = 0;
  // The prompt tokens that count as unread at the server.
  uint64_t unread_tokens = 0;
  // The answer has made no progress for too long.
  bool stalled = false;
  // The parts of the item's prompt that other requests may have too.
  std::vector<std::string> shared_parts;
  // The run is the trial of the quarantines that cover the item.
  bool trial = false;
  // The run has been counted as a survivor.
  bool survived = false;
  // When the server's answer made its first progress, or TimePoint().
  TimePoint begun_at;
  // The end of the answer is marked by its framing.
  bool end_marked = false;
  // The status of the server's answer, or 0.
  int status = 0;
  // The catalog that has no route for the item, or 0.
  uint64_t catalog_version = 0;
  // Set when the response status alone decides the outcome.
  std::optional<proto::ItemOutcome::Kind> status_outcome;
};

ItemRunner::ItemRunner(FrontShared& front, uint64_t incarnation,
                       OutcomeHandler outcome)
    : front_(front),
      incarnation_(incarnation),
      on_outcome_(std::move(outcome)),
      started_(front.metrics.counter("sequoialb_item_runs_total")),
      completed_(front.metrics.counter("sequoialb_item_runs_completed_total")),
      stopped_(front.metrics.counter("sequoialb_item_runs_stopped_total")) {}

ItemRunner::~ItemRunner() = default;

void ItemRunner::AcceptOffer(const proto::ItemOffer& offer) {
  const Key key{offer.job(), offer.item().id()};
  if (runs_.count(key) > 0) {
    return;
  }
  auto run = std::make_unique<Run>();
  run->offer = offer;
  run->accepted_at = front_.loop.now();
  run->due_at = run->accepted_at + milliseconds(offer.due_left_ms());
  run->output = offer.output();
  // Items that earlier versions stored do not state their prompts.
  run->prompt_tokens = offer.item().prompt_tokens() > 0
                           ? offer.item().prompt_tokens()
                           : offer.item().tokens();
  run->shared_parts = {offer.item().shared_parts().begin(),
                       offer.item().shared_parts().end()};
  if (offer.has_last_event()) {
    run->last_event = offer.last_event();
  }
  Run& accepted = *run;
  runs_[key] = std::move(run);
  if (front_.view.draining()) {
    End(accepted, proto::ItemOutcome::kReturned);
    return;
  }
  TryStart(accepted);
}

bool ItemRunner::TryStart(Run& run) {
  if (!front_.view.has_authority()) {
    return false;
  }
  const CatalogIndex& catalog = *front_.view.catalog;
  if (catalog.version() < run.offer.catalog_version()) {
    // The job was accepted by a newer catalog, which may have added its route
    // or moved it to another service.
    return false;
  }
  const Route* route =
      FindJobRoute(catalog,
                   {run.offer.route_host(), run.offer.route_prefix(),
                    run.offer.route_name()},
                   run.offer.item().path());
  if (route == nullptr) {
    LogInfo("item_without_route",
            {{"job", run.offer.job()},
             {"item", run.offer.item().id()},
             {"route", run.offer.route_name()},
             {"prefix", run.offer.route_prefix()},
             {"catalog", std::to_string(catalog.version())},
             {"accepted_by", std::to_string(run.offer.catalog_version())}});
    run.catalog_version = catalog.version();
    End(run, proto::ItemOutcome::kRouteMissing);
    return true;
  }
  const auto* quarantine =
      FindQuarantine(front_.view.quarantines, run.shared_parts);
  if (quarantine != nullptr &&
      !(run.offer.trial() &&
        front_.trials.Allows(front_.view.quarantines, run.shared_parts))) {
    LogInfo("item_quarantined", {{"job", run.offer.job()},
                                 {"item", run.offer.item().id()},
                                 {"parts", PartsText(*quarantine)}});
    End(run, proto::ItemOutcome::kReturned);
    return true;
  }
  const std::string& service = PickTarget(*route, 0);
  const auto choice = front_.pool.ChooseItem(service, front_.loop.now());
  if (!choice) {
    return false;
  }
  Send(run, *choice);
  return true;
}

void ItemRunner::Send(Run& run, const Choice& choice) {
  const proto::JobItem& item = run.offer.item();
  ForwardFields fields;
  fields.id = item.id();
  fields.backend = choice.backend;
  fields.account = run.offer.account();
  fields.last_event = run.last_event;
  HttpHeaders request_headers;
  request_headers.Add("Host", run.offer.route_host());
  for (const proto::HeaderField& header : item.headers()) {
    request_headers.Add(header.name(), header.value());
  }
  std::string bytes = "POST " + item.path() + " HTTP/1.1\r\n";
  const HttpHeaders headers =
      front_.protocol.ForwardHeaders(request_headers, fields);
  for (const HttpHeader& header : headers.fields()) {
    bytes.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  bytes += "Content-Length: " + std::to_string(item.body().size()) + "\r\n\r\n";
  bytes += item.body();
  started_.Add();
  run.last_progress_at = front_.loop.now();
  run.backend = choice.backend;
  run.process = choice.process();
  run.trial = front_.trials.Take(front_.view.quarantines, run.shared_parts);
  if (run.trial) {
    LogTrial(run, "sent");
  }
  front_.pool.RecordSent(run.backend, true, front_.loop.now());
  run.unread_tokens = run.prompt_tokens;
  front_.pool.AddUnread(run.backend, run.unread_tokens);
  CallOptions options;
  options.request = std::move(bytes);
  options.request_id_header = front_.protocol.request_id_header();
  options.request_id = item.id();
  options.max_idle = kMaxConnectionIdle;
  options.connect_deadline = front_.loop.now() + kConnectTimeout;
  options.may_send = [this, backend = choice.backend] {
    return front_.MaySend(backend);
  };
  CallEvents events;
  events.on_connected = [this, &run] {
    front_.crashes.RecordAccepted(run.process.address, front_.loop.now());
  };
  events.on_head = [this, &run](const ResponseHead& head) {
    OnHead(run, head);
  };
  events.on_data = [this, &run](std::string_view data) { OnData(run, data); };
  events.on_complete = [this, &run] {
    // An answer that ends with its connection may be cut anywhere.
    const bool whole = run.streaming && !run.parser.partial() &&
                       (run.end_marked || run.received_data);
    front_.crashes.RecordAlive(run.backend, front_.loop.now());
    if (whole) {
      front_.pool.RecordSuccess(run.backend);
    }
    // The short rest of an answer may end before it crashes its server.
    const TimePoint now = front_.loop.now();
    const bool from_beginning = !run.offer.has_last_event();
    if (whole && run.end_marked &&
        CrashRecorder::IsWhole(from_beginning, run.begun_at, now)) {
      front_.crashes.RecordSound(run.shared_parts, true, now);
      CountSurvivor(run);
    } else if (whole && !from_beginning) {
      front_.crashes.RecordBroken(run.process, run.shared_parts, run.begun_at,
                                  now);
    }
    End(run,
        run.status_outcome.value_or(whole ? proto::ItemOutcome::kComplete
                                          : proto::ItemOutcome::kReturned));
  };
  events.on_failure = [this, &run](CallFailure failure) {
    OnFailure(run, failure);
  };
  run.call = front_.client.Start(choice.address, std::move(options),
                                 std::move(events));
}

void ItemRunner::CountSurvivor(Run& run) {
  if (!run.survived && !run.shared_parts.empty()) {
    run.survived = true;
    front_.survivors.Add(front_.loop.now());
  }
}

void ItemRunner::LogTrial(const Run& run, const char* outcome) {
  LogInfo("quarantine_trial", {{"job", run.offer.job()},
                               {"item", run.offer.item().id()},
                               {"backend", run.backend},
                               {"shared_parts", PartsText(run.shared_parts)},
                               {"outcome", outcome}});
}

void ItemRunner::OnFailure(Run& run, CallFailure failure) {
  const TimePoint now = front_.loop.now();
  if (run.trial && IsUnsent(failure)) {
    front_.trials.Return(front_.view.quarantines, run.shared_parts);
  }
  front_.RecordCallFailure(run.backend, failure);
  if (failure == CallFailure::kRefused) {
    front_.crashes.RecordRefused(run.process.address, now);
  } else if (failure == CallFailure::kBroken) {
    front_.crashes.RecordBroken(run.process, run.shared_parts, run.begun_at,
                                now);
  }
  if (!IsUnsent(failure)) {
    LogInfo(
        "item_attempt_broken",
        {{"job", run.offer.job()},
         {"item", run.offer.item().id()},
         {"account", run.offer.account()},
         {"backend", run.backend},
         {"shared_parts", PartsText(run.shared_parts)},
         {"connection_ended", failure == CallFailure::kBroken ? "yes" : "no"},
         {"answer_begun", run.received_data ? "yes" : "no"},
         {"load", front_.pool.Describe(run.backend, now)}});
  }
  End(run, proto::ItemOutcome::kReturned);
}

void ItemRunner::OnHead(Run& run, const ResponseHead& head) {
  const TimePoint now = front_.loop.now();
  run.end_marked = head.framing != BodyFraming::kUntilClose;
  run.status = head.status;
  if (head.headers.Find(front_.protocol.request_id_header()) == nullptr) {
    // Nothing says that it answers this run.
    LogWarn("item_answer_unattributed",
            {{"job", run.offer.job()},
             {"item", run.offer.item().id()},
             {"backend", run.backend},
             {"status", std::to_string(head.status)}});
    front_.pool.RecordFailure(run.backend, ServerFailure::kUnattributed, now);
    End(run, proto::ItemOutcome::kReturned);
    return;
  }
  const BackendAnswer answer = front_.protocol.DecodeAnswer(head);
  front_.RecordServerState(run.backend, answer);
  if (answer.other_server) {
    front_.pool.RecordFailure(run.backend, ServerFailure::kOtherServer, now);
    run.status_outcome = proto::ItemOutcome::kReturned;
  } else if (answer.not_run) {
    front_.pool.RecordRefused(run.backend, now);
    run.status_outcome = proto::ItemOutcome::kReturned;
  } else if (head.status == kStatusNeverPossible) {
    run.status_outcome = proto::ItemOutcome::kNeverPossible;
  } else if (head.status == kStatusFailed) {
    run.status_outcome = proto::ItemOutcome::kFailed;
  } else if (head.status >= 300) {
    run.status_outcome = proto::ItemOutcome::kReturned;
  } else {
    run.streaming = true;
  }
}

void ItemRunner::OnData(Run& run, std::string_view data) {
  if (!run.streaming) {
    return;
  }
  run.parser.Add(data);
  size_t events = 0;
  while (auto event = run.parser.Next()) {
    const bool repeated =
        event->id && run.last_event && *event->id <= *run.last_event;
    if (repeated || !event->id) {
      continue;
    }
    if (run.last_event) {
      run.output.push_back('\n');
    }
    run.output += event->data;
    run.last_event = event->id;
    ++events;
  }
  if (events > 0) {
    const TimePoint now = front_.loop.now();
    // Events that are read together say nothing about the time between them.
    if (events == 1 && run.received_data) {
      front_.pool.RecordGap(run.backend, now - run.last_progress_at,
                            Duration(0), now);
    }
    run.last_progress_at = now;
    RecordPromptRead(run);
    front_.pool.RecordProgress(run.backend, !run.received_data,
                               run.last_progress_at);
    front_.crashes.RecordAlive(run.backend, run.last_progress_at);
    if (!run.received_data) {
      run.begun_at = run.last_progress_at;
    }
    run.received_data = true;
    if (CrashRecorder::HasSurvived(run.begun_at, run.last_progress_at)) {
      front_.crashes.RecordSound(run.shared_parts, true, run.last_progress_at);
      CountSurvivor(run);
    }
  }
  if (run.parser.foreign()) {
    LogWarn("item_bytes_not_an_event", {{"job", run.offer.job()},
                                        {"item", run.offer.item().id()},
                                        {"backend", run.backend}});
    OnFailure(run, CallFailure::kFaulty);
    return;
  }
  if (run.parser.too_long() || run.output.size() > kMaxOutputBytes) {
    RejectOutput(run);
  }
}

void ItemRunner::RecordPromptRead(Run& run) {
  front_.pool.RemoveUnread(run.backend, run.unread_tokens);
  run.unread_tokens = 0;
}

// Returns an item whose server sends bytes without end, with the output from
// before this run.
void ItemRunner::RejectOutput(Run& run) {
  LogWarn("item_output_without_end", {{"job", run.offer.job()},
                                      {"item", run.offer.item().id()},
                                      {"backend", run.backend}});
  front_.pool.RecordFailure(run.backend, ServerFailure::kEndlessAnswer,
                            front_.loop.now());
  run.output = run.offer.output();
  run.last_event.reset();
  if (run.offer.has_last_event()) {
    run.last_event = run.offer.last_event();
  }
  End(run, proto::ItemOutcome::kReturned);
}

void ItemRunner::End(Run& run, proto::ItemOutcome::Kind kind) {
  if (run.trial) {
    LogTrial(run, kind == proto::ItemOutcome::kComplete ? "complete"
                  : run.received_data                   ? "stopped or broken"
                                                        : "not answered");
  }
  proto::ItemOutcome outcome;
  outcome.mutable_name()->set_job(run.offer.job());
  outcome.mutable_name()->set_item(run.offer.item().id());
  outcome.mutable_name()->set_attempt(run.offer.attempt());
  outcome.set_kind(kind);
  outcome.set_output(run.output);
  outcome.set_has_last_event(run.last_event.has_value());
  outcome.set_last_event(run.last_event.value_or(0));
  outcome.set_backend(run.backend);
  outcome.set_status(static_cast<uint32_t>(run.status));
  outcome.set_catalog_version(run.catalog_version);
  outcome.set_stalled(run.stalled);
  (kind == proto::ItemOutcome::kComplete ? completed_ : stopped_).Add();
  run.call.reset();
  if (!run.backend.empty()) {
    RecordPromptRead(run);
    front_.pool.RecordEnded(run.backend, true, run.received_data);
  }
  const auto found = runs_.find({run.offer.job(), run.offer.item().id()});
  std::shared_ptr<Run> finished(found->second.release());
  runs_.erase(found);
  front_.loop.ReleaseAfterIteration(finished);
  on_outcome_(outcome);
}

void ItemRunner::Stop(const proto::ItemName& name) {
  const auto found = runs_.find({name.job(), name.item()});
  if (found != runs_.end() &&
      found->second->offer.attempt() == name.attempt()) {
    End(*found->second, proto::ItemOutcome::kReturned);
  }
}

bool ItemRunner::StopOneAt(const std::string& backend) {
  std::vector<Run*> runs;
  std::vector<StoppableItem> items;
  for (const auto& [key, run] : runs_) {
    // A trial that is stopped too soon would show nothing.
    if (run->call != nullptr && run->backend == backend &&
        (!run->trial || run->survived)) {
      runs.push_back(run.get());
      items.push_back({run->due_at, run->output.size()});
    }
  }
  const auto chosen = PickItemToStop(items);
  if (!chosen) {
    return false;
  }
  End(*runs[*chosen], proto::ItemOutcome::kReturned);
  return true;
}

void ItemRunner::StopAll() {
  while (!runs_.empty()) {
    End(*runs_.begin()->second, proto::ItemOutcome::kReturned);
  }
}

void ItemRunner::StartWaiting() {
  std::vector<Run*> waiting;
  for (const auto& [key, run] : runs_) {
    if (run->call == nullptr) {
      waiting.push_back(run.get());
    }
  }
  for (Run* run : waiting) {
    if (!TryStart(*run) &&
        front_.loop.now() - run->accepted_at > kMaxSlotWait) {
      End(*run, proto::ItemOutcome::kReturned);
    }
  }
}

Duration ItemRunner::StallTimeout(const Run& run) const {
  const Duration first =
      kStallTimeout + front_.pool.ReadingTimeOfAll(
                          run.backend, run.prompt_tokens, front_.loop.now());
  return std::min<Duration>(
      kMaxStallTimeout,
      first * (1U << std::min(run.offer.stalled_runs(), kMaxStallDoublings)));
}

void ItemRunner::CheckStalls() {
  const TimePoint now = front_.loop.now();
  std::vector<Run*> stalled;
  for (const auto& [key, run] : runs_) {
    if (run->call != nullptr &&
        now - run->last_progress_at > StallTimeout(*run)) {
      stalled.push_back(run.get());
    }
  }
  for (Run* run : stalled) {
    // A server that goes on with other answers may have queued the item.
    const bool answering = front_.pool.IsAnswering(run->backend, now);
    LogInfo("item_stalled",
            {{"job", run->offer.job()},
             {"item", run->offer.item().id()},
             {"backend", run->backend},
             {"prompt_tokens", std::to_string(run->prompt_tokens)},
             {"stalled_ms",
              std::to_string(RemainingMs(now, run->last_progress_at))},
             {"stalled_runs", std::to_string(run->offer.stalled_runs())},
             {"answers_others", answering ? "yes" : "no"}});
    if (answering) {
      front_.pool.RecordFull(run->backend, now);
    } else {
      front_.pool.RecordFailure(run->backend, ServerFailure::kStalled, now);
    }
    run->stalled = true;
    End(*run, run->status_outcome.value_or(proto::ItemOutcome::kReturned));
  }
}

void ItemRunner::Report(proto::ItemReport& report) const {
  size_t waiting = 0;
  for (const auto& [key, run] : runs_) {
    proto::ItemName& name = *report.add_in_hand();
    name.set_job(key.first);
    name.set_item(key.second);
    name.set_attempt(run->offer.attempt());
    waiting += run->call == nullptr ? 1 : 0;
  }
  report.set_incarnation(incarnation_);
  if (front_.view.catalog != nullptr) {
    report.set_catalog_version(front_.view.catalog->version());
  }
  if (front_.view.draining() || !front_.view.has_authority()) {
    return;
  }
  const size_t free_slots = front_.pool.FreeItemSlots(front_.loop.now());
  if (free_slots > waiting) {
    report.add_room()->set_items(static_cast<uint32_t>(free_slots - waiting));
  }
}

}  // namespace sequoialb
