// An event loop that runs on one thread and dispatches socket readiness,
// timers, and tasks posted by other threads.
//
// A thread for each connection would cost a stack per connection and a context
// switch per event, which a host with a quarter of a core and hundreds of open
// streams cannot afford. All methods but Post and Stop may be called only on
// the thread that runs the loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/task_queue.h"
#include "base/time.h"

namespace sequoialb {

// Receives the readiness events of one socket.
class IoHandler {
 public:
  virtual ~IoHandler() = default;
  virtual void OnReady(bool readable, bool writable, bool failed) = 0;
};

using TimerId = uint64_t;

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Watch(int fd, IoHandler* handler, bool read, bool write);
  void SetInterest(int fd, bool read, bool write);
  void Unwatch(int fd);

  // Runs `task` once, at or after `when`. A cancelled timer never runs.
  TimerId RunAt(TimePoint when, std::function<void()> task);
  void Cancel(TimerId timer);

  // Releases `object` at the end of this iteration, when no handler can still
  // be using it.
  void ReleaseAfterIteration(std::shared_ptr<void> object);

  // Runs `task` on the loop's thread. May be called from any thread.
  void Post(std::function<void()> task);
  void Stop();

  // Runs until Stop.
  void Run();

  // The time at which this iteration began.
  TimePoint now() const { return now_; }

 private:
  struct Watched {
    IoHandler* handler = nullptr;
    uint32_t generation = 0;
  };

  int WaitMs() const;
  void RunTimers();

  int epoll_fd_ = -1;
  TimePoint now_;
  uint32_t next_generation_ = 1;
  std::vector<Watched> watched_;
  TimerId next_timer_ = 1;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers_;
  std::unordered_map<TimerId, TimePoint> timer_times_;
  std::vector<std::shared_ptr<void>> deferred_releases_;
  TaskQueue posted_;
  bool stopping_ = false;
};

}  // namespace sequoialb
