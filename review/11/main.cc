// Case 11: a store machine is replaced by an empty one at another address, and
// once the successor has had CatchUpS, another store machine loses its disk.
// With GROUP=control the same happens to core machines.
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
constexpr milliseconds kCatchUp{4'900};
constexpr milliseconds kRecovery{12'000};
// From the loss of the machine to the start of its successor.
constexpr milliseconds kSuccessorAfter{1'000};
// From the loss of the disk to the restart of its machine.
constexpr milliseconds kWipedFor{2'000};
// Beyond CatchUpS, so that the successor has had all of it.
constexpr milliseconds kBeyond{150};
constexpr int kJobs = 3;
constexpr int kItems = 10;

std::string JobName(int job) { return "7c41e09b52d6a3f" + std::to_string(job); }

// Reads all jobs at one front after the other; returns how many were read
// whole.
int ReadAll(const Fleet& fleet, Record& record) {
  int whole = 0;
  for (int job = 0; job < kJobs; ++job) {
    std::string statuses;
    bool read = false;
    for (const std::string& front : fleet.Names("front")) {
      const Message answer =
          ReadResults(fleet.Front(front), JobName(job), 0, milliseconds(2'500));
      statuses += " " + std::to_string(answer.status);
      read = read || (answer.status == 200 &&
                      CountOf(answer.body, "\"complete\"") == kItems);
    }
    record.Line("read of " + JobName(job) + ":" + statuses +
                (read ? ", whole" : ", not whole"));
    whole += read ? 1 : 0;
  }
  return whole;
}

int Run(bool trouble, const std::string& duty, Record& record) {
  FleetOptions options;
  options.zones = {"rhodope-a", "rhodope-b", "rhodope-c"};
  Fleet fleet(options, record);
  fleet.StartAll();
  if (!fleet.PutConfig(Config({}), milliseconds(15'000))) {
    record.Line("the configuration was not acknowledged");
    return 2;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 6; ++i) {
    EngineOptions engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.zone = options.zones[i % 3];
    engines.push_back(std::make_unique<Engine>(engine, fleet, record));
  }
  if (!fleet.WaitReady(milliseconds(20'000))) {
    record.Line("the fronts did not get ready");
    return 2;
  }
  const std::vector<std::string> fronts = fleet.Names("front");
  for (int job = 0; job < kJobs; ++job) {
    const std::string body = JobBody(JobName(job), kItems, 643);
    int status = 0;
    for (int tries = 0; tries < 6 && status != 202; ++tries) {
      status = Submit(fleet.Front(fronts[(job + tries) % fronts.size()]),
                      JobName(job), body, milliseconds(4'000))
                   .status;
      record.Line("submission of " + JobName(job) + ": " +
                  std::to_string(status));
    }
    if (status != 202) {
      return 2;
    }
  }
  const Clock::time_point done_by = Clock::now() + milliseconds(20'000);
  while (ReadAll(fleet, record) < kJobs) {
    if (Clock::now() > done_by) {
      record.Line("the jobs were not completed before the disruption");
      return 2;
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  if (trouble) {
    const std::string lost = fleet.Leader(duty);
    if (lost.empty()) {
      return 2;
    }
    record.Line("first loss: " + lost + " is gone for good");
    fleet.Kill(lost);
    std::this_thread::sleep_for(kSuccessorAfter);
    fleet.Add("rhodope-new", duty, options.zones[0]);
    fleet.Start("rhodope-new", false);
    std::this_thread::sleep_for(kCatchUp + kBeyond);
    std::string wiped;
    for (const std::string& name : fleet.Names(duty)) {
      if (name != lost && name != "rhodope-new") {
        wiped = name;
      }
    }
    record.Line("the successor has had CatchUpS; second loss: " + wiped +
                " loses its disk");
    fleet.Kill(wiped);
    fleet.WipeDisk(wiped);
    std::this_thread::sleep_for(kWipedFor);
    fleet.Start(wiped, false);
    std::this_thread::sleep_for(kCatchUp);
  } else {
    std::this_thread::sleep_for(milliseconds(13'000));
  }
  // All machines are back; service may be suspended for RecoveryS.
  const Clock::time_point until = Clock::now() + kRecovery + kRecovery;
  int whole = 0;
  while (Clock::now() < until && whole < kJobs) {
    whole = ReadAll(fleet, record);
    std::this_thread::sleep_for(milliseconds(500));
  }
  for (const std::string& name : fleet.Names("control")) {
    const Message answer = Ask(fleet.Control(name), "GET", "/sequoialb/config",
                               {{"Host", "control"}}, "", milliseconds(1'500));
    record.Line("read of the configuration at " + name + ": " +
                std::to_string(answer.status));
  }
  const std::string ended = fleet.Ended();
  if (!ended.empty()) {
    record.Line("the process of " + ended + " has ended by itself");
  }
  const int fresh =
      Submit(fleet.Front(fronts[0]), "aa41e09b52d6a3f8",
             JobBody("aa41e09b52d6a3f8", 1, 643), milliseconds(4'000))
          .status;
  record.Line("submission of a new job: " + std::to_string(fresh));
  record.Line(std::to_string(whole) + " of " + std::to_string(kJobs) +
              " accepted and completed jobs can be read");
  return whole == kJobs ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const char* group = std::getenv("GROUP");
  const int code = Run(trouble, group == nullptr ? "store" : group, record);
  record.Line(code == 0   ? "the rule was kept"
              : code == 1 ? "the rule was broken: LOST"
                          : "the case could not run");
  std::printf("%s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run");
  return code;
}
