// A thread that runs tasks one after the other, in the order they were added.
// The control thread uses it for blocking disk operations.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace sequoialb {

class TaskThread {
 public:
  TaskThread() : thread_([this] { Run(); }) {}
  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  // Runs all tasks that were added, then joins the thread.
  ~TaskThread() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  void Add(std::function<void()> task) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      tasks_.push_back(std::move(task));
    }
    changed_.notify_one();
  }

 private:
  void Run() {
    while (true) {
      std::function<void()> task;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        if (tasks_.empty()) {
          return;
        }
        task = std::move(tasks_.front());
        tasks_.pop_front();
      }
      task();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  // Declared last, so that all other members are initialized when the thread
  // starts.
  std::thread thread_;
};

}  // namespace sequoialb
