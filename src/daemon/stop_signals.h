// Waiting for the signals that ask a program to stop or to read its settings
// again.
#pragma once

#include <pthread.h>

#include <csignal>

namespace sequoialb {

// Blocks SIGTERM and SIGINT from construction on, so that no thread started
// later is interrupted by them, and ignores SIGPIPE. Make it before any thread.
class StopSignals {
 public:
  enum Reload { kWithoutReload, kWithReload };

  // With reload SIGHUP is waited for as well.
  explicit StopSignals(Reload reload = kWithoutReload) {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    if (reload == kWithReload) {
      sigaddset(&signals_, SIGHUP);
    }
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  // Returns when one of the signals to stop arrives.
  void Wait() const {
    while (WaitForReload()) {
    }
  }

  // Returns true for SIGHUP, false for a signal to stop.
  bool WaitForReload() const {
    int signal = 0;
    sigwait(&signals_, &signal);
    return signal == SIGHUP;
  }

 private:
  sigset_t signals_{};
};

}  // namespace sequoialb
