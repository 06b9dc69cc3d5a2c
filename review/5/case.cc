// An engine leaves without a draining phase and tells another control host than
// the one that got its announcements.
#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "deployment.h"
#include "engine.h"

namespace review {
namespace {

// The bound DrainMs of the small deployments.
constexpr int64_t kDrainMs = 2'000;
// How long the engine serves after its deregistration: DrainMs "and a little
// longer". Then it exits.
constexpr int64_t kLingerMs = 3'500;
constexpr int kEngines = 3;
const Tenant kTenant{"kaje80", "i9n73hh2b9wu3fexd9dn", 0, 0};

int Play(const std::string& record_path) {
  Record record(record_path);
  Deployment deployment(record, 3, 3, 2);
  deployment.StartAll();
  if (!deployment.PutConfiguration(
          Configuration(1, {StreamRoute("ask", "/ask/", false)}, {kTenant}),
          15'000) ||
      !deployment.WaitUntilServing(15'000)) {
    record.Line("could not start");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    EngineOptions options;
    options.id = "engine-" + std::to_string(i);
    options.zone = std::string("z") + static_cast<char>('a' + i % 2);
    options.ip = deployment.network() + std::to_string(100 + i);
    options.events = 28;
    options.event_gap_ms = 15;
    engines.push_back(std::make_unique<Engine>(
        options, deployment.ControlEndpoints(), static_cast<size_t>(i % 3)));
  }
  SleepMs(4'000);

  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::mutex mutex;
  std::set<std::string> not_whole;
  std::vector<std::thread> clients;
  for (int client = 0; client < 8; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0; !stop; ++i) {
        const std::string id =
            "r" + std::to_string(client) + "x" + std::to_string(i);
        const Response answer =
            Call(deployment.FrontEndpoint(static_cast<size_t>(client % 2)),
                 "POST", "/ask/" + id,
                 {{"Host", "desk.example"},
                  {"Key", kTenant.key},
                  {"Request-Id", id},
                  {"Deadline-Ms", "5000"}},
                 "{}", 5'000);
        record.Line(id + ": " + std::to_string(answer.status) +
                    (answer.complete ? " whole" : " not whole"));
        if (answer.status == 200 && answer.complete) {
          ++served;
        } else {
          const std::lock_guard<std::mutex> lock(mutex);
          not_whole.insert(id);
        }
        SleepMs(20);
      }
    });
  }
  // Several announcements, each acknowledged by the same control host.
  SleepMs(6'000);
  Engine& leaving = *engines.front();
  leaving.StopAnnouncing();
  SleepMs(1'000);
  const size_t told = (leaving.last_control() + (WithTrouble() ? 1 : 0)) % 3;
  record.Line("announcements of " + leaving.id() + " went to " +
              deployment.name(leaving.last_control()));
  const int status = leaving.Deregister(told);
  const int64_t gone_ms = NowMs();
  record.Line("deregistration at " + deployment.name(told) + ": " +
              std::to_string(status));
  SleepMs(kLingerMs);
  leaving.Crash();
  record.Line(leaving.id() + " exits");
  SleepMs(2'000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  size_t before = 0;
  size_t late = 0;
  size_t lost = 0;
  int64_t last_ms = 0;
  for (const Run& run : leaving.Runs()) {
    before += run.at_ms <= gone_ms ? 1 : 0;
    late += run.at_ms > gone_ms + kDrainMs ? 1 : 0;
    lost += run.at_ms > gone_ms + kDrainMs && not_whole.count(run.request) > 0
                ? 1
                : 0;
    last_ms = run.at_ms;
  }
  record.Line("served " + std::to_string(served.load()) + "; " + leaving.id() +
              " ran " + std::to_string(before) + " requests before, " +
              std::to_string(late) + " later than DrainMs after, the last " +
              std::to_string(last_ms - gone_ms) + " ms after; of these " +
              std::to_string(lost) + " were not answered whole");
  WriteRuns(record, engines);
  engines.clear();
  if (status != 200 || before == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Play(argv[1]) : 2;
}
