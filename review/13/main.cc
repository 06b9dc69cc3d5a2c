// Case 13: a client with a key sends one batch job whose body is within the
// limits and consists of many small JSON values. The platform's limit of memory
// is watched, and a process above it is killed, as the platform does.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "engine.h"
#include "fleet.h"
#include "jobs.h"

using namespace case3;

namespace {

// The smallest front of the sheet of zhylu-otyn.
constexpr int kFrontMemoryMb = 110;
// MaxBodyBytes of the configuration.
constexpr size_t kMaxBody = 4'194'304;
constexpr milliseconds kWatch{2'000};
// The rule is broken if processes end this often on as many machines, which is
// a tenth of those in use, two at least.
constexpr int kEnds = 3;
constexpr int kMachines = 2;

// Fills a body of the largest size with empty lists.
std::string ManyValues() {
  std::string body = "{\"Items\":[[]";
  while (body.size() + 5 <= kMaxBody) {
    body += ",[]";
  }
  return body + "]}";
}

// A job of the same size with two ordinary items of large bodies.
std::string OrdinaryJob(const std::string& id) {
  std::string body = JobBody(id, 2, 643);
  const std::string small = "q83vEjRWeJA=";
  const size_t each = (kMaxBody - body.size() - 64) / 2 / 4 * 4;
  for (size_t at = body.find(small); at != std::string::npos;
       at = body.find(small, at + each)) {
    body.replace(at, small.size(), std::string(each, 'A'));
  }
  return body;
}

int Run(bool trouble, Record& record) {
  FleetOptions options;
  options.zones = {"akmola-a", "akmola-b", "akmola-c", "akmola-d"};
  options.controls = 4;
  options.stores = 4;
  options.fronts = 4;
  options.store_memory = 130;
  options.front_memory = kFrontMemoryMb;
  Fleet fleet(options, record);
  fleet.StartAll();
  if (!fleet.PutConfig(Config({}), milliseconds(15'000))) {
    record.Line("the configuration was not acknowledged");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 4; ++i) {
    EngineOptions engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.zone = options.zones[i];
    engines.push_back(std::make_unique<Engine>(engine, fleet, record));
  }
  if (!fleet.WaitReady(milliseconds(20'000))) {
    record.Line("the fronts did not get ready");
    return 2;
  }
  std::map<std::string, int> ends;
  const std::vector<std::string> fronts = fleet.Names("front");
  for (size_t turn = 0; turn < kEnds * fronts.size(); ++turn) {
    const std::string& front = fronts[turn % fronts.size()];
    if (!fleet.WaitReady(milliseconds(10'000))) {
      record.Line("the fronts did not get ready again");
      return 2;
    }
    const int before = fleet.PeakMemory(front);
    std::atomic<int> status = -1;
    std::thread client([&] {
      const std::string id = "7c41e09b52d6" + std::to_string(1'000 + turn);
      status =
          Submit(fleet.Front(front), id,
                 trouble ? ManyValues() : OrdinaryJob(id), milliseconds(4'000))
              .status;
    });
    const Clock::time_point until = Clock::now() + kWatch;
    int peak = before;
    bool killed = false;
    while (Clock::now() < until) {
      peak = std::max(peak, fleet.PeakMemory(front));
      if (peak > kFrontMemoryMb && !killed) {
        killed = true;
        ++ends[front];
        fleet.Kill(front);
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    client.join();
    record.Line(front + " of " + std::to_string(kFrontMemoryMb) + " MB: peak " +
                std::to_string(before) + " MB before the request and " +
                std::to_string(peak) + " MB after it, answered " +
                std::to_string(status) +
                (killed ? ", killed for its memory" : ""));
    if (killed) {
      fleet.Start(front, false);
    }
  }
  int machines = 0;
  for (const auto& [front, times] : ends) {
    record.Line(front + " was killed " + std::to_string(times) + " times");
    machines += times >= kEnds ? 1 : 0;
  }
  return machines >= kMachines ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const int code = Run(trouble, record);
  record.Line(code == 0   ? "the rule was kept"
              : code == 1 ? "the rule was broken: Fault"
                          : "the case could not run");
  std::printf("%s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run");
  return code;
}
