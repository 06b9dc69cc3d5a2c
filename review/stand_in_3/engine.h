// A sound model engine: announces itself to the control machines, answers
// requests for tokens as event streams, resumes at Last-Event-Id, and rejects
// what it has no slot for as not run.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "wire.h"

namespace case3 {

struct EngineOptions {
  std::string id;
  std::string service = "cart-desk";
  std::string zone = "a";
  int slots = 8;
  int events = 20;
  milliseconds pause{20};
  // Bytes of the data of an event, at least.
  size_t event_bytes = 0;
  // Prompt tokens that are read in a millisecond; 0 means without delay.
  double prompt_tokens_per_ms = 0;
  // The control machines in the order in which they are called, the next one
  // when one does not answer; all of them if empty.
  std::vector<std::string> beat_at;
};

class Engine {
 public:
  Engine(EngineOptions options, Fleet& fleet, Record& record);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Deregisters at a control machine, and ends the heartbeats. Returns the
  // status of the answer. The engine goes on serving.
  int Leave(const std::string& control);

  // How often requests with an id have begun to run.
  std::map<std::string, int> Runs();
  // The work on one request.
  struct Span {
    std::string id;
    Clock::time_point begin;
    Clock::time_point end;
    bool complete = false;
  };
  // What the engine has worked on and ended.
  std::vector<Span> Spans();

  // The times at which requests have begun to run, with their ids.
  std::multimap<Clock::time_point, std::string> RunTimes();

 private:
  void Serve(int fd);
  bool Answer(int fd, const Message& request);
  // Works on a request; returns whether its stream has been sent whole.
  bool Work(int fd, const Message& request);
  void Announce();

  EngineOptions options_;
  Fleet& fleet_;
  Record& record_;
  const int64_t born_;
  std::atomic<int> active_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> left_ = false;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::multimap<Clock::time_point, std::string> by_time_;
  std::vector<Span> spans_;
  Server server_;
  std::thread announcer_;
};

// Returns the text of a complete item of an engine with these options.
std::string WholeOutput(const EngineOptions& options);

}  // namespace case3
