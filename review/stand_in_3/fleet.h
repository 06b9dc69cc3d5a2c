// The processes of a small deployment, started as the deploy file says, with
// the settings that its template gives, each on a loopback address of its own.
#pragma once

#include <sys/types.h>

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "wire.h"

namespace case3 {

// Lines of record.txt, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point begin_ = Clock::now();
};

struct Node {
  std::string name;
  // "front", "control" or "store".
  std::string duty;
  std::string zone;
  std::string ip;
  pid_t pid = -1;
};

struct FleetOptions {
  // Machines of each duty, one a zone in turn.
  int controls = 3;
  int stores = 3;
  int fronts = 3;
  std::vector<std::string> zones = {"a", "b", "c"};
  int tolerated_losses = 1;
  // Memory of the machines in MB, of the sheet of bpcg-serve.
  int control_memory = 256;
  int store_memory = 300;
  int front_memory = 260;
};

class Fleet {
 public:
  Fleet(FleetOptions options, Record& record);
  // Ends all processes and removes their files, unless KEEP is set.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void StartAll();
  // Adds a machine at an address of its own.
  void Add(const std::string& name, const std::string& duty,
           const std::string& zone);
  void Start(const std::string& name, bool bootstrap);
  void Signal(const std::string& name, int signal);
  // Ends the process with SIGKILL.
  void Kill(const std::string& name);
  // Empties the disk of a machine whose process has ended.
  void WipeDisk(const std::string& name);
  // Whether a process that is meant to run has ended.
  std::string Ended();

  std::vector<std::string> Names(const std::string& duty) const;
  const std::vector<std::string>& zones() const { return options_.zones; }
  Endpoint Front(const std::string& name) const;
  Endpoint Control(const std::string& name) const;
  // Returns the most memory that a process has held, in MB, or 0.
  int PeakMemory(const std::string& name) const;
  // Returns the value of a metric of a machine, or -1.
  double Metric(const std::string& name, const std::string& metric) const;
  // Returns the machine that says that it leads the group "store" or "control",
  // or "".
  std::string Leader(const std::string& group) const;
  // An address for stand-ins.
  std::string StandInIp() const { return network_ + "250"; }

  // Sends the operator's call to the control machines in turn until one
  // acknowledges it.
  bool PutConfig(const std::string& body, milliseconds timeout);
  bool WaitReady(milliseconds timeout);

 private:
  std::string Settings(const Node& node, bool bootstrap) const;

  FleetOptions options_;
  Record& record_;
  std::string folder_;
  std::string network_;
  std::vector<std::string> seeds_;
  std::map<std::string, Node> nodes_;
  int next_ip_ = 1;
};

}  // namespace case3
