#include "jobs/item_runner.h"

#include <algorithm>
#include <vector>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kConnectTime{100};
constexpr milliseconds kMostIdle{8'000};
// An item without a slot goes back after this, so that another front may take
// it.
constexpr milliseconds kHoldTime{150};
// An item has time: its server is given up after many times a usual pause.
constexpr milliseconds kSilentAfter{800};
constexpr int kStatusNeverPossible = 422;
constexpr int kStatusFailed = 500;

}  // namespace

struct ItemRunner::Run {
  proto::ItemOffer offer;
  TimePoint taken_at;
  // When it was sent, or bytes last came.
  TimePoint heard_at;
  std::unique_ptr<HttpCall> call;
  std::string backend;
  EventParser cutter;
  std::string output;
  std::optional<uint64_t> last_event;
  bool streaming = false;
  // Bytes have come for it.
  bool heard = false;
  // Set when the answer's status alone decides the outcome.
  std::optional<proto::ItemOutcome::Kind> verdict;
};

ItemRunner::ItemRunner(FrontShared& front, uint64_t incarnation,
                       Outcome outcome)
    : front_(front),
      incarnation_(incarnation),
      outcome_(std::move(outcome)),
      started_(front.metrics.counter("sequoialb_item_runs_total")),
      completed_(front.metrics.counter("sequoialb_item_runs_completed_total")),
      stopped_(front.metrics.counter("sequoialb_item_runs_stopped_total")) {}

ItemRunner::~ItemRunner() = default;

void ItemRunner::Take(const proto::ItemOffer& offer) {
  const Key key{offer.job(), offer.item().id()};
  if (runs_.count(key) > 0) {
    return;
  }
  auto run = std::make_unique<Run>();
  run->offer = offer;
  run->taken_at = front_.loop.now();
  run->output = offer.output();
  if (offer.has_last_event()) {
    run->last_event = offer.last_event();
  }
  Run& taken = *run;
  runs_[key] = std::move(run);
  if (front_.view.draining) {
    End(taken, proto::ItemOutcome::kReturned);
    return;
  }
  TryStart(taken);
}

