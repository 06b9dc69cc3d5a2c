// What the scripts of this review have in common: where things are, the exit
// codes, and the time at which a script must have ended.
#pragma once

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"
#include "fleet.h"
#include "jobs.h"

namespace review {

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// A folder for settings, disks and logs that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data()) == nullptr ? "" : pattern;
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    }
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Announces engines once a second until it is destroyed.
class Announcer {
 public:
  Announcer(Fleet& fleet, std::vector<std::unique_ptr<Engine>>& engines)
      : thread_([this, &fleet, &engines] {
          while (!stopping_) {
            for (auto& engine : engines) {
              engine->Announce(fleet);
            }
            for (int i = 0; i < 10 && !stopping_; ++i) {
              std::this_thread::sleep_for(milliseconds(100));
            }
          }
        }) {}
  ~Announcer() {
    stopping_ = true;
    thread_.join();
  }
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

 private:
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace review
