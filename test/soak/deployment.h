// The deployment that the soak test runs: real programs as processes, stand-in
// backend servers, and a fault proxy in front of every address on which hosts
// call each other, callers reach fronts, and fronts reach backend servers.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../fakes/platform_engine.h"
#include "../scenarios/fleet.h"
#include "fault_proxy.h"

namespace sequoialb::soak {

// Hosts 0 to 2 are control hosts, 3 to 5 are store hosts, and 6 and 7 are
// fronts. They are spread over three failure domains.
inline constexpr int kHosts = 8;
inline constexpr int kFirstStore = 3;
inline constexpr int kFirstFront = 6;

class Deployment {
 public:
  Deployment(const std::string& programs, const std::string& folder,
             milliseconds withdrawal);

  void Start(int host, bool first_start);
  void Kill(int host);
  // Sends SIGTERM, waits until the process ends and returns its exit code,
  // which is 0 after a graceful shutdown.
  int Stop(int host);
  // Returns the exit code of a started host whose process has ended without
  // Kill or Stop.
  std::optional<int> PollExitCode(int host) {
    return fleet_.PollExitCode(NameOf(host));
  }
  void Freeze(int host);
  void Thaw(int host);
  void Wipe(int host);
  bool running(int host) const { return running_[static_cast<size_t>(host)]; }

  // The address at which operators and backend servers call a control host.
  Address ControlAddress(int host) const { return {Ip(1, host), port_ + 1}; }
  // The address at which callers reach a front, through its proxy.
  Address FrontAddress(int host) const;

  // The proxies in front of the hosts' peer addresses, the fronts' addresses
  // for callers, and the backend servers.
  std::vector<FaultProxy*> Proxies() const;
  std::vector<std::unique_ptr<fakes::PlatformEngine>>& engines() {
    return engines_;
  }
  // Announces every backend server to the first control host that accepts it.
  void Announce();

 private:
  // The first port of the range that every host uses on its own address.
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
