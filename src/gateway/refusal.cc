#include "gateway/refusal.h"

#include <json/value.h>

#include "observe/log.h"
#include "settings/json_fields.h"

namespace sequoialb {

void Refuse(const FrontShared& front, HttpExchange& exchange,
            const Error& error) {
  int status = HttpStatus(error.code);
  const bool promises = status == 429 || status == 503;
  if (promises && error.run != RunState::kNotRun) {
    status = 502;
  }
  HttpHeaders headers;
  headers.Add("Content-Type", "application/problem+json");
  if (error.retry_after_ms) {
    HttpHeader field = front.protocol.RetryAfter(
        static_cast<double>(*error.retry_after_ms) / 1'000);
    headers.Add(std::move(field.name), std::move(field.value));
  }
  Json::Value body;
  body["code"] = std::string(ErrorName(error.code));
  body["detail"] = error.detail;
  body["run"] = std::string(RunStateName(error.run));
  exchange.Respond(status, headers, JsonLine(body));
}

Error DrainRefusal() {
  return {ErrorCode::kShuttingDown,
          "this front is stopping and may not be able to answer in time",
          RunState::kNotRun, 0};
}

void LogRefusal(const std::string& request, const std::string& account,
                const std::string& route, const Error& error, Duration held,
                bool returning) {
  LogInfo(
      "request_refused",
      {{"request", request},
       {"account", account},
       {"route", route},
       {"error", std::string(ErrorName(error.code))},
       {"run", std::string(RunStateName(error.run))},
       {"detail", error.detail},
       {"returning", returning ? "yes" : "no"},
       {"retry_after_ms",
        error.retry_after_ms ? std::to_string(*error.retry_after_ms) : "none"},
       {"held_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(held).count())}});
}

}  // namespace sequoialb
