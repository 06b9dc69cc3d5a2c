#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {
namespace {

constexpr int kPeer = 0;
constexpr int kMetrics = 1;
constexpr int kControl = 2;
constexpr int kFront = 3;
constexpr int kReady = 4;
constexpr int kPorts = 5;
// The bound RevokeMs of the small deployments.
constexpr int kRevokeMs = 5'000;
constexpr int kGraceS = 8;
constexpr int64_t kCallMs = 1'000;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    std::perror(path.c_str());
    std::exit(2);
  }
}

Record::~Record() { std::fclose(file_); }

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs()) / 1'000,
               text.c_str());
  std::fflush(file_);
}

std::string StreamRoute(const std::string& name, const std::string& prefix,
                        bool resumable) {
  return R"({"Name":")" + name + R"(","Host":"desk.example","PathPrefix":")" +
         prefix +
         R"(","Kind":"stream","TimeoutMs":5000,"SloMs":300,"Priority":0,"Service":"desk","Attempts":2,"Public":false,"Sticky":true,"Resumable":)" +
         (resumable ? "true" : "false") + R"(,"GapTargetMs":400})";
}

std::string BulkRoute(const std::string& name, const std::string& prefix) {
  return R"({"Name":")" + name + R"(","Host":"desk.example","PathPrefix":")" +
         prefix +
         R"(","Kind":"bulk","TimeoutMs":15000,"SloMs":400,"Priority":2,"Service":"desk","Attempts":3,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":400,"DueMs":18000,"MaxWaitS":60,"Cap":1000000})";
}

std::string Configuration(int version, const std::vector<std::string>& routes,
                          const std::vector<Tenant>& tenants) {
  std::string text =
      R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
  for (size_t i = 0; i < routes.size(); ++i) {
    text += (i == 0 ? "" : ",") + routes[i];
  }
  text +=
      R"(],"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":230,"Protocol":"h1","Tls":false,"Engine":{"Slots":8,"KvCapacity":147261,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)";
  for (size_t i = 0; i < tenants.size(); ++i) {
    text += std::string(i == 0 ? "" : ",") + R"({"Name":")" + tenants[i].name +
            R"(","ApiKeys":[")" + tenants[i].key +
            R"("],"Priority":1,"RatePerS":)" + std::to_string(tenants[i].rate) +
            R"(,"Burst":)" + std::to_string(tenants[i].burst) + "}";
  }
  return text + "]}";
}

std::string Job(const std::string& path, const std::string& id_prefix,
                int items) {
  std::string text = R"({"Items":[)";
  for (int i = 0; i < items; ++i) {
    const std::string number = std::to_string(i);
    text +=
        std::string(i == 0 ? "" : ",") + R"({"Id":")" + id_prefix + "-" +
        number + R"(","Path":")" + path + number +
        R"(","Headers":{"Model":"m","Token-Count":"250,400","Prompt-Prefix":"9c2e41:100,5d)" +
        number + R"(:150"},"Body":"q83vEjRWeJA=","Tokens":650})";
  }
  return text + "]}";
}

Deployment::Deployment(Record& record, int controls, int stores, int fronts)
    : record_(record),
      controls_(static_cast<size_t>(controls)),
      stores_(static_cast<size_t>(stores)) {
  const auto number = static_cast<unsigned>(::getpid());
  network_ = "127." + std::to_string(20 + number / 250 % 200) + "." +
             std::to_string(1 + number % 250) + ".";
  folder_ = (std::filesystem::temp_directory_path() /
             ("review-" + std::to_string(number)))
                .string();
  std::filesystem::create_directories(folder_);
  const auto add = [&](const std::string& duty, int count) {
    for (int i = 0; i < count; ++i) {
      Host host;
      host.duty = duty;
      host.zone = std::string("z") + static_cast<char>('a' + i % 3);
      host.name = duty + "-" + host.zone + "-" + std::to_string(1 + i / 3);
      host.ip = network_ + std::to_string(10 + hosts_.size());
      host.data = folder_ + "/" + host.name + ".data";
      hosts_.push_back(std::move(host));
    }
  };
  add("control", controls);
  add("store", stores);
  add("front", fronts);
  // No other process uses these addresses, so a port that is free on the first
  // one and the ports after it are free on all of them.
  const int probe = Listen(hosts_.front().ip, port_);
  ::close(probe);
  port_ = port_ > 60'000 ? static_cast<uint16_t>(port_ - kPorts) : port_;
}

