// Case 14: the configuration gets one more route, to another service, whose
// prefix is longer than that of the batch route. Batch jobs go on as before.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "engine.h"
#include "fleet.h"
#include "jobs.h"

using namespace case3;

namespace {

constexpr milliseconds kApply{2'000};
constexpr int kItems = 10;

// Submits a job until it is accepted and waits until all its items are listed.
// Returns false when that does not happen.
bool RunJob(const Fleet& fleet, const std::string& job, Record& record) {
  const std::vector<std::string> fronts = fleet.Names("front");
  int status = 0;
  for (int tries = 0; tries < 6 && status != 202; ++tries) {
    status = Submit(fleet.Front(fronts[tries % fronts.size()]), job,
                    JobBody(job, kItems, 643), milliseconds(4'000))
                 .status;
  }
  const Clock::time_point until = Clock::now() + milliseconds(20'000);
  int listed = 0;
  while (status == 202 && listed < kItems && Clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(500));
    listed = CountOf(
        ReadResults(fleet.Front(fronts[0]), job, 0, milliseconds(2'500)).body,
        "\"State\"");
  }
  record.Line("job " + job + ": answered " + std::to_string(status) + ", " +
              std::to_string(listed) + " items listed");
  return status == 202;
}

int Run(bool trouble, Record& record) {
  FleetOptions options;
  options.zones = {"rhodope-a", "rhodope-b", "rhodope-c"};
  Fleet fleet(options, record);
  fleet.StartAll();
  ConfigOptions config;
  if (!fleet.PutConfig(Config(config), milliseconds(15'000))) {
    record.Line("the configuration was not acknowledged");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> own;
  std::vector<std::unique_ptr<Engine>> others;
  for (int i = 0; i < 6; ++i) {
    EngineOptions engine;
    engine.zone = options.zones[i % 3];
    engine.id = "i-own-" + std::to_string(i);
    own.push_back(std::make_unique<Engine>(engine, fleet, record));
    engine.id = "i-other-" + std::to_string(i);
    engine.service = kOtherService;
    others.push_back(std::make_unique<Engine>(engine, fleet, record));
  }
  if (!fleet.WaitReady(milliseconds(20'000))) {
    record.Line("the fronts did not get ready");
    return 2;
  }
  if (!RunJob(fleet, "7c41e09b52d6a3f0", record)) {
    return 2;
  }
  // The items have paths such as /pule252/3/7c41e09b52d6a3f1-0.
  config.version = 8;
  config.other_prefix =
      trouble ? std::string(kBatchPrefix) + "3/" : "/hull252/3/";
  if (!fleet.PutConfig(Config(config), milliseconds(15'000))) {
    return 2;
  }
  record.Line("acknowledged: a route " + config.other_prefix + " to " +
              kOtherService);
  std::this_thread::sleep_for(kApply + kApply);
  if (!RunJob(fleet, "7c41e09b52d6a3f1", record)) {
    return 2;
  }
  size_t own_runs = 0;
  size_t other_runs = 0;
  for (const auto& engine : own) {
    own_runs += engine->Runs().size();
  }
  for (const auto& engine : others) {
    other_runs += engine->Runs().size();
  }
  record.Line("items run by the service of the batch route: " +
              std::to_string(own_runs) +
              ", by the other service: " + std::to_string(other_runs));
  return other_runs > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const int code = Run(trouble, record);
  record.Line(code == 0   ? "the rule was kept"
              : code == 1 ? "the rule was broken: ROUTE"
                          : "the case could not run");
  std::printf("%s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run");
  return code;
}
