// Another writer's announcement that can't be read, while a batch job runs.
#include <signal.h>

#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>

#include "deployment.h"
#include "engine.h"

namespace review {
namespace {

constexpr int kItems = 40;
// FinishS of the small deployments: how long batch jobs have after the traffic
// has ended.
constexpr int64_t kFinishMs = 18'000;
constexpr int64_t kTrafficMs = 8'000;
constexpr int64_t kReadMs = 2'500;
const Tenant kTenant{"kaje80", "i9n73hh2b9wu3fexd9dn", 0, 0};

int Play(const std::string& record_path) {
  Record record(record_path);
  Deployment deployment(record, 3, 3, 2);
  deployment.StartAll();
  const std::vector<Endpoint> controls = deployment.ControlEndpoints();
  const std::string configuration = Configuration(
      1, {StreamRoute("ask", "/ask/", true), BulkRoute("lots", "/lots/")},
      {kTenant});
  if (!deployment.PutConfiguration(configuration, 15'000) ||
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
    options.slots = 4;
    options.events = 20;
    options.event_gap_ms = 100;
    engines.push_back(
        std::make_unique<Engine>(options, controls, static_cast<size_t>(i)));
  }
  SleepMs(4'000);

  std::atomic<bool> stop{false};
  // The other writer announces to one control host after the other, as often as
  // an engine does.
  std::thread writer([&] {
    for (uint64_t i = 0; !stop && WithTrouble(); ++i) {
      const int status =
          Call(
              controls[i % controls.size()], "PUT",
              "/sequoialb/instances/i-other",
              {{"Content-Type", "application/json"}},
              R"({"Service":"desk","Addr":")" + deployment.network() +
                  R"(200:9","Zone":")" + "z\xff\xfe" +
                  R"(","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":)" +
                  std::to_string(i + 1) + "}",
              1'000)
              .status;
      record.Line("other writer's announcement: " + std::to_string(status));
      for (int wait = 0; wait < 120 && !stop; ++wait) {
        SleepMs(10);
      }
    }
  });

  const Headers headers = {{"Host", "desk.example"},
                           {"Key", kTenant.key},
                           {"Content-Type", "application/json"},
                           {"Request-Id", "7c41e09b52d6a3f8"}};
  const std::string job = Job("/lots/", "item", kItems);
  int accepted = 0;
  for (int tries = 0; tries < 3 && accepted != 202; ++tries) {
    accepted = Call(deployment.FrontEndpoint(static_cast<size_t>(tries % 2)),
                    "POST", "/lots/7c41", headers, job, 4'000)
                   .status;
    record.Line("batch job: " + std::to_string(accepted));
  }
  const int64_t accepted_ms = NowMs();
  int served = 0;
  int refused = 0;
  for (int i = 0; NowMs() < accepted_ms + kTrafficMs; ++i) {
    const int status =
        Call(deployment.FrontEndpoint(static_cast<size_t>(i % 2)), "POST",
             "/ask/" + std::to_string(i),
             {{"Host", "desk.example"},
              {"Key", kTenant.key},
              {"Request-Id", "ask-" + std::to_string(i)},
              {"Deadline-Ms", "5000"}},
             "{}", 5'000)
            .status;
    ++(status == 200 ? served : refused);
    record.Line("question " + std::to_string(i) + ": " +
                std::to_string(status));
    SleepMs(100);
  }
  SleepMs(accepted_ms + kTrafficMs + kFinishMs - NowMs());
  record.Line("questions served " + std::to_string(served) + ", refused " +
              std::to_string(refused));
  // The reads at the end of the day, from the start, again after each failure.
  int results = 0;
  int last_status = 0;
  const int64_t read_until = NowMs() + 10'000;
  size_t next = 0;
  for (size_t i = 0; NowMs() < read_until && results < kItems; ++i) {
    const Response read =
        Call(deployment.FrontEndpoint(i % 2), "GET",
             "/sequoialb/lots/7c41e09b52d6a3f8?After=" + std::to_string(next),
             {{"Host", "desk.example"}, {"Key", kTenant.key}}, "", kReadMs);
    last_status = read.status;
    if (read.status == 200) {
      size_t at = 0;
      while ((at = read.body.find("\"State\"", at)) != std::string::npos) {
        ++at;
        ++results;
        ++next;
      }
    }
    SleepMs(500);
  }
  record.Line("at the end " + std::to_string(results) + " of " +
              std::to_string(kItems) +
              " items are listed; last read: " + std::to_string(last_status));
  stop = true;
  writer.join();
  WriteRuns(record, engines);
  engines.clear();
  if (accepted != 202) {
    return 2;
  }
  return results == kItems ? 0 : 1;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Play(argv[1]) : 2;
}
