// A batch route is added, and a job is submitted on it while some fronts still
// have the configuration before.
#include <cstdio>
#include <memory>

#include "deployment.h"
#include "engine.h"

namespace review {
namespace {

constexpr int kRounds = 20;
constexpr int kItems = 20;
constexpr int kFronts = 4;
// More than the bound ApplyMs of the small deployments.
constexpr int64_t kAppliedMs = 2'500;
const Tenant kTenant{"kaje80", "i9n73hh2b9wu3fexd9dn", 0, 0};

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

int Play(const std::string& record_path) {
  Record record(record_path);
  Deployment deployment(record, 3, 3, kFronts);
  deployment.StartAll();
  std::vector<std::string> routes = {StreamRoute("ask", "/ask/", true),
                                     BulkRoute("lots", "/lots/")};
  int version = 1;
  if (!deployment.PutConfiguration(Configuration(version, routes, {kTenant}),
                                   15'000) ||
      !deployment.WaitUntilServing(15'000)) {
    record.Line("could not start");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 4; ++i) {
    EngineOptions options;
    options.id = "engine-" + std::to_string(i);
    options.zone = std::string("z") + static_cast<char>('a' + i % 3);
    options.ip = deployment.network() + std::to_string(100 + i);
    options.events = 10;
    options.event_gap_ms = 5;
    engines.push_back(std::make_unique<Engine>(
        options, deployment.ControlEndpoints(), static_cast<size_t>(i % 3)));
  }
  SleepMs(4'000);

  size_t dead = 0;
  size_t complete = 0;
  int jobs = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string prefix = "/new" + std::to_string(round) + "/";
    routes.push_back(BulkRoute("new" + std::to_string(round), prefix));
    if (!deployment.PutConfiguration(
            Configuration(++version, routes, {kTenant}), 5'000)) {
      continue;
    }
    if (!WithTrouble()) {
      SleepMs(kAppliedMs);
    }
    // A front that does not have the new route yet answers 404, and the client
    // submits another job a little later.
    std::string id;
    int status = 0;
    for (int tries = 0; tries < 40 && status != 202; ++tries) {
      id = "job" + std::to_string(round) + "x" + std::to_string(tries);
      status = Call(deployment.FrontEndpoint(
                        static_cast<size_t>(round + tries) % kFronts),
                    "POST", prefix + "lot",
                    {{"Host", "desk.example"},
                     {"Key", kTenant.key},
                     {"Content-Type", "application/json"},
                     {"Request-Id", id}},
                    Job(prefix, id + "i", kItems), 4'000)
                   .status;
      if (status != 202) {
        SleepMs(25);
      }
    }
    record.Line("job " + id + " on " + prefix + ": " + std::to_string(status));
    if (status != 202) {
      continue;
    }
    ++jobs;
    Response read;
    const int64_t read_until = NowMs() + 5'000;
    while (NowMs() < read_until &&
           Count(read.body, "\"State\"") < static_cast<size_t>(kItems)) {
      SleepMs(250);
      read = Call(deployment.FrontEndpoint(0), "GET",
                  "/sequoialb/lots/" + id + "?After=0",
                  {{"Host", "desk.example"}, {"Key", kTenant.key}}, "", 2'500);
    }
    const size_t round_dead = Count(read.body, "\"dead\"");
    record.Line("results: " + read.body);
    dead += round_dead;
    complete += Count(read.body, "\"complete\"");
    record.Line("job " + id + ": " +
                std::to_string(Count(read.body, "\"complete\"")) +
                " complete, " + std::to_string(round_dead) + " dead");
  }
  size_t run = 0;
  for (const auto& engine : engines) {
    run += engine->Runs().size();
  }
  record.Line("the engines ran " + std::to_string(run) +
              " items and failed none; listed: " + std::to_string(complete) +
              " complete, " + std::to_string(dead) + " dead");
  WriteRuns(record, engines);
  engines.clear();
  if (jobs == 0) {
    return 2;
  }
  return dead > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Play(argv[1]) : 2;
}
