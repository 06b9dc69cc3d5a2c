#include "http/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "base/check.h"

namespace sequoialb {
namespace {

constexpr int kMaxEventsPerIteration = 256;
// The loop wakes at least this often, even without timers.
constexpr int kMaxWaitMs = 1'000;
constexpr uint64_t kWakeToken = ~0ULL;

uint32_t EventMask(bool read, bool write) {
  return (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U);
}

}  // namespace

EventLoop::EventLoop()
    : epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)), now_(Clock::now()) {
  SEQ_CHECK(epoll_fd_ >= 0 && posted_.fd() >= 0,
            "cannot create the epoll or the wake-up descriptor");
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeToken;
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, posted_.fd(), &event);
}

EventLoop::~EventLoop() { ::close(epoll_fd_); }

void EventLoop::Watch(int fd, IoHandler* handler, bool read, bool write) {
  const auto index = static_cast<size_t>(fd);
  if (index >= watched_.size()) {
    watched_.resize(index + 1);
  }
  watched_[index] = {handler, next_generation_++};
  epoll_event event{};
  event.events = EventMask(read, write);
  event.data.u64 = (static_cast<uint64_t>(watched_[index].generation) << 32U) |
                   static_cast<uint32_t>(fd);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::SetInterest(int fd, bool read, bool write) {
  const Watched& watched = watched_[static_cast<size_t>(fd)];
  epoll_event event{};
  event.events = EventMask(read, write);
  event.data.u64 = (static_cast<uint64_t>(watched.generation) << 32U) |
                   static_cast<uint32_t>(fd);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::Unwatch(int fd) {
  watched_[static_cast<size_t>(fd)] = {};
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

TimerId EventLoop::RunAt(TimePoint when, std::function<void()> task) {
  const TimerId id = next_timer_++;
  timers_.emplace(std::make_pair(when, id), std::move(task));
  timer_times_.emplace(id, when);
  return id;
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = timer_times_.find(timer);
  if (found == timer_times_.end()) {
    return;
  }
  timers_.erase({found->second, timer});
  timer_times_.erase(found);
}

void EventLoop::ReleaseAfterIteration(std::shared_ptr<void> object) {
  deferred_releases_.push_back(std::move(object));
}

void EventLoop::Post(std::function<void()> task) {
  posted_.Add(std::move(task));
}

void EventLoop::Stop() {
  Post([this] { stopping_ = true; });
}

int EventLoop::WaitMs() const {
  if (timers_.empty()) {
    return kMaxWaitMs;
  }
  // Rounded up: a remainder below one millisecond would otherwise become a wait
  // of zero and make the loop spin.
  const TimePoint first = timers_.begin()->first.first;
  const TimePoint now = Clock::now();
  if (first <= now) {
    return 0;
  }
  return static_cast<int>(
      std::min<int64_t>(RemainingMs(first, now) + 1, kMaxWaitMs));
}

void EventLoop::RunTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    const auto first = timers_.begin();
    const std::function<void()> task = std::move(first->second);
    timer_times_.erase(first->first.second);
    timers_.erase(first);
    task();
  }
}

void EventLoop::Run() {
  std::array<epoll_event, kMaxEventsPerIteration> events{};
  while (!stopping_) {
    const int count = ::epoll_wait(epoll_fd_, events.data(),
                                   kMaxEventsPerIteration, WaitMs());
    now_ = Clock::now();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.u64 == kWakeToken) {
        posted_.RunAll();
        continue;
      }
      const auto fd = static_cast<size_t>(event.data.u64 & 0xffffffffU);
      const auto generation = static_cast<uint32_t>(event.data.u64 >> 32U);
      if (fd >= watched_.size() || watched_[fd].handler == nullptr ||
          watched_[fd].generation != generation) {
        // Since epoll reported this event, an earlier handler has unwatched the
        // descriptor, and its number may have been reused.
        continue;
      }
      watched_[fd].handler->OnReady(
          (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0,
          (event.events & (EPOLLERR | EPOLLHUP)) != 0);
    }
    RunTimers();
    deferred_releases_.clear();
  }
}

}  // namespace sequoialb