Deployment::~Deployment() {
  for (Host& host : hosts_) {
    if (host.process > 0) {
      ::kill(host.process, SIGCONT);
      ::kill(host.process, SIGKILL);
      ::waitpid(host.process, nullptr, 0);
    }
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

Endpoint Deployment::At(const Host& host, int offset) const {
  return {host.ip, static_cast<uint16_t>(port_ + offset)};
}

std::string Deployment::WriteSettings(const Host& host,
                                      bool first_start) const {
  const bool control = host.duty == "control";
  const bool front = host.duty == "front";
  std::string seeds;
  for (const Endpoint& seed : ControlEndpoints()) {
    seeds += (seeds.empty() ? "" : ",") + Quoted(seed.ToString());
  }
  std::string path = folder_ + "/" + host.name + ".json";
  std::ofstream out(path);
  out << "{\"host\": " << Quoted(host.name)
      << ", \"failure_domain\": " << Quoted(host.zone) << ", \"duties\": ["
      << Quoted(host.duty)
      << "], \"peer\": " << Quoted(At(host, kPeer).ToString())
      << ", \"metrics\": " << Quoted(At(host, kMetrics).ToString())
      << ", \"front\": " << Quoted(front ? At(host, kFront).ToString() : "")
      << ", \"ready\": " << Quoted(front ? At(host, kReady).ToString() : "")
      << ", \"control\": "
      << Quoted(control ? At(host, kControl).ToString() : "")
      << ", \"seeds\": [" << seeds
      << "], \"data_folder\": " << Quoted(front ? "" : host.data)
      << ", \"tolerated_losses\": 1, \"withdrawal_ms\": " << kRevokeMs
      << ", \"stop_grace_s\": " << kGraceS
      << ", \"first_start\": " << (first_start ? "true" : "false") << "}\n";
  return path;
}

void Deployment::Start(size_t number, bool first_start) {
  Host& host = hosts_[number];
  const std::string settings = WriteSettings(host, first_start);
  const std::string log = folder_ + "/" + host.name + ".log";
  if (!host.data.empty() && host.duty != "front") {
    std::filesystem::create_directories(host.data);
  }
  host.process = ::fork();
  if (host.process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("SEQUOIALB_SETTINGS", settings.c_str(), 1);
    ::execl("target/sequoialb-platform", "target/sequoialb-platform",
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  record_.Line("start " + host.name + " at " + host.ip);
}

void Deployment::StartAll() {
  for (size_t host = 0; host < hosts_.size(); ++host) {
    Start(host, true);
  }
}

void Deployment::Signal(size_t number, int signal) {
  Host& host = hosts_[number];
  record_.Line("signal " + std::to_string(signal) + " to " + host.name);
  ::kill(host.process, signal);
  if (signal == SIGKILL) {
    ::waitpid(host.process, nullptr, 0);
    host.process = 0;
  }
}

bool Deployment::WaitForEnd(size_t number, int64_t timeout_ms) {
  Host& host = hosts_[number];
  const int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    if (::waitpid(host.process, nullptr, WNOHANG) == host.process) {
      host.process = 0;
      return true;
    }
    SleepMs(5);
  }
  return false;
}

std::vector<Endpoint> Deployment::ControlEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (size_t i = 0; i < controls_; ++i) {
    endpoints.push_back(At(hosts_[i], kControl));
  }
  return endpoints;
}

Endpoint Deployment::FrontEndpoint(size_t i) const {
  return At(hosts_[front(i)], kFront);
}

bool Deployment::PutConfiguration(const std::string& content,
                                  int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  const std::vector<Endpoint> endpoints = ControlEndpoints();
  for (size_t i = 0; NowMs() < deadline; ++i) {
    const int status =
        Call(endpoints[i % endpoints.size()], "PUT", "/sequoialb/config",
             {{"Content-Type", "application/json"}}, content, kCallMs)
            .status;
    if (status == 200) {
      record_.Line("configuration acknowledged: " + content.substr(0, 14));
      return true;
    }
    SleepMs(100);
  }
  return false;
}

bool Deployment::WaitUntilServing(int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  for (size_t host = front(0); host < hosts_.size(); ++host) {
    while (Call(At(hosts_[host], kReady), "GET", "/sequoialb/ready", {}, "",
                kCallMs)
               .status != 200) {
      if (NowMs() > deadline) {
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

int Deployment::LeaderOf(const std::string& group) const {
  const std::string wanted = "sequoialb_group_leads{group=\"" + group + "\"} 1";
  for (size_t host = 0; host < hosts_.size(); ++host) {
    if (hosts_[host].process > 0 && hosts_[host].duty == group &&
        Call(At(hosts_[host], kMetrics), "GET", "/metrics", {}, "", kCallMs)
                .body.find(wanted) != std::string::npos) {
      return static_cast<int>(host);
    }
  }
  return -1;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
