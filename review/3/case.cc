// A store machine is retired while another one, which has just been lost for
// good, is replaced by an empty one at another address.
#include <signal.h>

#include <cstdio>
#include <memory>

#include "deployment.h"
#include "engine.h"

namespace review {
namespace {

constexpr int kStores = 4;
constexpr int kItems = 10;
// From the loss to the retirement, and to the start of the replacement.
constexpr int64_t kLossMs = 1'000;
constexpr int64_t kReplacementMs = 2'000;
// More than RecoveryS and CatchUpS of the small deployments together.
constexpr int64_t kRecoveryMs = 30'000;
constexpr int64_t kFinalReadsMs = 15'000;
constexpr char kJob[] = "7c41e09b52d6a3f8";
const Tenant kTenant{"kaje80", "i9n73hh2b9wu3fexd9dn", 0, 0};
const Headers kHeaders = {{"Host", "desk.example"}, {"Key", kTenant.key}};

Response Read(const Deployment& deployment, size_t front,
              const std::string& job) {
  return Call(deployment.FrontEndpoint(front), "GET",
              "/sequoialb/lots/" + job + "?After=0", kHeaders, "", 2'500);
}

size_t Results(const Response& read) {
  size_t count = 0;
  for (size_t at = read.body.find("\"complete\""); at != std::string::npos;
       at = read.body.find("\"complete\"", at + 1)) {
    ++count;
  }
  return count;
}

int Submit(const Deployment& deployment, const std::string& job) {
  Headers headers = kHeaders;
  headers.emplace_back("Request-Id", job);
  headers.emplace_back("Content-Type", "application/json");
  int status = 0;
  for (size_t tries = 0; tries < 4 && status != 202; ++tries) {
    status = Call(deployment.FrontEndpoint(tries % 2), "POST", "/lots/" + job,
                  headers, Job("/lots/", job, kItems), 4'000)
                 .status;
  }
  return status;
}

int Play(const std::string& record_path) {
  Record record(record_path);
  // The replacement is the last store host; it is not started with the others.
  Deployment deployment(record, 3, kStores + 1, 2);
  const size_t replacement = deployment.store(kStores);
  for (size_t host = 0; host < deployment.front(2); ++host) {
    if (host != replacement) {
      deployment.Start(host, true);
    }
  }
  if (!deployment.PutConfiguration(
          Configuration(1, {BulkRoute("lots", "/lots/")}, {kTenant}), 15'000) ||
      !deployment.WaitUntilServing(15'000)) {
    record.Line("could not start");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 3; ++i) {
    EngineOptions options;
    options.id = "engine-" + std::to_string(i);
    options.zone = std::string("z") + static_cast<char>('a' + i);
    options.ip = deployment.network() + std::to_string(100 + i);
    engines.push_back(std::make_unique<Engine>(
        options, deployment.ControlEndpoints(), static_cast<size_t>(i)));
  }
  SleepMs(4'000);
  record.Line("job before: " + std::to_string(Submit(deployment, kJob)));
  SleepMs(5'000);
  const Response before = Read(deployment, 0, kJob);
  record.Line("read before: " + std::to_string(before.status) + ", " +
              std::to_string(Results(before)) + " results");
  const int leader = deployment.LeaderOf("store");
  if (Results(before) != kItems || leader < 0) {
    return 2;
  }
  const size_t retired = static_cast<size_t>(leader);
  const size_t lost = retired == deployment.store(0) ? deployment.store(1)
                                                     : deployment.store(0);
  if (WithTrouble()) {
    deployment.Signal(lost, SIGKILL);
    SleepMs(kLossMs);
  }
  int retire = 0;
  for (size_t i = 0; i < 3 && retire != 200; ++i) {
    retire = Call(deployment.ControlEndpoints()[i], "POST",
                  "/sequoialb/retire/" + deployment.name(retired),
                  {{"Content-Type", "application/json"}}, R"({"DurationS":10})",
                  1'000)
                 .status;
  }
  record.Line("retire " + deployment.name(retired) + ": " +
              std::to_string(retire));
  if (WithTrouble()) {
    SleepMs(kReplacementMs - kLossMs);
    deployment.Start(replacement, false);
  }
  SleepMs(kRecoveryMs);
  const std::string status =
      Call(deployment.ControlEndpoints()[0], "GET",
           "/sequoialb/retire/" + deployment.name(retired), {}, "", 1'000)
          .body;
  record.Line("state of the retirement: " + status);
  const int after = Submit(deployment, "7c41e09b52d6a3f9");
  record.Line("job after: " + std::to_string(after));
  Response read;
  const int64_t read_until = NowMs() + kFinalReadsMs;
  for (size_t i = 0; NowMs() < read_until && Results(read) != kItems; ++i) {
    read = Read(deployment, i % 2, kJob);
    record.Line("read after: " + std::to_string(read.status) + ", " +
                std::to_string(Results(read)) + " results");
    SleepMs(500);
  }
  WriteRuns(record, engines);
  engines.clear();
  if (retire != 200) {
    return 2;
  }
  return Results(read) == kItems ? 0 : 1;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Play(argv[1]) : 2;
}
