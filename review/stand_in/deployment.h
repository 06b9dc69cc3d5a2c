// Starts the programs of the deploy file as separate processes on loopback
// addresses, with settings of the form that the template defines, and ends
// them.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

// Writes the record of a case, with the time of each line.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  FILE* file_;
};

struct Tenant {
  std::string name;
  std::string key;
  double rate = 0;
  double burst = 0;
};

// Returns a route of the service "desk" as the operator writes it.
std::string StreamRoute(const std::string& name, const std::string& prefix,
                        bool resumable);
std::string BulkRoute(const std::string& name, const std::string& prefix);
// Returns a configuration. All routes belong to the host desk.example.
std::string Configuration(int version, const std::vector<std::string>& routes,
                          const std::vector<Tenant>& tenants);
// Returns a batch job of `items` items with the ids PREFIX-0, PREFIX-1, ...
std::string Job(const std::string& path, const std::string& id_prefix,
                int items);

class Deployment {
 public:
  Deployment(Record& record, int controls, int stores, int fronts);
  // Kills all processes and removes the temporary folder.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all processes. Hosts are numbered: control hosts, store hosts,
  // fronts.
  void StartAll();
  void Start(size_t host, bool first_start);
  // Sends a signal; SIGKILL also waits for the end.
  void Signal(size_t host, int signal);
  // Returns true once the process has ended, at the latest at the deadline.
  bool WaitForEnd(size_t host, int64_t timeout_ms);

  size_t controls() const { return controls_; }
  size_t store(size_t i) const { return controls_ + i; }
  size_t front(size_t i) const { return controls_ + stores_ + i; }
  const std::string& name(size_t host) const { return hosts_[host].name; }
  const std::string& zone(size_t host) const { return hosts_[host].zone; }
  const std::string& network() const { return network_; }

  std::vector<Endpoint> ControlEndpoints() const;
  Endpoint FrontEndpoint(size_t i) const;

  // Sends a configuration to the control hosts in turn until one acknowledges
  // it or the time has passed.
  bool PutConfiguration(const std::string& content, int64_t timeout_ms);
  // Waits until all fronts answer that they are ready.
  bool WaitUntilServing(int64_t timeout_ms);
  // Returns the host whose metrics say that it leads a group, or -1.
  int LeaderOf(const std::string& group) const;

 private:
  struct Host {
    std::string name;
    std::string zone;
    std::string duty;
    std::string ip;
    std::string data;
    pid_t process = 0;
  };
  std::string WriteSettings(const Host& host, bool first_start) const;
  Endpoint At(const Host& host, int offset) const;

  Record& record_;
  size_t controls_;
  size_t stores_;
  std::vector<Host> hosts_;
  std::string folder_;
  // Three numbers of the loopback network and a dot.
  std::string network_;
  uint16_t port_ = 0;
};

// Returns whether the disruption of the case is played.
bool WithTrouble();

}  // namespace review
