// Case 12: items whose prompts take an engine longer to read than the front
// waits for an item's first event.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "engine.h"
#include "fleet.h"
#include "jobs.h"

using namespace case3;

namespace {

// Of the sheet of bpcg-serve.
constexpr double kPromptTokensPerMs = 76.2;
constexpr milliseconds kFinish{18'000};
constexpr int kEngines = 12;
// Tokens that an engine holds: "memory for 147,261 tokens".
constexpr uint64_t kPrompt = 80'000;
constexpr uint64_t kSmallPrompt = 350;
constexpr uint64_t kOutput = 193;
constexpr int kItems = 10;
// What the rule looks at before the end.
constexpr milliseconds kLook{5'000};
// "A run that its sender ends, or whose time is up, within a second counts
// neither as had nor as failed."
constexpr milliseconds kNoRun{1'000};

int Run(bool trouble, Record& record) {
  FleetOptions options;
  options.zones = {"rhodope-a", "rhodope-b", "rhodope-c"};
  options.fronts = 4;
  Fleet fleet(options, record);
  fleet.StartAll();
  if (!fleet.PutConfig(Config({}), milliseconds(15'000))) {
    record.Line("the configuration was not acknowledged");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    EngineOptions engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.zone = options.zones[i % 3];
    engine.prompt_tokens_per_ms = kPromptTokensPerMs;
    engines.push_back(std::make_unique<Engine>(engine, fleet, record));
  }
  if (!fleet.WaitReady(milliseconds(20'000))) {
    record.Line("the fronts did not get ready");
    return 2;
  }
  const std::string job = "7c41e09b52d6a3f8";
  const uint64_t prompt = trouble ? kPrompt : kSmallPrompt;
  const std::string body = JobBody(job, kItems, prompt + kOutput, prompt);
  const std::vector<std::string> fronts = fleet.Names("front");
  int status = 0;
  for (int tries = 0; tries < 6 && status != 202; ++tries) {
    status = Submit(fleet.Front(fronts[tries % fronts.size()]), job, body,
                    milliseconds(4'000))
                 .status;
  }
  record.Line("submission of " + std::to_string(kItems) + " items of " +
              std::to_string(prompt) +
              " prompt tokens: " + std::to_string(status));
  if (status != 202) {
    return 2;
  }
  // The traffic ends with this job. A job is due in 18 s, and batch jobs have
  // FinishS after the end of the traffic.
  std::this_thread::sleep_for(kFinish + kFinish);
  const Message read =
      ReadResults(fleet.Front(fronts[0]), job, 0, milliseconds(2'500));
  const Clock::time_point end = Clock::now();
  const int listed = CountOf(read.body, "\"State\"");
  int runs = 0;
  int had = 0;
  int complete = 0;
  milliseconds longest{0};
  for (const auto& engine : engines) {
    for (const Engine::Span& span : engine->Spans()) {
      const auto took =
          std::chrono::duration_cast<milliseconds>(span.end - span.begin);
      ++runs;
      complete += span.complete ? 1 : 0;
      if (!span.complete) {
        longest = std::max(longest, took);
      }
      had += span.end > end - kLook && took > kNoRun ? 1 : 0;
    }
  }
  record.Line(std::to_string(listed) + " of " + std::to_string(kItems) +
              " items listed; the read was answered " +
              std::to_string(read.status));
  record.Line(std::to_string(runs) + " runs, " + std::to_string(complete) +
              " of them whole; the longest that its sender ended took " +
              std::to_string(longest.count()) + " ms; runs of over a second " +
              "in the last 5 s: " + std::to_string(had));
  if (read.status != 200) {
    return 2;
  }
  return listed < kItems && had == 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const int code = Run(trouble, record);
  record.Line(code == 0   ? "the rule was kept"
              : code == 1 ? "the rule was broken: LOST"
                          : "the case could not run");
  std::printf("%s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run");
  return code;
}
