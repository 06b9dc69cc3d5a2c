// The processes of a small deployment, started with the command of the deploy
// file and settings that the platform's template gives, and the platform's side
// of it: the operator, the memory limit of the machines and restarts.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

// The lines of record.txt, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point begin_ = Clock::now();
};

// The platform's collector of what one process writes to its standard output,
// through a pipe of the system's usual size.
class LogCollector {
 public:
  explicit LogCollector(const std::string& path);
  ~LogCollector();
  LogCollector(const LogCollector&) = delete;
  LogCollector& operator=(const LogCollector&) = delete;

  int write_end() const { return ends_[1]; }
  void Pause(bool paused) { paused_ = paused; }

 private:
  void Run();

  int ends_[2] = {-1, -1};
  std::ofstream out_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> paused_ = false;
  std::thread thread_;
};

enum class Duty { kControl, kStore, kFront };

struct Machine {
  std::string name;
  Duty duty = Duty::kFront;
  std::string zone;
  std::string ip;
  uint64_t memory_mb = 0;
  pid_t pid = -1;
};

struct FleetShape {
  int controls = 3;
  int stores = 3;
  int fronts = 2;
  uint64_t control_memory_mb = 256;
  uint64_t store_memory_mb = 130;
  uint64_t front_memory_mb = 220;
};

class Fleet {
 public:
  // `program` is the built program; `folder` is for settings, disks and logs.
  Fleet(std::string program, std::string folder, const FleetShape& shape);
  // Ends all processes.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Returns false when no free network of loopback addresses is found.
  bool usable() const { return usable_; }
  // Collects the log of a machine through a pipe; call before the start.
  LogCollector& CollectLog(const std::string& name);
  void StartAll();
  void Start(const std::string& name, bool first_start);
  void Signal(const std::string& name, int signal);
  // Sends SIGKILL and waits for the end.
  void Kill(const std::string& name);
  // Returns the names of the machines whose processes have ended on their own.
  std::vector<std::string> TakeEnded();

  std::vector<std::string> Names(Duty duty) const;
  const Machine& At(const std::string& name) const {
    return machines_.at(name);
  }
  Address Control(const std::string& name) const;
  Address Front(const std::string& name) const;
  Address Ready(const std::string& name) const;
  Address Metrics(const std::string& name) const;
  // An address of the network that no machine uses.
  std::string EngineIp() const { return network_ + "200"; }

  // Resident memory in MB, now and at its peak, or 0 for an ended process.
  uint64_t MemoryMb(const std::string& name) const;
  uint64_t PeakMemoryMb(const std::string& name) const;
  // Whether the process says in its metrics that it leads the store group.
  bool LeadsStores(const std::string& name) const;

  // Sends an operator's call to the control machines in turn until one answers
  // with 200.
  bool Operate(const std::string& method, const std::string& target,
               const std::string& body, milliseconds timeout);
  // Waits until all fronts are ready.
  bool WaitReady(milliseconds timeout);

 private:
  uint64_t StatusField(const std::string& name, const std::string& field) const;
  void WriteSettings(const Machine& machine, bool first_start) const;

  std::string program_;
  std::string folder_;
  std::string network_;
  bool usable_ = false;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::unique_ptr<LogCollector>> collectors_;
};

}  // namespace review
