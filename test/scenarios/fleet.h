// Starts and stops the processes of one scenario: hosts and stand-in backend
// servers, each on its own loopback address with a port that the kernel picks.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoialb::scenario {

// Returns a free port on an address, picked by the kernel.
int FreePort(const std::string& ip);

struct Process {
  std::string name;
  std::vector<std::string> command;
  std::string log;
  std::string http;
  std::string domain;
  bool is_host = false;
  pid_t pid = 0;
};

class Fleet {
 public:
  // `programs` is the folder with the built programs. `folder` is created for
  // settings, data and logs.
  Fleet(std::string programs, std::string folder);
  ~Fleet();

  // Writes the settings of hosts h1, h2, ..., spread over failure domains d1,
  // d2, ...
  void MakeHosts(int hosts, int domains, int replicas,
                 const std::string& extra_settings, bool curve, bool tls);
  void AddEngine(const std::string& name, const std::string& domain,
                 const std::string& service, const std::string& models,
                 const std::vector<std::string>& options);
  void AddService(const std::string& name, const std::string& domain,
                  const std::string& service);

  // Adds a process with its complete command line. Its data folder is
  // `name`.data.
  void AddProcess(const std::string& name, std::vector<std::string> command);

  // Adds a program that runs to its end.
  void AddTool(const std::string& name, const std::string& program,
               const std::vector<std::string>& options);

  void Start(const std::string& name);
  // Waits until a tool exits and returns its exit code.
  int Wait(const std::string& name);
  void Kill(const std::string& name);
  // Returns the exit code of a started process that has ended without Kill or
  // Stop.
  std::optional<int> PollExitCode(const std::string& name);
  // Sends SIGTERM and returns the exit code.
  int Stop(const std::string& name);
  // Suspends a process (SIGSTOP) and resumes it (SIGCONT).
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void KillAll();
  // Removes a stopped host's data folder.
  void Wipe(const std::string& name);

  Process& At(const std::string& name);
  std::vector<std::string> Hosts(bool running_only = true) const;
  std::vector<std::string> BackendServers() const;
  const std::string& folder() const { return folder_; }
  const std::string& programs() const { return programs_; }
  // The prefix of this fleet's loopback addresses: three numbers and a dot.
  const std::string& network() const { return network_; }
  const std::string& token() const { return token_; }

 private:
  void Signal(const std::string& name, int signal);
  std::string DomainHosts(const std::string& domain) const;

  std::string programs_;
  std::string folder_;
  std::string network_;
  std::string token_ = "scenario-operator";
  int next_ip_ = 1;
  std::map<std::string, Process> processes_;
};

}  // namespace sequoialb::scenario
