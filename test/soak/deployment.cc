#include "deployment.h"

#include <fstream>

#include "kept_client.h"

namespace sequoialb::soak {
namespace {

constexpr milliseconds kBeatPatience{1'000};
constexpr int kEngines = 4;
// All hosts use the same ports, so the range must be free on each address.
constexpr int kPorts = 4;

}  // namespace

Deployment::Deployment(const std::string& programs, const std::string& folder,
                       milliseconds withdrawal)
    : fleet_(programs, folder), withdrawal_(withdrawal) {
  // Nobody else uses these addresses, so the ports that follow are free too.
  const int free = scenario::FreePort(Ip(1, 0));
  port_.value = static_cast<uint16_t>(free > 60'000 ? free - kPorts : free);
  for (int host = 0; host < kHosts; ++host) {
    links_.push_back(
        std::make_unique<FaultProxy>(loop_, Address{Ip(2, host), port_.value},
                                     Address{Ip(1, host), port_.value}));
    if (host >= kFirstFront) {
      fronts_.push_back(
          std::make_unique<FaultProxy>(loop_, Address{Ip(2, host), port_ + 1},
                                       Address{Ip(1, host), port_ + 1}));
    }
  }
  for (int i = 0; i < kEngines; ++i) {
    engines_.push_back(
        std::make_unique<fakes::PlatformEngine>("e" + std::to_string(i)));
    engine_proxies_.push_back(std::make_unique<FaultProxy>(
        loop_, Address{"127.0.0.1", 0},
        *ParseAddress(engines_.back()->address())));
  }
}

std::string Deployment::Ip(int net, int host) const {
  // "127.A.B." of the fleet; the last number tells hosts and proxies apart.
  return fleet_.network() + std::to_string(net * 20 + host);
}

Address Deployment::FrontAt(int host) const {
  return fronts_[static_cast<size_t>(host - kFirstFront)]->address();
}

void Deployment::WriteSettings(int host, bool first_start) {
  const std::string own = Ip(1, host) + ":";
  const auto at = [&](int more) {
    return "\"" + own + std::to_string(port_ + more) + "\"";
  };
  std::ofstream out(fleet_.folder() + "/" + NameOf(host) + ".json");
  out << "{\n\"host\": \"" << NameOf(host) << "\", \"failure_domain\": \"d"
      << host % 3 << "\",\n\"peer\": " << at(0) << ",\n\"advertised_peer\": \""
      << Ip(2, host) << ":" << port_.value << "\",\n\"metrics\": " << at(3)
      << ",\n\"seeds\": [\"" << Ip(2, 0) << ":1\", \"" << Ip(2, 1) << ":1\", \""
      << Ip(2, 2) << ":1\"],\n";
  if (host < kFirstStore) {
    out << "\"duties\": [\"control\"], \"control\": " << at(1) << ",\n";
  } else if (host < kFirstFront) {
    out << "\"duties\": [\"store\"],\n";
  } else {
    out << "\"duties\": [\"front\"], \"front\": " << at(1)
        << ", \"ready\": " << at(2) << ",\n";
  }
  if (host < kFirstFront) {
    out << "\"data_folder\": \"" << fleet_.folder() << "/" << NameOf(host)
        << ".data\",\n";
  }
  out << "\"withdrawal_ms\": " << withdrawal_.count()
      << ", \"first_start\": " << (first_start ? "true" : "false") << "\n}\n";
}

void Deployment::Start(int host, bool first_start) {
  WriteSettings(host, first_start);
  fleet_.AddProcess(NameOf(host), {fleet_.programs() + "/sequoialb-platform",
                                   "--settings=" + fleet_.folder() + "/" +
                                       NameOf(host) + ".json"});
  fleet_.Start(NameOf(host));
  running_[static_cast<size_t>(host)] = true;
}

void Deployment::Kill(int host) {
  fleet_.Kill(NameOf(host));
  running_[static_cast<size_t>(host)] = false;
}

int Deployment::Stop(int host) {
  const int code = fleet_.Stop(NameOf(host));
  running_[static_cast<size_t>(host)] = false;
  return code;
}

void Deployment::Freeze(int host) { fleet_.Freeze(NameOf(host)); }
void Deployment::Thaw(int host) { fleet_.Thaw(NameOf(host)); }
void Deployment::Wipe(int host) { fleet_.Wipe(NameOf(host)); }

std::vector<FaultProxy*> Deployment::Proxies() const {
  std::vector<FaultProxy*> all;
  for (const auto* group : {&links_, &fronts_, &engine_proxies_}) {
    for (const auto& proxy : *group) {
      all.push_back(proxy.get());
    }
  }
  return all;
}

void Deployment::Announce() {
  ++sequence_;
  for (size_t i = 0; i < engines_.size(); ++i) {
    const std::string domain = "d" + std::to_string(i % 3);
    const std::string beat = engines_[i]->AnnouncementBody(
        domain, sequence_, "ready", engine_proxies_[i]->address().ToString());
    for (int tries = 0; tries < kFirstStore; ++tries) {
      const int control =
          (sequence_ + static_cast<int>(i) + tries) % kFirstStore;
      KeptClient client(ControlAt(control), kBeatPatience);
      if (client
              .Call("PUT", "/sequoialb/instances/" + engines_[i]->id(), "",
                    beat)
              .status == 200) {
        break;
      }
    }
  }
}

}  // namespace sequoialb::soak
