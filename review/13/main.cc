// Case 13: an engine starts again under its Id while one control machine is
// frozen, and deregisters later at that machine.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "engine.h"
#include "fleet.h"
#include "jobs.h"

using namespace case3;

namespace {

// Of the sheet of zhylu-otyn.
constexpr milliseconds kDrain{2'000};
constexpr milliseconds kContact{3'000};
// How long the control machine stands still, and when in this time the engine
// deregisters, ends and starts again.
constexpr milliseconds kFrozenFor{6'000};
constexpr milliseconds kLeavesAfter{300};
constexpr milliseconds kEndsAfter{2'800};
constexpr milliseconds kStartsAfter{3'500};
// How long the engine serves after its deregistration: DrainMs "and a little
// longer (at times many seconds)".
constexpr milliseconds kServesOn{6'000};
// Bytes that were on their way do not count.
constexpr milliseconds kOnTheWay{300};

Fields StreamFields(const std::string& id) {
  Fields fields = ClientFields();
  fields.emplace_back("Request-Id", id);
  fields.emplace_back("Model", "m");
  fields.emplace_back("Token-Count", "350,28");
  fields.emplace_back("Prompt-Prefix", "5c1e07a2:100," + id + ":250");
  fields.emplace_back("Deadline-Ms", "5000");
  return fields;
}

int Run(bool trouble, Record& record) {
  FleetOptions options;
  options.zones = {"akmola-a", "akmola-b", "akmola-c", "akmola-d"};
  options.controls = 4;
  options.stores = 4;
  options.fronts = 4;
  Fleet fleet(options, record);
  fleet.StartAll();
  ConfigOptions config;
  config.resumable = false;
  if (!fleet.PutConfig(Config(config), milliseconds(15'000))) {
    record.Line("the configuration was not acknowledged");
    return 2;
  }
  const std::vector<std::string> controls = fleet.Names("control");
  std::string frozen;
  for (const std::string& name : controls) {
    if (fleet.Metric(name, "sequoialb_group_leads{group=\"control\"}") == 0) {
      frozen = name;
    }
  }
  std::vector<std::string> others;
  for (const std::string& name : controls) {
    if (name != frozen) {
      others.push_back(name);
    }
  }
  std::vector<std::unique_ptr<Engine>> engines;
  // The engine that starts again is the only one of its zone.
  for (int i = 1; i < 4; ++i) {
    EngineOptions engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.zone = options.zones[i];
    engines.push_back(std::make_unique<Engine>(engine, fleet, record));
  }
  EngineOptions restarted;
  restarted.id = "i-restarted";
  restarted.zone = options.zones[0];
  restarted.beat_at = {frozen};
  restarted.beat_at.insert(restarted.beat_at.end(), others.begin(),
                           others.end());
  auto engine = std::make_unique<Engine>(restarted, fleet, record);
  if (!fleet.WaitReady(milliseconds(20'000))) {
    record.Line("the fronts did not get ready");
    return 2;
  }
  std::atomic<bool> ended = false;
  std::atomic<int> answered = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < 12; ++i) {
    clients.emplace_back([&, i, front = fleet.Names("front")[i % 4]] {
      for (int number = 0; !ended; ++number) {
        const std::string id =
            front + "-" + std::to_string(i) + "-" + std::to_string(number);
        const Message answer =
            Ask(fleet.Front(front), "POST", kStreamPrefix + std::string("2f"),
                StreamFields(id), "{}", milliseconds(5'000));
        answered += answer.status == 200 ? 1 : 0;
        if (answer.status != 200) {
          record.Line("request " + id + " was answered " +
                      std::to_string(answer.status));
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(3'000));
  if (trouble) {
    record.Line("froze " + frozen);
    fleet.Signal(frozen, SIGSTOP);
  }
  std::this_thread::sleep_for(kLeavesAfter);
  record.Line("the engine deregisters at " + others[0] + ", answered " +
              std::to_string(engine->Leave(others[0])));
  std::this_thread::sleep_for(kEndsAfter - kLeavesAfter);
  record.Line("the engine ends");
  engine.reset();
  std::this_thread::sleep_for(kStartsAfter - kEndsAfter);
  restarted.beat_at = others;
  restarted.beat_at.push_back(frozen);
  engine = std::make_unique<Engine>(restarted, fleet, record);
  record.Line("the engine has started again under its Id");
  std::this_thread::sleep_for(kFrozenFor - kStartsAfter);
  if (trouble) {
    record.Line("thawed " + frozen);
    fleet.Signal(frozen, SIGCONT);
  }
  std::this_thread::sleep_for(kContact + kContact + milliseconds(1'000));
  const size_t before = engine->RunTimes().size();
  const int status = engine->Leave(frozen);
  const Clock::time_point acknowledged = Clock::now();
  record.Line("the engine has run " + std::to_string(before) +
              " requests since its start; " + frozen +
              " answers its deregistration with " + std::to_string(status));
  std::this_thread::sleep_for(kServesOn);
  int late = 0;
  for (const auto& [at, id] : engine->RunTimes()) {
    late += at > acknowledged + kDrain + kOnTheWay ? 1 : 0;
  }
  record.Line("the engine exits");
  engine.reset();
  std::this_thread::sleep_for(milliseconds(1'000));
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line(std::to_string(answered) + " requests were answered with 200");
  record.Line(std::to_string(late) +
              " requests ran at the engine later than DrainMs after that");
  if (status != 200 || before == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const int code = Run(trouble, record);
  record.Line(code == 0   ? "the rule was kept"
              : code == 1 ? "the rule was broken: DRAIN"
                          : "the case could not run");
  std::printf("%s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run");
  return code;
}
