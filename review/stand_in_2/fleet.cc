#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace review {
namespace {

constexpr int kPeerPort = 7360;
constexpr int kMetricsPort = 7361;
constexpr int kControlPort = 8683;
constexpr int kReadyPort = 8687;
constexpr int kFrontPort = 8689;
constexpr milliseconds kCallTimeout{1'000};

const char* DutyName(Duty duty) {
  switch (duty) {
    case Duty::kControl:
      return "control";
    case Duty::kStore:
      return "store";
    default:
      return "front";
  }
}

// Returns "127.A.B." where the ports of the first addresses are free, or "".
std::string FreeNetwork(int machines) {
  for (int i = 0; i < 200; ++i) {
    const int seed = static_cast<int>(::getpid()) * 7 + i * 131;
    const std::string network = "127." + std::to_string(64 + seed % 120) + "." +
                                std::to_string(1 + seed / 120 % 250) + ".";
    bool free = true;
    for (int host = 1; host <= machines && free; ++host) {
      for (const int port :
           {kPeerPort, kMetricsPort, kControlPort, kReadyPort, kFrontPort}) {
        free = free && Listener({network + std::to_string(host), port}).open();
      }
    }
    if (free) {
      return network;
    }
  }
  return "";
}

}  // namespace

LogCollector::LogCollector(const std::string& path) : out_(path) {
  if (::pipe2(ends_, O_CLOEXEC) == 0) {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  thread_ = std::thread([this] { Run(); });
}

LogCollector::~LogCollector() {
  stopping_ = true;
  thread_.join();
  ::close(ends_[0]);
  ::close(ends_[1]);
}

void LogCollector::Run() {
  constexpr milliseconds kPause{10};
  std::array<char, 65'536> buffer;
  while (!stopping_) {
    const ssize_t count =
        paused_ ? 0 : ::read(ends_[0], buffer.data(), buffer.size());
    if (count > 0) {
      out_.write(buffer.data(), count);
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const auto now =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin_);
  out_ << now.count() << " ms " << text << std::endl;
}

Fleet::Fleet(std::string program, std::string folder, const FleetShape& shape)
    : program_(std::move(program)), folder_(std::move(folder)) {
  network_ = FreeNetwork(shape.controls + shape.stores + shape.fronts);
  usable_ = !network_.empty();
  int number = 0;
  const auto add = [&](Duty duty, int count, uint64_t memory_mb) {
    for (int i = 0; i < count; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 3));
      Machine machine;
      machine.name = std::string(DutyName(duty)) + "-akmola-" + zone + "-" +
                     std::to_string(i / 3 + 1);
      machine.duty = duty;
      machine.zone = "akmola-" + zone;
      machine.ip = network_ + std::to_string(++number);
      machine.memory_mb = memory_mb;
      machines_[machine.name] = machine;
    }
  };
  add(Duty::kControl, shape.controls, shape.control_memory_mb);
  add(Duty::kStore, shape.stores, shape.store_memory_mb);
  add(Duty::kFront, shape.fronts, shape.front_memory_mb);
}

Fleet::~Fleet() {
  for (const auto& [name, machine] : machines_) {
    Kill(name);
  }
}

void Fleet::WriteSettings(const Machine& machine, bool first_start) const {
  std::ofstream out(folder_ + "/" + machine.name + ".json");
  const auto at = [&](int port) {
    return "\"" + machine.ip + ":" + std::to_string(port) + "\"";
  };
  const bool control = machine.duty == Duty::kControl;
  const bool front = machine.duty == Duty::kFront;
  out << "{\n  \"host\": \"" << machine.name << "\",\n"
      << "  \"failure_domain\": \"" << machine.zone << "\",\n"
      << "  \"duties\": [\"" << DutyName(machine.duty) << "\"],\n"
      << "  \"peer\": " << at(kPeerPort) << ",\n"
      << "  \"metrics\": " << at(kMetricsPort) << ",\n"
      << "  \"front\": " << (front ? at(kFrontPort) : "\"\"") << ",\n"
      << "  \"ready\": " << (front ? at(kReadyPort) : "\"\"") << ",\n"
      << "  \"control\": " << (control ? at(kControlPort) : "\"\"") << ",\n"
      << "  \"seeds\": [";
  bool first = true;
  for (const std::string& seed : Names(Duty::kControl)) {
    out << (first ? "" : ", ") << "\"" << Control(seed).Text() << "\"";
    first = false;
  }
  out << "],\n  \"data_folder\": \""
      << (front ? "" : folder_ + "/" + machine.name + ".data") << "\",\n"
      << "  \"tolerated_losses\": 1,\n  \"withdrawal_ms\": 5000,\n"
      << "  \"memory_limit_mb\": " << machine.memory_mb << ",\n"
      << "  \"max_descriptors\": 4200,\n  \"stop_grace_s\": 8,\n"
      << "  \"first_start\": " << (first_start ? "true" : "false") << "\n}\n";
}

void Fleet::Start(const std::string& name, bool first_start) {
  Machine& machine = machines_.at(name);
  WriteSettings(machine, first_start);
  std::filesystem::create_directories(folder_ + "/" + name + ".data");
  const std::string settings = folder_ + "/" + name + ".json";
  const std::string log = folder_ + "/" + name + ".log";
  const auto collector = collectors_.find(name);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int fd =
        collector != collectors_.end()
            ? collector->second->write_end()
            : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::setenv("SEQUOIALB_SETTINGS", settings.c_str(), 1);
    ::execl(program_.c_str(), program_.c_str(), nullptr);
    ::_exit(127);
  }
  machine.pid = pid;
}

