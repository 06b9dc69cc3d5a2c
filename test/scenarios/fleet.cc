#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "base/hash.h"

namespace sequoialb::scenario {
namespace {

// Creates a self-signed certificate with the openssl program.
void MakeCertificate(const std::string& certificate,
                     const std::string& private_key) {
  const std::string command =
      "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=test"
      " -keyout " +
      private_key + " -out " + certificate + " >/dev/null 2>&1";
  if (std::system(command.c_str()) != 0) {
    throw std::runtime_error("openssl could not make a certificate");
  }
}

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

}  // namespace

int FreePort(const std::string& ip) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  const bool bound =
      ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) ==
          0;
  ::close(descriptor);
  if (!bound) {
    throw std::runtime_error("no free port on " + ip);
  }
  return ntohs(address.sin_port);
}

Fleet::Fleet(std::string programs, std::string folder)
    : programs_(std::move(programs)), folder_(std::move(folder)) {
  // No other process uses these addresses, so a port picked here stays free.
  const pid_t pid = ::getpid();
  network_ = "127." + std::to_string(16 + pid % 200) + "." +
             std::to_string((pid / 200) % 250) + ".";
  std::filesystem::create_directories(folder_);
}

Fleet::~Fleet() { KillAll(); }

void Fleet::KillAll() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      ::kill(process.pid, SIGKILL);
      ::kill(process.pid, SIGCONT);
      ::waitpid(process.pid, nullptr, 0);
      process.pid = 0;
    }
  }
}

void Fleet::MakeHosts(int hosts, int domains, int replicas,
                      const std::string& extra_settings, bool curve, bool tls) {
  const std::string certificate = folder_ + "/tls.crt";
  const std::string private_key = folder_ + "/tls.key";
  if (tls) {
    MakeCertificate(certificate, private_key);
  }
  std::string list;
  std::map<std::string, std::string> secrets;
  for (int i = 1; i <= hosts; ++i) {
    const std::string name = "h" + std::to_string(i);
    const std::string ip = network_ + std::to_string(next_ip_++);
    Process& host = processes_[name];
    host.name = name;
    host.domain = "d" + std::to_string((i - 1) % domains + 1);
    host.http = ip + ":" + std::to_string(FreePort(ip));
    host.is_host = true;
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    if (curve) {
      zmq_curve_keypair(public_key.data(), secret_key.data());
      secrets[name] = folder_ + "/" + name + ".curve";
      std::ofstream(secrets[name]) << secret_key.data() << "\n";
    }
    list +=
        std::string(i > 1 ? ",\n" : "") + "    {\"host\": " + Quoted(name) +
        ", \"failure_domain\": " + Quoted(host.domain) +
        ", \"peer\": " + Quoted(ip + ":" + std::to_string(FreePort(ip))) +
        ", \"http\": " + Quoted(host.http) +
        (i <= replicas ? ", \"replica\": true" : "") +
        (curve ? ", \"curve_public_key\": " + Quoted(public_key.data()) : "") +
        "}";
  }
  for (auto& [name, host] : processes_) {
    const std::string settings = folder_ + "/" + name + ".json";
    std::ofstream(settings)
        << "// Settings of one host of a scenario.\n{\n  \"host\": "
        << Quoted(name) << ",\n  \"failure_domain\": " << Quoted(host.domain)
        << ",\n  \"data_folder\": " << Quoted(folder_ + "/" + name + ".data")
        << ",\n  \"http\": " << Quoted(host.http)
        << ",\n  \"operator_token_sha256\": " << Quoted(Sha256Hex(token_))
        << ",\n  \"test_hooks\": true,\n"
        << (curve ? "  \"curve_secret_key_file\": " + Quoted(secrets[name]) +
                        ",\n"
                  : "")
        << (tls ? "  \"tls\": {\"certificate\": " + Quoted(certificate) +
                      ", \"private_key\": " + Quoted(private_key) + "},\n"
                : "")
        << extra_settings << "  \"hosts\": [\n"
        << list << "\n  ]\n}\n";
    if (tls) {
      host.http = "https://" + host.http;
    }
    host.command = {programs_ + "/sequoialbd", "--settings=" + settings};
    host.log = folder_ + "/" + name + ".log";
  }
}

