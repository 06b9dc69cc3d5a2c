// Waits for the signals that make a program stop or reload its settings.
#pragma once

#include <pthread.h>

#include <csignal>

namespace sequoialb {

// Blocks SIGTERM and SIGINT from its construction on, so that they interrupt no
// thread that is started later, and ignores SIGPIPE. Construct it before
// starting any thread.
class StopSignals {
 public:
  enum Reload { kWithoutReload, kWithReload };

  // With kWithReload, SIGHUP is blocked and waited for as well.
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

  // Waits until one of the signals to stop arrives.
  void Wait() const {
    while (WaitForReload()) {
    }
  }

  // Waits for a signal. Returns true for SIGHUP, false for a signal to stop.
  bool WaitForReload() const {
    int signal = 0;
    sigwait(&signals_, &signal);
    return signal == SIGHUP;
  }

 private:
  sigset_t signals_{};
};

}  // namespace sequoialb
