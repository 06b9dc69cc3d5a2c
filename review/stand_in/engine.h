// A stand-in model engine: serves streams of numbered events, announces itself
// to the control hosts, and remembers which requests it has run.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "http.h"

namespace review {

struct Run {
  std::string engine;
  std::string request;
  std::string tenant;
  std::string target;
  int64_t at_ms = 0;
};

struct EngineOptions {
  std::string id;
  std::string service = "desk";
  std::string zone;
  std::string ip = "127.0.0.1";
  int slots = 8;
  int events = 20;
  int64_t event_gap_ms = 10;
  // The time before the first event.
  int64_t first_event_ms = 10;
  int64_t beat_ms = 1'200;
};

class Engine {
 public:
  // `controls` are the addresses that take announcements. `first_control` is
  // the one that gets the first announcement; later ones stay there until it
  // fails.
  Engine(EngineOptions options, std::vector<Endpoint> controls,
         size_t first_control);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Changes the time between the events of requests that begin from now on.
  void SetEventGap(int64_t ms) { event_gap_ms_ = ms; }

  // Ends at once, as a process does that crashes: all connections are closed
  // and nothing is announced any more. The object only keeps what it has run.
  void Crash();
  // Stops the announcements. Requests are still served.
  void StopAnnouncing();
  // Tells one control host that the engine is gone; returns the status.
  int Deregister(size_t control);
  // The control host that acknowledged the last announcement.
  size_t last_control() const { return control_; }
  const std::string& id() const { return options_.id; }

  std::vector<Run> Runs();

 private:
  void Accept();
  void Serve(int fd);
  bool Answer(Connection& connection, const Request& request);
  bool Stream(Connection& connection, const Request& request);
  void Announce();

  const EngineOptions options_;
  const std::vector<Endpoint> controls_;
  std::atomic<size_t> control_;
  std::atomic<int64_t> event_gap_ms_;
  uint16_t port_ = 0;
  std::atomic<int> listener_{-1};
  const int64_t born_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> announcing_{true};
  std::atomic<int> running_{0};
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
  std::thread announcer_;
};

// Writes all that the engines have run to the record.
void WriteRuns(Record& record,
               const std::vector<std::unique_ptr<Engine>>& engines);

}  // namespace review
