// Waiting for the signals that ask a program to stop.
#pragma once

#include <pthread.h>

#include <csignal>

namespace sequoialb {

// Blocks SIGTERM and SIGINT from construction on, so that no thread started
// later is interrupted by them, and ignores SIGPIPE. Make it before any thread.
class StopSignals {
 public:
  StopSignals() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  // Returns when one of the signals arrives.
  void Wait() const {
    int signal = 0;
    sigwait(&signals_, &signal);
  }

 private:
  sigset_t signals_{};
};

}  // namespace sequoialb