LogCollector& Fleet::CollectLog(const std::string& name) {
  collectors_[name] =
      std::make_unique<LogCollector>(folder_ + "/" + name + ".log");
  return *collectors_[name];
}

void Fleet::StartAll() {
  for (const auto& [name, machine] : machines_) {
    Start(name, true);
  }
}

void Fleet::Signal(const std::string& name, int signal) {
  const pid_t pid = machines_.at(name).pid;
  if (pid > 0) {
    ::kill(pid, signal);
  }
}

void Fleet::Kill(const std::string& name) {
  Machine& machine = machines_.at(name);
  if (machine.pid > 0) {
    ::kill(machine.pid, SIGKILL);
    ::waitpid(machine.pid, nullptr, 0);
    machine.pid = -1;
  }
}

std::vector<std::string> Fleet::TakeEnded() {
  std::vector<std::string> ended;
  for (auto& [name, machine] : machines_) {
    if (machine.pid > 0 && ::waitpid(machine.pid, nullptr, WNOHANG) != 0) {
      machine.pid = -1;
      ended.push_back(name);
    }
  }
  return ended;
}

std::vector<std::string> Fleet::Names(Duty duty) const {
  std::vector<std::string> names;
  for (const auto& [name, machine] : machines_) {
    if (machine.duty == duty) {
      names.push_back(name);
    }
  }
  return names;
}

Address Fleet::Control(const std::string& name) const {
  return {machines_.at(name).ip, kControlPort};
}
Address Fleet::Front(const std::string& name) const {
  return {machines_.at(name).ip, kFrontPort};
}
Address Fleet::Ready(const std::string& name) const {
  return {machines_.at(name).ip, kReadyPort};
}
Address Fleet::Metrics(const std::string& name) const {
  return {machines_.at(name).ip, kMetricsPort};
}

uint64_t Fleet::StatusField(const std::string& name,
                            const std::string& field) const {
  const pid_t pid = machines_.at(name).pid;
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (pid > 0 && std::getline(in, line)) {
    if (line.rfind(field + ":", 0) == 0) {
      return std::stoull(line.substr(field.size() + 1)) / 1'024;
    }
  }
  return 0;
}

uint64_t Fleet::MemoryMb(const std::string& name) const {
  return StatusField(name, "VmRSS");
}
uint64_t Fleet::PeakMemoryMb(const std::string& name) const {
  return StatusField(name, "VmHWM");
}

bool Fleet::LeadsStores(const std::string& name) const {
  const Response metrics =
      Call(Metrics(name), "GET", "/metrics", {}, "", kCallTimeout);
  return metrics.body.find("sequoialb_group_leads{group=\"store\"} 1") !=
         std::string::npos;
}

bool Fleet::Operate(const std::string& method, const std::string& target,
                    const std::string& body, milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  const std::vector<std::string> controls = Names(Duty::kControl);
  for (size_t i = 0; Clock::now() < deadline; ++i) {
    const Response answer =
        Call(Control(controls[i % controls.size()]), method, target,
             {{"content-type", "application/json"}}, body, kCallTimeout);
    if (answer.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

bool Fleet::WaitReady(milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  for (const std::string& front : Names(Duty::kFront)) {
    while (Call(Ready(front), "GET", "/sequoialb/ready", {}, "", kCallTimeout)
               .status != 200) {
      if (Clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return true;
}

}  // namespace review
