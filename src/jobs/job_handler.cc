#include "jobs/job_handler.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {
namespace {

// Callers wait for a read 1.5 s longer than the time they allow the system
// itself.
constexpr milliseconds kReadTimeout{1'000};
constexpr milliseconds kChangeTimeout{2'500};
constexpr int64_t kRetryAfterMs = 200;

}  // namespace

void JobHandler::Submit(const std::shared_ptr<HttpExchange>& exchange,
                        const Route& route, const Account& account) {
  auto record =
      front_.protocol.DecodeSubmission(exchange->head(), exchange->body());
  if (!record) {
    LogRefusal("", account.name, route.name, record.error(), Duration(0));
    Refuse(front_, *exchange, record.error());
    return;
  }
  record->set_account(account.name);
  record->set_route_host(route.host);
  record->set_route_prefix(route.path_prefix);
  record->set_route_name(route.name);
  record->set_catalog_version(front_.view.catalog->version());
  record->set_attempts(route.attempts);
  record->set_due_ms(route.due.count());
  record->set_give_up_ms(route.max_wait.count());
  record->set_token_cap(route.token_cap);
  // Results stay readable for two minutes after the submission.
  constexpr int64_t kKeepMs = 120'000;
  record->set_keep_ms(kKeepMs);
  proto::JobCall call;
  call.set_account(account.name);
  *call.mutable_submit() = std::move(*record);
  // The gateway has checked that a draining front takes the request.
  const TimePoint deadline =
      front_.loop.now() + std::min<Duration>(route.timeout, kChangeTimeout);
  const std::string id = call.submit().id();
  forward_call_(std::move(call), deadline,
                [this, exchange, id,
                 account = account.name](const proto::JobAnswer& answer) {
                  Answer(*exchange, id, account, answer, 202, true);
                });
}

void JobHandler::OnRequest(const std::shared_ptr<HttpExchange>& exchange,
                           const JobRequest& request) {
  const std::string key = front_.protocol.DecodeRequest(exchange->head()).key;
  if (!front_.view.has_authority()) {
    Refuse(front_, *exchange,
           {ErrorCode::kStaleConfig,
            "this host has no confirmed view of the configuration",
            RunState::kNotRun, kRetryAfterMs});
    return;
  }
  const Account* account = front_.view.catalog->FindAccount(key);
  if (account == nullptr) {
    Refuse(front_, *exchange,
           {ErrorCode::kBadKey, "the key is unknown or withdrawn"});
    return;
  }
  proto::JobCall call;
  call.set_account(account->name);
  std::string job;
  if (const auto* read = std::get_if<ReadJob>(&request)) {
    call.mutable_read()->set_job(read->job);
    call.mutable_read()->set_after(read->after);
    job = read->job;
  } else if (const auto* body = std::get_if<ReadItemBody>(&request)) {
    call.mutable_body()->set_job(body->job);
    call.mutable_body()->set_item(body->item);
    job = body->job;
  } else {
    job = std::get<EndJob>(request).job;
    call.set_end_job(job);
  }
  const bool mutating = call.kind_case() == proto::JobCall::kEndJob;
  const TimePoint deadline =
      front_.loop.now() + (mutating ? kChangeTimeout : kReadTimeout);
  if (!front_.view.TakesRequest(front_.loop.now(), deadline)) {
    LogRefusal(job, account->name, "batch", DrainRefusal(), Duration(0));
    Refuse(front_, *exchange, DrainRefusal());
    return;
  }
  forward_call_(std::move(call), deadline,
                [this, exchange, job, mutating,
                 name = account->name](const proto::JobAnswer& answer) {
                  Answer(*exchange, job, name, answer, 200, mutating);
                });
}

void JobHandler::Answer(HttpExchange& exchange, const std::string& request,
                        const std::string& account,
                        const proto::JobAnswer& answer, int success,
                        bool mutating) const {
  if (!answer.error_name().empty()) {
    Error error;
    error.code = ErrorCodeFromName(answer.error_name());
    error.detail = answer.detail();
    // A change that got no answer may still be carried out.
    const bool unknown = error.code == ErrorCode::kNoQuorum && mutating;
    error.run = unknown ? RunState::kUnknown : RunState::kNotRun;
    error.retry_after_ms = kRetryAfterMs;
    LogRefusal(request, account, "batch", error,
               front_.loop.now() - exchange.received_at());
    Refuse(front_, exchange, error);
    return;
  }
  HttpHeaders headers;
  const bool body = answer.total() == 0 && !mutating;
  headers.Add("Content-Type",
              body ? "application/octet-stream" : "application/json");
  if (mutating) {
    exchange.Respond(success, headers, "{}");
  } else if (body) {
    exchange.Respond(success, headers, answer.body());
  } else {
    exchange.Respond(success, headers, front_.protocol.EncodeResults(answer));
  }
}

}  // namespace sequoialb
