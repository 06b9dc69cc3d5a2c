// A queue of tasks that other threads pass to a thread that polls file
// descriptors.
//
// The queue's descriptor becomes readable when a task is added. The owner
// thread polls it together with its sockets and then calls RunAll.
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace sequoialb {

class TaskQueue {
 public:
  TaskQueue() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~TaskQueue() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  int fd() const { return fd_; }

  // Adds a task and wakes the owner thread. May be called from any thread.
  void Add(std::function<void()> task) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      tasks_.push_back(std::move(task));
    }
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(fd_, &one, sizeof(one));
  }

  // Runs the queued tasks in the order they were added. Owner thread only.
  void RunAll() {
    uint64_t ignored = 0;
    [[maybe_unused]] const ssize_t read =
        ::read(fd_, &ignored, sizeof(ignored));
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      tasks.swap(tasks_);
    }
    for (const std::function<void()>& task : tasks) {
      task();
    }
  }

 private:
  int fd_;
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
};

}  // namespace sequoialb
