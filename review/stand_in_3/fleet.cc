#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace case3 {
namespace {

constexpr int kPeerPort = 7370;
constexpr int kMetricsPort = 7371;
constexpr int kControlPort = 8693;
constexpr int kReadyPort = 8697;
constexpr int kFrontPort = 8699;
constexpr const char* kProgram = "target/sequoialb-platform";

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string List(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) {
    list += (list.empty() ? "" : ", ") + Quoted(text);
  }
  return "[" + list + "]";
}

}  // namespace

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const double at =
      std::chrono::duration<double>(Clock::now() - begin_).count();
  char stamp[32];
  std::snprintf(stamp, sizeof(stamp), "%8.3f ", at);
  out_ << stamp << text << std::endl;
}

Fleet::Fleet(FleetOptions options, Record& record)
    : options_(std::move(options)), record_(record) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "case-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
  const int number = static_cast<int>(::getpid());
  network_ = "127." + std::to_string(20 + number / 200 % 200) + "." +
             std::to_string(1 + number % 200) + ".";
  const auto add = [&](int count, const char* duty, const char* prefix) {
    for (int i = 0; i < count; ++i) {
      const std::string& zone = options_.zones[i % options_.zones.size()];
      Add(prefix + std::string("-") + zone + "-" + std::to_string(i + 1), duty,
          zone);
    }
  };
  add(options_.controls, "control", "core");
  add(options_.stores, "store", "store");
  add(options_.fronts, "front", "front");
  for (const std::string& name : Names("control")) {
    if (seeds_.size() < 3) {
      seeds_.push_back(nodes_[name].ip + ":" + std::to_string(kControlPort));
    }
  }
}

Fleet::~Fleet() {
  for (auto& [name, node] : nodes_) {
    if (node.pid > 0) {
      ::kill(node.pid, SIGCONT);
      ::kill(node.pid, SIGKILL);
    }
  }
  for (auto& [name, node] : nodes_) {
    if (node.pid > 0) {
      ::waitpid(node.pid, nullptr, 0);
    }
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void Fleet::Add(const std::string& name, const std::string& duty,
                const std::string& zone) {
  nodes_[name] = {name, duty, zone, network_ + std::to_string(next_ip_++), -1};
}

std::string Fleet::Settings(const Node& node, bool bootstrap) const {
  const auto address = [&](int port) {
    return Quoted(node.ip + ":" + std::to_string(port));
  };
  const bool front = node.duty == "front";
  const bool control = node.duty == "control";
  const int memory = front     ? options_.front_memory
                     : control ? options_.control_memory
                               : options_.store_memory;
  const std::string data = front ? "" : folder_ + "/" + node.name + ".disk";
  return "{\"host\": " + Quoted(node.name) +
         ", \"failure_domain\": " + Quoted(node.zone) +
         ", \"duties\": " + List({node.duty}) +
         ", \"peer\": " + address(kPeerPort) +
         ", \"metrics\": " + address(kMetricsPort) +
         ", \"front\": " + (front ? address(kFrontPort) : "\"\"") +
         ", \"ready\": " + (front ? address(kReadyPort) : "\"\"") +
         ", \"control\": " + (control ? address(kControlPort) : "\"\"") +
         ", \"seeds\": " + List(seeds_) + ", \"data_folder\": " + Quoted(data) +
         ", \"tolerated_losses\": " +
         std::to_string(options_.tolerated_losses) +
         ", \"withdrawal_ms\": 5000, \"memory_limit_mb\": " +
         std::to_string(memory) +
         ", \"max_descriptors\": 4096, \"stop_grace_s\": 8"
         ", \"first_start\": " +
         (bootstrap ? "true" : "false") + "}\n";
}

void Fleet::Start(const std::string& name, bool bootstrap) {
  Node& node = nodes_.at(name);
  const std::string settings = folder_ + "/" + name + ".json";
  std::ofstream(settings) << Settings(node, bootstrap);
  std::filesystem::create_directories(folder_ + "/" + name + ".disk");
  const std::string log = folder_ + "/" + name + ".log";
  const std::string variable = "SEQUOIALB_SETTINGS=" + settings;
  const pid_t parent = ::getpid();
  node.pid = ::fork();
  if (node.pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      std::_Exit(1);
    }
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    const char* arguments[] = {kProgram, nullptr};
    const char* environment[] = {variable.c_str(), nullptr};
    ::execve(kProgram, const_cast<char**>(arguments),
             const_cast<char**>(environment));
    std::_Exit(127);
  }
  record_.Line("started " + name + " at " + node.ip);
}

void Fleet::StartAll() {
  for (const auto& [name, node] : nodes_) {
    Start(name, true);
  }
}

void Fleet::Signal(const std::string& name, int signal) {
  ::kill(nodes_.at(name).pid, signal);
}

void Fleet::Kill(const std::string& name) {
  Node& node = nodes_.at(name);
  ::kill(node.pid, SIGKILL);
  ::waitpid(node.pid, nullptr, 0);
  node.pid = -1;
  record_.Line("killed " + name);
}

void Fleet::WipeDisk(const std::string& name) {
  std::filesystem::remove_all(folder_ + "/" + name + ".disk");
  record_.Line("emptied the disk of " + name);
}

std::string Fleet::Ended() {
  for (auto& [name, node] : nodes_) {
    if (node.pid > 0 && ::waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
      node.pid = -1;
      return name;
    }
  }
  return "";
}

std::vector<std::string> Fleet::Names(const std::string& duty) const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    if (node.duty == duty) {
      names.push_back(name);
    }
  }
  return names;
}

Endpoint Fleet::Front(const std::string& name) const {
  return {nodes_.at(name).ip, kFrontPort};
}

Endpoint Fleet::Control(const std::string& name) const {
  return {nodes_.at(name).ip, kControlPort};
}

int Fleet::PeakMemory(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(nodes_.at(name).pid) +
                       "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      int kilobytes = 0;
      status >> kilobytes;
      return kilobytes / 1'024;
    }
  }
  return 0;
}

double Fleet::Metric(const std::string& name, const std::string& metric) const {
  const Node& node = nodes_.at(name);
  if (node.pid <= 0) {
    return -1;
  }
  const Message answer = Ask({node.ip, kMetricsPort}, "GET", "/metrics",
                             {{"Host", "metrics"}}, "", milliseconds(500));
  const size_t at = answer.body.find("\n" + metric + " ");
  return at == std::string::npos
             ? -1
             : std::atof(answer.body.c_str() + at + metric.size() + 2);
}

std::string Fleet::Leader(const std::string& group) const {
  for (const std::string& name : Names(group)) {
    if (Metric(name, "sequoialb_group_leads{group=\"" + group + "\"}") == 1) {
      return name;
    }
  }
  return "";
}

bool Fleet::PutConfig(const std::string& body, milliseconds timeout) {
  const Clock::time_point deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    for (const std::string& name : Names("control")) {
      const Message answer =
          Ask(Control(name), "PUT", "/sequoialb/config", {{"Host", "control"}},
              body, milliseconds(1'500));
      if (answer.status == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

bool Fleet::WaitReady(milliseconds timeout) {
  const Clock::time_point deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    size_t ready = 0;
    for (const std::string& name : Names("front")) {
      const Message answer =
          Ask({nodes_.at(name).ip, kReadyPort}, "GET", "/sequoialb/ready",
              {{"Host", "ready"}}, "", milliseconds(500));
      ready += answer.status == 200 ? 1 : 0;
    }
    if (ready == Names("front").size() && !Leader("store").empty()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

}  // namespace case3