bool ItemRunner::TryStart(Run& run) {
  if (!front_.view.has_authority()) {
    return false;
  }
  const CatalogIndex& catalog = *front_.view.catalog;
  const Route* route =
      catalog.FindRoute(run.offer.route_host(), run.offer.item().path());
  if (route == nullptr) {
    LogInfo("item_without_route",
            {{"job", run.offer.job()}, {"item", run.offer.item().id()}});
    End(run, proto::ItemOutcome::kNeverPossible);
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
  HttpHeaders own;
  own.Add("Host", run.offer.route_host());
  for (const proto::HeaderField& header : item.headers()) {
    own.Add(header.name(), header.value());
  }
  std::string bytes = "POST " + item.path() + " HTTP/1.1\r\n";
  const HttpHeaders headers = front_.protocol.ForwardHeaders(own, fields);
  for (const HttpHeader& header : headers.fields()) {
    bytes.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  bytes += "Content-Length: " + std::to_string(item.body().size()) + "\r\n\r\n";
  bytes += item.body();
  started_.Add();
  run.heard_at = front_.loop.now();
  run.backend = choice.backend;
  front_.pool.RecordSent(run.backend, true);
  CallOptions options;
  options.request = std::move(bytes);
  options.echo_header = front_.protocol.echo_header();
  options.echo_value = item.id();
  options.most_idle = kMostIdle;
  options.connect_deadline = front_.loop.now() + kConnectTime;
  CallEvents events;
  events.on_head = [this, &run](const ResponseHead& head) {
    OnHead(run, head);
  };
  events.on_data = [this, &run](std::string_view data) { OnData(run, data); };
  events.on_complete = [this, &run] {
    const bool whole = run.streaming && !run.cutter.partial();
    if (whole) {
      front_.pool.RecordSuccess(run.backend);
    }
    End(run, run.verdict.value_or(whole ? proto::ItemOutcome::kComplete
                                        : proto::ItemOutcome::kReturned));
  };
  events.on_failure = [this, &run](CallFailure) {
    front_.pool.RecordFailure(run.backend, front_.loop.now());
    End(run, proto::ItemOutcome::kReturned);
  };
  run.call = front_.client.Start(choice.address, std::move(options),
                                 std::move(events));
}

void ItemRunner::OnHead(Run& run, const ResponseHead& head) {
  const TimePoint now = front_.loop.now();
  const BackendAnswer answer = front_.protocol.DecodeAnswer(head);
  if (answer.load) {
    front_.pool.RecordServerLoad(run.backend, *answer.load, now);
  }
  if (answer.other_server) {
    front_.pool.RecordFailure(run.backend, now);
    run.verdict = proto::ItemOutcome::kReturned;
  } else if (answer.not_run) {
    front_.pool.RecordFull(run.backend, now);
    run.verdict = proto::ItemOutcome::kReturned;
  } else if (head.status == kStatusNeverPossible) {
    run.verdict = proto::ItemOutcome::kNeverPossible;
  } else if (head.status == kStatusFailed) {
    run.verdict = proto::ItemOutcome::kFailed;
  } else if (head.status >= 300) {
    run.verdict = proto::ItemOutcome::kReturned;
  } else {
    run.streaming = true;
  }
}

void ItemRunner::OnData(Run& run, std::string_view data) {
  run.heard_at = front_.loop.now();
  front_.pool.RecordBytes(run.backend, !run.heard, run.heard_at);
  run.heard = true;
  if (!run.streaming) {
    return;
  }
  run.cutter.Add(data);
  while (auto event = run.cutter.Next()) {
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
  }
}

void ItemRunner::End(Run& run, proto::ItemOutcome::Kind kind) {
  proto::ItemOutcome outcome;
  outcome.mutable_name()->set_job(run.offer.job());
  outcome.mutable_name()->set_item(run.offer.item().id());
  outcome.mutable_name()->set_attempt(run.offer.attempt());
  outcome.set_kind(kind);
  outcome.set_output(run.output);
  outcome.set_has_last_event(run.last_event.has_value());
  outcome.set_last_event(run.last_event.value_or(0));
  (kind == proto::ItemOutcome::kComplete ? completed_ : stopped_).Add();
  run.call.reset();
  if (!run.backend.empty()) {
    front_.pool.RecordEnded(run.backend, true, run.heard);
  }
  const auto found = runs_.find({run.offer.job(), run.offer.item().id()});
  std::shared_ptr<Run> kept(found->second.release());
  runs_.erase(found);
  front_.loop.Dispose(kept);
  outcome_(outcome);
}

void ItemRunner::Stop(const proto::ItemName& name) {
  const auto found = runs_.find({name.job(), name.item()});
  if (found != runs_.end() &&
      found->second->offer.attempt() == name.attempt()) {
    End(*found->second, proto::ItemOutcome::kReturned);
  }
}

bool ItemRunner::StopOneAt(const std::string& backend) {
  Run* best = nullptr;
  for (const auto& [key, run] : runs_) {
    const bool there = run->call != nullptr && run->backend == backend;
    if (there &&
        (best == nullptr || run->output.size() < best->output.size())) {
      best = run.get();
    }
  }
  if (best == nullptr) {
    return false;
  }
  End(*best, proto::ItemOutcome::kReturned);
  return true;
}

void ItemRunner::StopAll() {
  while (!runs_.empty()) {
    End(*runs_.begin()->second, proto::ItemOutcome::kReturned);
  }
}

void ItemRunner::Pump() {
  std::vector<Run*> idle;
  for (const auto& [key, run] : runs_) {
    if (run->call == nullptr) {
      idle.push_back(run.get());
    }
  }
  for (Run* run : idle) {
    if (!TryStart(*run) && front_.loop.now() - run->taken_at > kHoldTime) {
      End(*run, proto::ItemOutcome::kReturned);
    }
  }
}

void ItemRunner::CheckStalls() {
  const TimePoint now = front_.loop.now();
  std::vector<Run*> silent;
  for (const auto& [key, run] : runs_) {
    if (run->call != nullptr && now - run->heard_at > kSilentAfter) {
      silent.push_back(run.get());
    }
  }
  for (Run* run : silent) {
    LogInfo("item_stalled", {{"job", run->offer.job()},
                             {"item", run->offer.item().id()},
                             {"backend", run->backend}});
    front_.pool.RecordFailure(run->backend, now);
    End(*run, proto::ItemOutcome::kReturned);
  }
}

void ItemRunner::Report(proto::ItemReport& report) const {
  size_t held = 0;
  for (const auto& [key, run] : runs_) {
    proto::ItemName& name = *report.add_in_hand();
    name.set_job(key.first);
    name.set_item(key.second);
    name.set_attempt(run->offer.attempt());
    held += run->call == nullptr ? 1 : 0;
  }
  report.set_incarnation(incarnation_);
  if (front_.view.draining || !front_.view.has_authority()) {
    return;
  }
  const size_t room = front_.pool.FreeItemSlots(front_.loop.now());
  if (room > held) {
    report.add_room()->set_items(static_cast<uint32_t>(room - held));
  }
}

}  // namespace sequoialb
