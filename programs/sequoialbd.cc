// One host of the system: reads its settings, serves until SIGTERM or SIGINT.
#include <docopt.h>
#include <pthread.h>

#include <csignal>
#include <iostream>

#include "daemon/daemon.h"
#include "observe/log.h"
#include "settings/settings.h"

namespace {

constexpr char kUsage[] =
    R"(Serves online and batch inference requests on one host.

Usage:
  sequoialbd --settings=FILE [--check]
  sequoialbd --version
  sequoialbd --help

Options:
  --settings=FILE  JSON with comments; see docs/SETTINGS.md.
  --check          Check the settings, then exit.
  --version        Print the version.
  --help           Print this text.

Exit codes: 0 stopped gracefully, 1 could not serve, 2 wrong settings,
70 the disk failed.
)";
constexpr char kVersion[] = "sequoialbd 0.1.0";
constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, kVersion);
  const std::string path = arguments.at("--settings").asString();
  const auto settings = sequoialb::LoadSettings(path);
  if (!settings) {
    std::cerr << "sequoialbd: " << settings.error().detail << "\n";
    return kExitSettings;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << path << ": settings of host " << settings->host
              << " are valid\n";
    return 0;
  }
  // Blocked before any thread starts, so that only sigwait below sees them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  sequoialb::StartLog(settings->host, settings->log_level);
  const auto status = sequoialb::RunDaemon(*settings, [&stop_signals] {
    int signal = 0;
    sigwait(&stop_signals, &signal);
  });
  if (!status) {
    sequoialb::LogError("cannot_serve", {{"reason", status.error().detail}});
    std::cerr << "sequoialbd: " << status.error().detail << "\n";
    return kExitFailed;
  }
  return 0;
}
