// A soak of the deployment that finds its members by itself: real programs as
// processes, faults drawn at random and injected from outside, and promises
// checked from what callers, operators and backend servers see.
//
//   fleet_soak --programs=FOLDER --seed=N --seconds=S [--keep]
//
// Exit code 0 when no promise was broken. The same seed draws the same faults
// at the same times; what they meet depends on the machine.
#include <filesystem>
#include <iostream>

#include "base/hash.h"
#include "client/arguments.h"
#include "kept_client.h"
#include "observe/log.h"
#include "traffic.h"

namespace sequoialb::soak {
namespace {

constexpr char kUsage[] = R"(Soaks a deployment of real processes in faults.

Usage:
  fleet_soak --programs=FOLDER --seed=N --seconds=S [--keep]

Options:
  --programs=FOLDER  Where the built programs are.
  --seed=N           Draws the faults.
  --seconds=S        How long faults come.
  --keep             Keep settings, data and logs even if all went well.
)";

constexpr milliseconds kWithdrawal{5'000};
// From one lost disk to the next: detection, a new learner, its vote.
constexpr seconds kBetweenWipes{15};
// All is well again this long after the last fault, with a wide margin for a
// busy machine; nothing is judged by how fast it was.
constexpr seconds kRecovery{60};

// Until a new process has loaded its libraries the system's own action for
// SIGTERM applies; it has taken nothing by then.
constexpr seconds kStarting{2};
constexpr int kEndedBySigterm = 128 + 15;

class Soak {
 public:
  Soak(const std::string& programs, const std::string& folder, uint64_t seed)
      : promises_(kWithdrawal),
        deployment_(programs, folder, kWithdrawal),
        traffic_(deployment_, promises_, seed),
        random_(seed) {}

  bool Run(seconds time) {
    for (int host = 0; host < kHosts; ++host) {
      deployment_.Start(host, true);
    }
    if (!Until("the deployment serves", [&] {
          deployment_.Announce();
          return traffic_.ChangeConfig(false) && AllServe();
        })) {
      return false;
    }
    traffic_.Start();
    const TimePoint end = Clock::now() + time;
    while (Clock::now() < end) {
      Inject();
      std::this_thread::sleep_for(milliseconds(Draw(100, 900)));
      EndDue(Clock::now());
      CheckProcesses();
    }
    EndDue(TimePoint::max());
    const bool calm = CheckCalm();
    traffic_.Stop();
    promises_.JudgeRuns();
    std::cout << promises_.Summary() << std::endl;
    return calm && promises_.broken() == 0;
  }

 private:
  struct Ongoing {
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
      const auto code = deployment_.Ended(host);
      if (code) {
        promises_.Broken("h" + std::to_string(host) +
                         " ended by itself with code " + std::to_string(*code));
        Start(host);
      }
    }
  }

  bool Until(const std::string& what, const std::function<bool()>& done) {
    const TimePoint limit = Clock::now() + kRecovery;
    while (!done()) {
      if (Clock::now() > limit) {
        promises_.Broken("never: " + what);
        return false;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return true;
  }

  bool AllServe() {
    for (int front = kFirstFront; front < kHosts; ++front) {
      if (traffic_.Ask(front, "sk", false, "steady") != 200) {
        return false;
      }
    }
    return true;
  }

  void Begin(const std::string& name, milliseconds lasts,
             std::function<void()> end) {
    std::cout << "fault: " << name << " for " << lasts.count() << " ms"
              << std::endl;
    ongoing_.push_back({Clock::now() + lasts, name, std::move(end)});
  }

  void EndDue(TimePoint now) {
    for (auto it = ongoing_.begin(); it != ongoing_.end();) {
      if (it->ends > now) {
        ++it;
        continue;
      }
      const std::function<void()> end = std::move(it->end);
      it = ongoing_.erase(it);
      end();
    }
  }

  void Inject() {
    const int host = Draw(0, kHosts - 1);
    switch (Draw(0, 6)) {
      case 0:
      case 1:
        return EndProcess(host);
      case 2:
        return Freeze(host);
      case 3:
        return SpoilLink();
      case 4:
        return ResetLink();
      case 5:
        return SpoilEngine();
      default:
        return Roll(host);
    }
  }

  bool Busy(int host) const { return busy_.count(host) > 0; }

  void EndProcess(int host) {
    if (Busy(host)) {
      return;
    }
    busy_.insert(host);
    const bool wipe = host < kFirstFront && Draw(0, 2) == 0 &&
                      Clock::now() > last_wipe_ + kBetweenWipes;
    deployment_.Kill(host);
    if (wipe) {
      last_wipe_ = Clock::now();
      deployment_.Wipe(host);
    }
    Begin((wipe ? "wipe h" : "kill h") + std::to_string(host),
          milliseconds(Draw(0, 3'000)), [this, host] {
            Start(host);
            busy_.erase(host);
          });
  }

  void Freeze(int host) {
    if (Busy(host)) {
      return;
    }
    busy_.insert(host);
    deployment_.Freeze(host);
    Begin("freeze h" + std::to_string(host), milliseconds(Draw(50, 7'000)),
          [this, host] {
            deployment_.Thaw(host);
            busy_.erase(host);
          });
  }

  // Stops and starts; a front takes seconds to drain, so it goes on beside.
  void Roll(int host) {
    if (Busy(host)) {
      return;
    }
    std::cout << "fault: roll h" << host << std::endl;
    const bool young = Clock::now() < started_[host] + kStarting;
    const int code = deployment_.Stop(host);
    if (code != 0 && !(young && code == kEndedBySigterm)) {
      promises_.Broken("h" + std::to_string(host) + " stopped with code " +
                       std::to_string(code));
    }
    Start(host);
  }

  void Start(int host) {
    deployment_.Start(host, false);
    started_[host] = Clock::now();
  }

  void SpoilLink() {
    const std::vector<FaultProxy*> proxies = deployment_.Proxies();
    FaultProxy* proxy = proxies[static_cast<size_t>(
        Draw(0, static_cast<int>(proxies.size()) - 1))];
    if (!spoilt_.insert(proxy).second) {
      return;
    }
    const auto fault = static_cast<LinkFault>(Draw(1, 3));
    proxy->Set(fault, milliseconds(Draw(10, 200)));
    static constexpr const char* kNames[] = {"", "delay", "silence into",
                                             "silence"};
    Begin(std::string(kNames[static_cast<int>(fault)]) + " " +
              proxy->address().ToString(),
          milliseconds(Draw(200, 5'000)), [this, proxy] {
            proxy->Set(LinkFault::kNone);
            spoilt_.erase(proxy);
          });
  }

  void ResetLink() {
    const std::vector<FaultProxy*> proxies = deployment_.Proxies();
    FaultProxy* proxy = proxies[static_cast<size_t>(
        Draw(0, static_cast<int>(proxies.size()) - 1))];
    std::cout << "fault: reset " << proxy->address().ToString() << std::endl;
    proxy->ResetAll();
  }

  void SpoilEngine() {
    const auto engine = static_cast<size_t>(
        Draw(0, static_cast<int>(deployment_.engines().size()) - 1));
    using Mishap = fakes::PlatformEngine::StreamFault;
    const Mishap mishap = Draw(0, 1) == 0 ? Mishap::kReset : Mishap::kStall;
    deployment_.engines()[engine]->SetStreamFault(mishap, Draw(0, 8));
    Begin("spoil engine " + std::to_string(engine),
          milliseconds(Draw(200, 3'000)), [this, engine] {
            deployment_.engines()[engine]->SetStreamFault(Mishap::kNone, 0);
          });
  }

  // Without faults everything accepted comes, and everybody is served.
  bool CheckCalm() {
    bool good = Until("all fronts serve", [&] { return AllServe(); });
    good &= Until("a change is acknowledged",
                  [&] { return traffic_.ChangeConfig(false); });
    for (int control = 0; control < kFirstStore; ++control) {
      good &= Until(
          "control host " + std::to_string(control) + " reads the newest", [&] {
            KeptClient client(deployment_.ControlAt(control),
                              milliseconds(2'000));
            return client.Call("GET", "/sequoialb/config", "").status == 200;
          });
    }
    for (int front = kFirstFront; front < kHosts; ++front) {
      for (const std::string& job : promises_.AcceptedJobs()) {
        traffic_.ReadJob(front, job, 0);
      }
    }
    good &= Until("all items are listed", [&] {
      for (const std::string& job : promises_.OpenJobs()) {
        traffic_.ReadJob(kFirstFront, job, 0);
      }
      return promises_.OpenJobs().size() <= 2;
    });
    return good;
  }

  Promises promises_;
  Deployment deployment_;
  Traffic traffic_;
  std::mt19937_64 random_;
  std::vector<Ongoing> ongoing_;
  std::set<int> busy_;
  std::map<int, TimePoint> started_;
  std::set<FaultProxy*> spoilt_;
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
