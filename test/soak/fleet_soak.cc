// Soak test of a deployment whose members discover each other: runs the real
// programs as processes, injects random faults from outside, and checks the
// guarantees of the product against what callers, operators and backend servers
// observe.
//
//   fleet_soak --programs=FOLDER --seed=N --seconds=S [--keep]
//
// The exit code is 0 if no guarantee was violated. The same seed injects the
// same faults at the same times, but what the programs do at that time depends
// on the machine, so a failure may not reproduce.
#include <filesystem>
#include <iostream>

#include "base/hash.h"
#include "client/arguments.h"
#include "keep_alive_client.h"
#include "observe/log.h"
#include "traffic.h"

namespace sequoialb::soak {
namespace {

constexpr char kUsage[] =
    R"(Runs a deployment of real processes and injects random faults.

Usage:
  fleet_soak --programs=FOLDER --seed=N --seconds=S [--keep]

Options:
  --programs=FOLDER  Where the built programs are.
  --seed=N           Seed of the random faults.
  --seconds=S        How long faults are injected.
  --keep             Keep settings, data and logs even if the test passes.
)";

constexpr milliseconds kWithdrawal{5'000};
// Minimum time between two lost disks. Within it the loss must be detected, a
// new learner added and the learner made a voter.
constexpr seconds kMinWipeInterval{15};
// The deployment must have recovered this long after the last fault. The limit
// has a wide margin for a busy machine: the test does not check latency.
constexpr seconds kRecovery{60};

// Until a new process has loaded its libraries, SIGTERM has its default action
// and ends it. The process has accepted no requests by then.
constexpr seconds kStartupTime{2};
constexpr int kEndedBySigterm = 128 + 15;

class Soak {
 public:
  Soak(const std::string& programs, const std::string& folder, uint64_t seed)
      : checker_(kWithdrawal),
        deployment_(programs, folder, kWithdrawal),
        traffic_(deployment_, checker_, seed),
        random_(seed) {}

  bool Run(seconds time) {
    for (int host = 0; host < kHosts; ++host) {
      deployment_.Start(host, true);
    }
    if (!WaitUntil("the deployment serves requests", [&] {
          deployment_.Announce();
          return traffic_.ChangeConfig(false) && AllServe();
        })) {
      return false;
    }
    traffic_.Start();
    const TimePoint end = Clock::now() + time;
    while (Clock::now() < end) {
      InjectFault();
      std::this_thread::sleep_for(milliseconds(Draw(100, 900)));
      EndDueFaults(Clock::now());
      CheckProcesses();
    }
    EndDueFaults(TimePoint::max());
    const bool recovered = CheckRecovery();
    traffic_.Stop();
    checker_.CheckRuns();
    std::cout << checker_.Summary() << std::endl;
    return recovered && checker_.violations() == 0;
  }

 private:
  struct ActiveFault {
    TimePoint ends;
    std::string name;
    std::function<void()> end;
  };

  int Draw(int least, int most) {
    return least + static_cast<int>(random_() %
                                    static_cast<uint64_t>(most - least + 1));
  }

  void CheckProcesses() {
    for (int host = 0; host < kHosts; ++host) {
      const auto code = deployment_.PollExitCode(host);
      if (code) {
        checker_.ReportViolation("h" + std::to_string(host) +
                                 " exited unexpectedly with code " +
                                 std::to_string(*code));
        Start(host);
      }
    }
  }

  bool WaitUntil(const std::string& what, const std::function<bool()>& done) {
    const TimePoint limit = Clock::now() + kRecovery;
    while (!done()) {
      if (Clock::now() > limit) {
        checker_.ReportViolation("timed out waiting until " + what);
        return false;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return true;
  }

  bool AllServe() {
    for (int front = kFirstFront; front < kHosts; ++front) {
      if (traffic_.SendRequest(front, "sk", false, "steady") != 200) {
        return false;
      }
    }
    return true;
  }

  void BeginFault(const std::string& name, milliseconds lasts,
                  std::function<void()> end) {
    std::cout << "fault: " << name << " for " << lasts.count() << " ms"
              << std::endl;
    active_faults_.push_back({Clock::now() + lasts, name, std::move(end)});
  }

  void EndDueFaults(TimePoint now) {
    for (auto it = active_faults_.begin(); it != active_faults_.end();) {
      if (it->ends > now) {
        ++it;
        continue;
      }
      const std::function<void()> end = std::move(it->end);
      it = active_faults_.erase(it);
      end();
    }
  }

  void InjectFault() {
    const int host = Draw(0, kHosts - 1);
    switch (Draw(0, 6)) {
      case 0:
      case 1:
        return KillHost(host);
      case 2:
        return Freeze(host);
      case 3:
        return InjectLinkFault();
      case 4:
        return ResetLink();
      case 5:
        return InjectStreamFault();
      default:
        return RestartHost(host);
    }
  }

  bool HasActiveFault(int host) const { return faulted_hosts_.count(host) > 0; }

  void KillHost(int host) {
    if (HasActiveFault(host)) {
      return;
    }
    faulted_hosts_.insert(host);
    const bool wipe = host < kFirstFront && Draw(0, 2) == 0 &&
                      Clock::now() > last_wipe_ + kMinWipeInterval;
    deployment_.Kill(host);
    if (wipe) {
      last_wipe_ = Clock::now();
      deployment_.Wipe(host);
    }
    BeginFault((wipe ? "wipe h" : "kill h") + std::to_string(host),
               milliseconds(Draw(0, 3'000)), [this, host] {
                 Start(host);
                 faulted_hosts_.erase(host);
               });
  }

  void Freeze(int host) {
    if (HasActiveFault(host)) {
      return;
    }
    faulted_hosts_.insert(host);
    deployment_.Freeze(host);
    BeginFault("freeze h" + std::to_string(host), milliseconds(Draw(50, 7'000)),
               [this, host] {
                 deployment_.Thaw(host);
                 faulted_hosts_.erase(host);
               });
  }

  // Stops a host gracefully and starts it again. A front takes seconds to
  // drain; traffic and active faults continue meanwhile.
  void RestartHost(int host) {
    if (HasActiveFault(host)) {
      return;
    }
    std::cout << "fault: restart h" << host << std::endl;
    const bool starting = Clock::now() < started_[host] + kStartupTime;
    const int code = deployment_.Stop(host);
    if (code != 0 && !(starting && code == kEndedBySigterm)) {
      checker_.ReportViolation("h" + std::to_string(host) +
                               " stopped with code " + std::to_string(code));
    }
    Start(host);
  }

  void Start(int host) {
    deployment_.Start(host, false);
    started_[host] = Clock::now();
  }

  void InjectLinkFault() {
    const std::vector<FaultProxy*> proxies = deployment_.Proxies();
    FaultProxy* proxy = proxies[static_cast<size_t>(
        Draw(0, static_cast<int>(proxies.size()) - 1))];
    if (!faulted_proxies_.insert(proxy).second) {
      return;
    }
    const auto fault = static_cast<LinkFault>(Draw(1, 3));
    proxy->Set(fault, milliseconds(Draw(10, 200)));
    static constexpr const char* kNames[] = {"", "delay", "stall inbound",
                                             "stall"};
    BeginFault(std::string(kNames[static_cast<int>(fault)]) + " " +
                   proxy->address().ToString(),
               milliseconds(Draw(200, 5'000)), [this, proxy] {
                 proxy->Set(LinkFault::kNone);
                 faulted_proxies_.erase(proxy);
               });
  }

  void ResetLink() {
    const std::vector<FaultProxy*> proxies = deployment_.Proxies();
    FaultProxy* proxy = proxies[static_cast<size_t>(
        Draw(0, static_cast<int>(proxies.size()) - 1))];
    std::cout << "fault: reset " << proxy->address().ToString() << std::endl;
    proxy->ResetAll();
  }

  void InjectStreamFault() {
    const auto engine = static_cast<size_t>(
        Draw(0, static_cast<int>(deployment_.engines().size()) - 1));
    using StreamFault = fakes::PlatformEngine::StreamFault;
    const StreamFault fault =
        Draw(0, 1) == 0 ? StreamFault::kReset : StreamFault::kStall;
    deployment_.engines()[engine]->SetStreamFault(fault, Draw(0, 8));
    BeginFault("stream fault on engine " + std::to_string(engine),
               milliseconds(Draw(200, 3'000)), [this, engine] {
                 deployment_.engines()[engine]->SetStreamFault(
                     StreamFault::kNone, 0);
               });
  }

  // Checks that without faults the deployment recovers: all fronts serve,
  // changes are acknowledged, and all accepted job items are completed.
  bool CheckRecovery() {
    bool good = WaitUntil("all fronts serve", [&] { return AllServe(); });
    good &= WaitUntil("a change is acknowledged",
                      [&] { return traffic_.ChangeConfig(false); });
    for (int control = 0; control < kFirstStore; ++control) {
      good &= WaitUntil(
          "control host " + std::to_string(control) +
              " answers a read of the configuration",
          [&] {
            KeepAliveClient client(deployment_.ControlAddress(control),
                                   milliseconds(2'000));
            return client.Call("GET", "/sequoialb/config", "").status == 200;
          });
    }
    for (int front = kFirstFront; front < kHosts; ++front) {
      for (const std::string& job : checker_.AcceptedJobs()) {
        traffic_.ReadJob(front, job, 0);
      }
    }
    good &= WaitUntil("all items are listed", [&] {
      for (const std::string& job : checker_.IncompleteJobs()) {
        traffic_.ReadJob(kFirstFront, job, 0);
      }
      // Jobs are still being submitted, so the newest may be incomplete.
      return checker_.IncompleteJobs().size() <= 2;
    });
    return good;
  }

  GuaranteeChecker checker_;
  Deployment deployment_;
  Traffic traffic_;
  std::mt19937_64 random_;
  std::vector<ActiveFault> active_faults_;
  std::set<int> faulted_hosts_;
  std::map<int, TimePoint> started_;
  std::set<FaultProxy*> faulted_proxies_;
  TimePoint last_wipe_;
};

int Main(int argc, char** argv) {
  const auto arguments = ParseArguments(kUsage, argc, argv, "fleet_soak");
  SetLogLevel("error");
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("soak_" + RandomHex(8)))
          .string();
  const auto seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
  bool good = false;
  {
    Soak soak(std::filesystem::absolute(arguments.at("--programs").asString()),
              folder, seed);
    good = soak.Run(seconds(arguments.at("--seconds").asLong()));
  }
  if (good && !arguments.at("--keep").asBool()) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << "settings, data and logs are in " << folder << std::endl;
  }
  std::cout << "soak seed " << seed << ": " << (good ? "passed" : "FAILED")
            << std::endl;
  return good ? 0 : 1;
}

}  // namespace
}  // namespace sequoialb::soak

int main(int argc, char** argv) { return sequoialb::soak::Main(argc, argv); }
