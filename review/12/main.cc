// Case 12: a front freezes while it waits for the answer to a batch job that
// does not fit, and wakes when the account has room again.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "engine.h"
#include "fleet.h"
#include "jobs.h"

using namespace case3;

namespace {

constexpr milliseconds kDeadline{4'000};
// How long the front stands still. The pages freeze machines for up to 6 s.
constexpr milliseconds kFrozenFor{340};
// From the sending of the job to the freeze.
constexpr std::chrono::microseconds kFirstFreezeAfter{400};
constexpr std::chrono::microseconds kFreezeStep{100};
constexpr int kFreezeSteps = 12;
constexpr milliseconds kWatch{2'000};
constexpr milliseconds kRoundsEnd{45'000};
constexpr uint64_t kTokensEach = 643;
constexpr int kItems = 10;
// Ten jobs of ten items fit.
constexpr uint64_t kCap = 64'300;

// Honours Retry-After, which is in seconds.
void WaitAsTold(const Message& answer) {
  const double seconds = std::atof(answer.Field("Retry-After").c_str());
  std::this_thread::sleep_for(
      milliseconds(static_cast<int64_t>(seconds * 1'000)));
}

int Run(bool trouble, Record& record) {
  FleetOptions options;
  options.zones = {"rhodope-a", "rhodope-b", "rhodope-c"};
  Fleet fleet(options, record);
  fleet.StartAll();
  ConfigOptions config;
  config.cap = kCap;
  if (!fleet.PutConfig(Config(config), milliseconds(15'000))) {
    record.Line("the configuration was not acknowledged");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 12; ++i) {
    EngineOptions engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.zone = options.zones[i % 3];
    engines.push_back(std::make_unique<Engine>(engine, fleet, record));
  }
  if (!fleet.WaitReady(milliseconds(20'000))) {
    record.Line("the fronts did not get ready");
    return 2;
  }
  const auto runs_of = [&](const std::string& job) {
    int runs = 0;
    for (const auto& engine : engines) {
      for (const auto& [id, count] : engine->Runs()) {
        runs += id.rfind(job + "-", 0) == 0 ? count : 0;
      }
    }
    return runs;
  };
  const std::vector<std::string> fronts = fleet.Names("front");
  const Clock::time_point end = Clock::now() + kRoundsEnd;
  int refused = 0;
  int broken = 0;
  for (int round = 0; Clock::now() < end; ++round) {
    const std::string tag = std::to_string(1'000 + round);
    const std::string& first = fronts[round % fronts.size()];
    const std::string& second = fronts[(round + 1) % fronts.size()];
    // The account's jobs that are waiting take all of its tokens.
    int accepted = 0;
    for (int i = 0; i < 10; ++i) {
      const std::string job = "f" + tag + "c" + std::to_string(i);
      const Message answer =
          Submit(fleet.Front(fronts[i % fronts.size()]), job,
                 JobBody(job, kItems, kTokensEach), kDeadline);
      accepted += answer.status == 202 ? 1 : 0;
    }
    const std::string job = "e" + tag;
    const std::string body = JobBody(job, kItems, kTokensEach);
    const Message one = Submit(fleet.Front(first), job, body, kDeadline);
    record.Line("job " + job + ": " + std::to_string(accepted) +
                " others accepted; first attempt answered " +
                std::to_string(one.status));
    if (one.status == 429 || one.status == 503) {
      WaitAsTold(one);
      std::thread thaw;
      const Clock::time_point sent_at = Clock::now();
      const Message two =
          Submit(fleet.Front(second), job, body, kDeadline, [&] {
            if (!trouble) {
              return;
            }
            std::this_thread::sleep_for(kFirstFreezeAfter +
                                        kFreezeStep * (round % kFreezeSteps));
            fleet.Signal(second, SIGSTOP);
            thaw = std::thread([&] {
              std::this_thread::sleep_for(kFrozenFor);
              fleet.Signal(second, SIGCONT);
            });
          });
      const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
          Clock::now() - sent_at);
      if (thaw.joinable()) {
        thaw.join();
      }
      const bool promised = two.status == 429 || two.status == 503;
      record.Line("job " + job + ": second and last attempt answered " +
                  std::to_string(two.status) + " after " +
                  std::to_string(took.count()) + " us");
      std::this_thread::sleep_for(kWatch);
      if (promised) {
        ++refused;
        const int runs = runs_of(job);
        if (runs > 0) {
          ++broken;
        }
        record.Line("job " + job + " was refused at both attempts; " +
                    std::to_string(runs) + " runs of its items; a read of it " +
                    std::to_string(ReadResults(fleet.Front(first), job, 0,
                                               milliseconds(2'500))
                                       .status));
      }
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  record.Line(std::to_string(broken) + " of " + std::to_string(refused) +
              " jobs that were refused at both attempts ran");
  const std::string ended = fleet.Ended();
  if (!ended.empty()) {
    record.Line("the process of " + ended + " has ended by itself");
    return 2;
  }
  if (refused == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const int code = Run(trouble, record);
  record.Line(code == 0   ? "the rule was kept"
              : code == 1 ? "the rule was broken: REFUSED"
                          : "the case could not run");
  std::printf("%s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run");
  return code;
}
