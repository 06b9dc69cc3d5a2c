// Fronts are stopped in turn by SIGTERM while callers use kept connections.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "deployment.h"
#include "engine.h"

namespace review {
namespace {

constexpr int kFronts = 4;
constexpr int kCallers = 1;
constexpr int kRolls = 8;
// Between the stops of two fronts, as in a rolling restart.
constexpr int64_t kGapMs = 1'300;
constexpr int64_t kGraceMs = 8'000;
constexpr int64_t kDeadlineMs = 5'000;
const Tenant kTenant{"kaje80", "i9n73hh2b9wu3fexd9dn", 0, 0};

// A request that the front has not answered in full.
struct Cut {
  std::string request;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
};

struct Caller {
  Record& record;
  Endpoint front;
  std::string name;
  int64_t think_ms = 0;
  int answered = 0;
  std::vector<Cut> cuts;

  // Sends one request after the other on one connection until the front asks
  // to close it.
  void Run() {
    Connection connection;
    if (!connection.Open(front, 1'000)) {
      return;
    }
    for (int i = 0; i < 2; ++i) {
      const std::string id = name + "-" + std::to_string(i);
      const int64_t sent_ms = NowMs();
      if (!connection.Send(
              RequestBytes("POST", "/ask/" + id,
                           {{"Host", "desk.example"},
                            {"Key", kTenant.key},
                            {"Request-Id", id},
                            {"Deadline-Ms", std::to_string(kDeadlineMs)}},
                           "{}"))) {
        return;
      }
      const Response answer = ReadResponse(connection, sent_ms + kDeadlineMs);
      record.Line(id + ": " + std::to_string(answer.status) +
                  (answer.complete ? " whole" : " not whole") + " after " +
                  std::to_string(answer.ended_ms - sent_ms) + " ms");
      if (!answer.complete) {
        cuts.push_back({id, sent_ms, answer.ended_ms});
        return;
      }
      ++answered;
      if (answer.headers.count("connection") > 0) {
        return;
      }
      SleepMs(think_ms);
    }
  }
};

int Play(const std::string& record_path) {
  Record record(record_path);
  Deployment deployment(record, 3, 3, kFronts);
  deployment.StartAll();
  if (!deployment.PutConfiguration(
          Configuration(1, {StreamRoute("ask", "/ask/", false)}, {kTenant}),
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
    options.events = 28;
    options.event_gap_ms = 110;
    engines.push_back(std::make_unique<Engine>(
        options, deployment.ControlEndpoints(), static_cast<size_t>(i % 3)));
  }
  SleepMs(4'000);

  std::mt19937 random(std::random_device{}());
  // The callers' pauses between two requests, and how long before the SIGTERM
  // they send the first one.
  std::uniform_int_distribution<int> think_ms(20, 120);
  std::uniform_int_distribution<int> before_ms(20, 300);
  int answered = 0;
  int lost = 0;
  for (int roll = 0; roll < kRolls; ++roll) {
    if (!deployment.WaitUntilServing(15'000)) {
      return 2;
    }
    std::vector<int64_t> stopped_ms(kFronts);
    std::vector<Caller> callers;
    for (int i = 0; i < kFronts; ++i) {
      for (int j = 0; j < kCallers; ++j) {
        callers.push_back({record,
                           deployment.FrontEndpoint(static_cast<size_t>(i)),
                           "r" + std::to_string(roll) + "f" +
                               std::to_string(i) + "c" + std::to_string(j),
                           think_ms(random),
                           0,
                           {}});
      }
    }
    const auto stop_at_ms = [begin_ms = NowMs()](int i) {
      return begin_ms + 500 + i * kGapMs;
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < kFronts; ++i) {
      const int64_t at_ms = stop_at_ms(i);
      for (int j = 0; j < kCallers; ++j) {
        threads.emplace_back(
            [&callers, i, j, begin = at_ms - before_ms(random)] {
              SleepMs(begin - NowMs());
              callers[static_cast<size_t>(kCallers * i + j)].Run();
            });
      }
    }
    // The main thread starts all processes, because they end with the thread
    // that started them.
    std::vector<bool> restarted(kFronts, !WithTrouble());
    while (std::count(restarted.begin(), restarted.end(), false) > 0) {
      for (int i = 0; i < kFronts; ++i) {
        const auto front = static_cast<size_t>(i);
        const size_t host = deployment.front(front);
        if (restarted[front] || NowMs() < stop_at_ms(i)) {
          continue;
        }
        if (stopped_ms[front] == 0) {
          stopped_ms[front] = NowMs();
          deployment.Signal(host, SIGTERM);
        }
        const bool late = NowMs() > stopped_ms[front] + kGraceMs;
        if (late) {
          deployment.Signal(host, SIGKILL);
        }
        if (late || deployment.WaitForEnd(host, 1)) {
          record.Line("ended " + deployment.name(host));
          deployment.Start(host, false);
          restarted[front] = true;
        }
      }
      SleepMs(1);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::set<std::string> passed_on;
    for (const auto& engine : engines) {
      for (const Run& run : engine->Runs()) {
        passed_on.insert(run.request);
      }
    }
    for (size_t i = 0; i < callers.size(); ++i) {
      answered += callers[i].answered;
      for (const Cut& cut : callers[i].cuts) {
        const int64_t after_ms = cut.ended_ms - stopped_ms[i / kCallers];
        const bool counts = passed_on.count(cut.request) > 0 &&
                            after_ms < kGraceMs * 5 / 6 &&
                            cut.ended_ms - cut.sent_ms < kDeadlineMs;
        lost += counts ? 1 : 0;
        record.Line(
            (counts ? "LOST " : "cut, not counted: ") + cut.request +
            ": ended " + std::to_string(after_ms) + " ms after SIGTERM, " +
            std::to_string(cut.ended_ms - cut.sent_ms) +
            " ms after it was sent" +
            (passed_on.count(cut.request) > 0 ? ", an engine ran it" : ""));
      }
    }
  }
  record.Line("answered " + std::to_string(answered) + ", lost " +
              std::to_string(lost));
  WriteRuns(record, engines);
  engines.clear();
  if (answered == 0) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Play(argv[1]) : 2;
}
