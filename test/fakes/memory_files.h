// An in-memory file system for tests. A simulated crash loses unsynced bytes,
// any single operation can be made to fail, and the disk can be full for a
// while.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "journal/file_system.h"

namespace sequoialb::fakes {

// What a disk still accepts.
enum class DiskSpace {
  kFree,
  // No data, but new files and names.
  kNoData,
  kNothing,
};

class MemoryFiles : public FileSystem {
 public:
  struct File {
    std::string data;
    size_t synced = 0;
  };

  // Makes the operation with this number fail; 0 for none. Operations are
  // counted from 1 since construction or the last crash.
  void FailOperation(int number) { fail_at_ = number; }
  int operations() const { return operations_; }

  // Changes what the disk accepts from now on.
  void SetSpace(DiskSpace space) { space_ = space; }

  // Simulates a crash: each file loses its unsynced bytes except the first
  // `kept`, as when the disk had begun to write them.
  void Crash(size_t kept) {
    for (auto& [path, file] : files_) {
      file.data.resize(std::min(file.data.size(), file.synced + kept));
      file.synced = file.data.size();
    }
    fail_at_ = 0;
    operations_ = 0;
  }

  std::map<std::string, File>& files() { return files_; }

  Status MakeFolder(const std::string& /*folder*/) override {
    return BeginOperation("make folder");
  }

  Result<std::vector<std::string>> List(const std::string& folder) override {
    std::vector<std::string> names;
    for (const auto& [path, file] : files_) {
      const std::string prefix = folder + "/";
      if (path.compare(0, prefix.size(), prefix) == 0 &&
          path.find('/', prefix.size()) == std::string::npos) {
        names.push_back(path.substr(prefix.size()));
      }
    }
    return names;
  }

  Result<std::string> Read(const std::string& path) override {
    const auto found = files_.find(path);
    if (found == files_.end()) {
      return Fail(ErrorCode::kIo, path + ": no such file");
    }
    return found->second.data;
  }

  Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) override {
    const Status begun = BeginOperation("open").and_then(
        [&] { return files_.count(path) > 0 ? Status() : CheckNames("open"); });
    if (!begun) {
      return tl::unexpected<Error>(begun.error());
    }
    files_.try_emplace(path);
    return std::make_unique<Handle>(*this, path);
  }

  Status Truncate(const std::string& path, uint64_t size) override {
    files_[path].data.resize(size);
    files_[path].synced = std::min<size_t>(files_[path].synced, size);
    return BeginOperation("truncate");
  }

  Status Rename(const std::string& from, const std::string& to) override {
    const Status begun =
        BeginOperation("rename").and_then([&] { return CheckNames("rename"); });
    if (begun) {
      files_[to] = files_[from];
      files_.erase(from);
    }
    return begun;
  }

  Status Remove(const std::string& path) override {
    const Status begun = BeginOperation("remove");
    if (begun) {
      files_.erase(path);
    }
    return begun;
  }

  Status SyncFolder(const std::string& /*folder*/) override {
    return BeginOperation("sync folder");
  }

 private:
  class Handle : public AppendFile {
   public:
    Handle(MemoryFiles& files, std::string path)
        : files_(files), path_(std::move(path)) {}

    Status Append(std::string_view data) override {
      const Status begun = files_.BeginOperation("append").and_then(
          [&] { return data.empty() ? Status() : files_.CheckData("append"); });
      // A failed write may still have written some of its bytes.
      files_.files_[path_].data.append(begun ? data
                                             : data.substr(0, data.size() / 2));
      return begun;
    }

    Status Sync() override {
      const Status begun = files_.BeginOperation("sync");
      if (begun) {
        files_.files_[path_].synced = files_.files_[path_].data.size();
      }
      return begun;
    }

   private:
    MemoryFiles& files_;
    std::string path_;
  };

  Status BeginOperation(const std::string& operation) {
    ++operations_;
    if (operations_ == fail_at_) {
      return Fail(ErrorCode::kIo, operation + ": injected failure");
    }
    return {};
  }

  Status CheckData(const std::string& operation) const {
    if (space_ != DiskSpace::kFree) {
      return Fail(ErrorCode::kIo, operation + ": no space left");
    }
    return {};
  }

  Status CheckNames(const std::string& operation) const {
    if (space_ == DiskSpace::kNothing) {
      return Fail(ErrorCode::kIo, operation + ": no space left");
    }
    return {};
  }

  std::map<std::string, File> files_;
  DiskSpace space_ = DiskSpace::kFree;
  int operations_ = 0;
  int fail_at_ = 0;
};

}  // namespace sequoialb::fakes
