// The deployment under the soak: real programs as processes, proxies before all
// that they listen on, and stand-in backend servers.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../fakes/platform_engine.h"
#include "../scenarios/fleet.h"
#include "fault_proxy.h"

namespace sequoialb::soak {

// Hosts 0 to 2 control, 3 to 5 store, 6 and 7 are fronts, spread over three
// failure domains.
inline constexpr int kHosts = 8;
inline constexpr int kFirstStore = 3;
inline constexpr int kFirstFront = 6;

class Deployment {
 public:
  Deployment(const std::string& programs, const std::string& folder,
             milliseconds withdrawal);

  void Start(int host, bool first_start);
  void Kill(int host);
  // Sends SIGTERM and waits for the end, which must be graceful.
  int Stop(int host);
  // Returns the exit code of a host that was started and ended by itself.
  std::optional<int> PollExitCode(int host) {
    return fleet_.PollExitCode(NameOf(host));
  }
  void Freeze(int host);
  void Thaw(int host);
  void Wipe(int host);
  bool running(int host) const { return running_[static_cast<size_t>(host)]; }

  // Where operators and backend servers call a control host.
  Address ControlAddress(int host) const { return {Ip(1, host), port_ + 1}; }
  // Where callers reach a front, through its proxy.
  Address FrontAddress(int host) const;

  // Proxies before the links of hosts, before fronts and before servers.
  std::vector<FaultProxy*> Proxies() const;
  std::vector<std::unique_ptr<fakes::PlatformEngine>>& engines() {
    return engines_;
  }
  // Announces all servers to some control host.
  void Announce();

 private:
  struct Port {
    uint16_t value;
    uint16_t operator+(int more) const {
      return static_cast<uint16_t>(value + more);
    }
  };
  std::string Ip(int net, int host) const;
  static std::string NameOf(int host) { return "h" + std::to_string(host); }
  void WriteSettings(int host, bool first_start);

  scenario::Fleet fleet_;
  milliseconds withdrawal_;
  Port port_{0};
  std::vector<bool> running_ = std::vector<bool>(kHosts, false);
  fakes::LoopThread loop_;
  std::vector<std::unique_ptr<fakes::PlatformEngine>> engines_;
  std::vector<std::unique_ptr<FaultProxy>> links_;
  std::vector<std::unique_ptr<FaultProxy>> fronts_;
  std::vector<std::unique_ptr<FaultProxy>> engine_proxies_;
  int sequence_ = 0;
};

}  // namespace sequoialb::soak