std::string Fleet::DomainHosts(const std::string& domain) const {
  std::string list;
  for (const auto& [name, process] : processes_) {
    if (process.is_host && process.domain == domain) {
      list += (list.empty() ? "" : ",") + process.http;
    }
  }
  return list;
}

void Fleet::AddEngine(const std::string& name, const std::string& domain,
                      const std::string& service, const std::string& models,
                      const std::vector<std::string>& options) {
  const std::string ip = network_ + std::to_string(next_ip_++);
  Process& engine = processes_[name];
  engine.name = name;
  engine.domain = domain;
  engine.http = ip + ":" + std::to_string(FreePort(ip));
  engine.log = folder_ + "/" + name + ".log";
  engine.command = {programs_ + "/sequoialb-emulator",
                    "engine",
                    "--id=" + name,
                    "--listen=" + engine.http,
                    "--hosts=" + DomainHosts(domain),
                    "--service=" + service,
                    "--domain=" + domain,
                    "--models=" + models};
  engine.command.insert(engine.command.end(), options.begin(), options.end());
}

void Fleet::AddService(const std::string& name, const std::string& domain,
                       const std::string& service) {
  AddEngine(name, domain, service, "", {});
  Process& process = processes_[name];
  process.command[1] = "service";
  process.command.pop_back();
}

Process& Fleet::At(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) {
    throw std::runtime_error("no process is named " + name);
  }
  return found->second;
}

void Fleet::Start(const std::string& name) {
  Process& process = At(name);
  const pid_t pid = ::fork();
  if (pid == 0) {
    const int log =
        ::open(process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& argument : process.command) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    std::_Exit(127);
  }
  process.pid = pid;
}

void Fleet::Kill(const std::string& name) {
  Process& process = At(name);
  if (process.pid <= 0) {
    return;
  }
  Signal(name, SIGKILL);
  ::waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

std::optional<int> Fleet::PollExitCode(const std::string& name) {
  Process& process = At(name);
  int status = 0;
  if (process.pid <= 0 || ::waitpid(process.pid, &status, WNOHANG) <= 0) {
    return std::nullopt;
  }
  process.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void Fleet::AddProcess(const std::string& name,
                       std::vector<std::string> command) {
  Process& process = processes_[name];
  process.name = name;
  process.command = std::move(command);
  process.log = folder_ + "/" + name + ".log";
}

void Fleet::AddTool(const std::string& name, const std::string& program,
                    const std::vector<std::string>& options) {
  Process& tool = processes_[name];
  tool.name = name;
  tool.log = folder_ + "/" + name + ".log";
  tool.command = {programs_ + "/" + program};
  tool.command.insert(tool.command.end(), options.begin(), options.end());
}

int Fleet::Wait(const std::string& name) {
  Process& process = At(name);
  int status = 0;
  ::waitpid(process.pid, &status, 0);
  process.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

int Fleet::Stop(const std::string& name) {
  Signal(name, SIGTERM);
  return Wait(name);
}

void Fleet::Freeze(const std::string& name) { Signal(name, SIGSTOP); }
void Fleet::Thaw(const std::string& name) { Signal(name, SIGCONT); }

// kill(0, ...) would signal the runner's own process group.
void Fleet::Signal(const std::string& name, int signal) {
  const pid_t pid = At(name).pid;
  if (pid > 0) {
    ::kill(pid, signal);
  }
}

void Fleet::Wipe(const std::string& name) {
  std::filesystem::remove_all(folder_ + "/" + name + ".data");
}

std::vector<std::string> Fleet::Hosts(bool running_only) const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (process.is_host && (!running_only || process.pid > 0)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> Fleet::BackendServers() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (!process.is_host && !process.http.empty() && process.pid > 0) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace sequoialb::scenario
