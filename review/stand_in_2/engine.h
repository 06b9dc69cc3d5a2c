// A sound model engine of the platform: announces itself, runs batch items and
// other requests for tokens as event streams, up to its slots at once, and
// rejects what it has no slot for as not run.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "net.h"

namespace review {

struct EngineOptions {
  std::string id;
  std::string service = "model-lm";
  std::string zone = "akmola-a";
  int slots = 8;
  int events = 10;
  milliseconds event_interval{20};
  // Bytes of an event's data beside its name.
  size_t event_bytes = 0;
};

class Engine {
 public:
  Engine(EngineOptions options, const std::string& ip, Record& record);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Sends a heartbeat to one of the control machines; call about once a second.
  void Announce(Fleet& fleet);

  // How often each request has begun to run, by its id.
  std::map<std::string, int> Runs();
  size_t active() const { return active_; }

 private:
  void Accept();
  void Serve(int fd);
  bool Stream(const Socket& socket, const Request& request);

  EngineOptions options_;
  Listener listener_;
  Address address_;
  Record& record_;
  int64_t born_;
  int sequence_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<size_t> active_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace review
