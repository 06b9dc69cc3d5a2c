// Interface to the file operations that durable state needs. Tests replace it
// to simulate the loss of unsynced data and the failure of any single call.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace sequoialb {

// A file opened for appending. Bytes are durable only after Sync succeeds.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  virtual Status Append(std::string_view data) = 0;
  // After a failure the file's content is unknown; the caller must not retry.
  virtual Status Sync() = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Creates a folder and its parents; an existing one is a success.
  virtual Status MakeFolder(const std::string& folder) = 0;
  // Returns the names (not paths) in a folder, sorted.
  virtual Result<std::vector<std::string>> List(const std::string& folder) = 0;
  virtual Result<std::string> Read(const std::string& path) = 0;
  virtual Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) = 0;
  virtual Status Truncate(const std::string& path, uint64_t size) = 0;
  virtual Status Rename(const std::string& from, const std::string& to) = 0;
  virtual Status Remove(const std::string& path) = 0;
  // Makes earlier creations, renames and removals in a folder durable.
  virtual Status SyncFolder(const std::string& folder) = 0;
};

// Returns the file system of the operating system.
std::unique_ptr<FileSystem> MakePosixFileSystem();

// Opens an empty temporary file for `name`, after removing one that a crash
// left behind.
Result<std::unique_ptr<AppendFile>> OpenTemporary(FileSystem& files,
                                                  const std::string& folder,
                                                  const std::string& name);

// Syncs the temporary file of `name`, renames it to `name`, and syncs the
// folder so that the rename is durable.
Status Publish(FileSystem& files, AppendFile& file, const std::string& folder,
               const std::string& name);

// Replaces the content of a file atomically: after a crash it has either its
// old or its new content. Writes a temporary file, syncs and renames it, and
// syncs the folder.
Status WriteFileDurably(FileSystem& files, const std::string& folder,
                        const std::string& name, std::string_view content);

}  // namespace sequoialb
