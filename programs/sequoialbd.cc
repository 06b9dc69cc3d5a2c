// The daemon that runs on each host: reads the host's settings and serves until
// SIGTERM or SIGINT.
#include <iostream>

#include "client/arguments.h"
#include "daemon/daemon.h"
#include "daemon/stop_signals.h"
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
constexpr int kExitBadSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      sequoialb::ParseArguments(kUsage, argc, argv, kVersion);
  const std::string path = arguments.at("--settings").asString();
  const auto settings = sequoialb::LoadSettings(path);
  if (!settings) {
    std::cerr << "sequoialbd: " << settings.error().detail << "\n";
    return kExitBadSettings;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << path << ": settings of host " << settings->host
              << " are valid\n";
    return 0;
  }
  const sequoialb::StopSignals stop_signals;
  sequoialb::StartLog(settings->host, settings->log_level);
  const auto status =
      sequoialb::RunDaemon(*settings, [&stop_signals] { stop_signals.Wait(); });
  if (!status) {
    sequoialb::LogError("cannot_serve", {{"reason", status.error().detail}});
    std::cerr << "sequoialbd: " << status.error().detail << "\n";
    return kExitFailed;
  }
  return 0;
}
