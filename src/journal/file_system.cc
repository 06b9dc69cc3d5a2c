#include "journal/file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace sequoialb {
namespace {

constexpr char kTemporarySuffix[] = ".tmp";
constexpr size_t kReadBytes = 65'536;

tl::unexpected<Error> IoFailure(const std::string& what,
                                const std::string& path) {
  return Fail(ErrorCode::kIo, what + " " + path + ": " + std::strerror(errno));
}

Status FromErrorCode(const std::string& what, const std::string& path,
                     std::error_code code) {
  if (code) {
    return Fail(ErrorCode::kIo, what + " " + path + ": " + code.message());
  }
  return {};
}

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(int descriptor, std::string path)
      : descriptor_(descriptor), path_(std::move(path)) {}
  PosixAppendFile(const PosixAppendFile&) = delete;
  PosixAppendFile& operator=(const PosixAppendFile&) = delete;
  ~PosixAppendFile() override { ::close(descriptor_); }

  Status Append(std::string_view data) override {
    while (!data.empty()) {
      const ssize_t written = ::write(descriptor_, data.data(), data.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return IoFailure("write", path_);
      }
      data.remove_prefix(static_cast<size_t>(written));
    }
    return {};
  }

  Status Sync() override {
    if (::fdatasync(descriptor_) != 0) {
      return IoFailure("fdatasync", path_);
    }
    return {};
  }

 private:
  int descriptor_;
  std::string path_;
};

class PosixFileSystem : public FileSystem {
 public:
  Status MakeFolder(const std::string& folder) override {
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    return FromErrorCode("create", folder, code);
  }

  Result<std::vector<std::string>> List(const std::string& folder) override {
    std::error_code code;
    std::filesystem::directory_iterator entries(folder, code);
    if (code) {
      return Fail(ErrorCode::kIo, "list " + folder + ": " + code.message());
    }
    std::vector<std::string> names;
    for (const auto& entry : entries) {
      names.push_back(entry.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  Result<std::string> Read(const std::string& path) override {
    // Not by a stream, which reports a read error as the end of the file: the
    // journal would truncate there.
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
      return IoFailure("open", path);
    }
    std::string content;
    std::array<char, kReadBytes> buffer;
    ssize_t got = 0;
    do {
      got = ::read(descriptor, buffer.data(), buffer.size());
      if (got > 0) {
        content.append(buffer.data(), static_cast<size_t>(got));
      }
    } while (got > 0 || (got < 0 && errno == EINTR));
    Result<std::string> result = std::move(content);
    if (got < 0) {
      result = IoFailure("read", path);
    }
    ::close(descriptor);
    return result;
  }

  Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) override {
    constexpr int kOwnerReadWrite = 0600;
    const int descriptor =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
               kOwnerReadWrite);
    if (descriptor < 0) {
      return IoFailure("open", path);
    }
    return std::make_unique<PosixAppendFile>(descriptor, path);
  }

  Status Truncate(const std::string& path, uint64_t size) override {
    std::error_code code;
    std::filesystem::resize_file(path, size, code);
    return FromErrorCode("truncate", path, code);
  }

  Status Rename(const std::string& from, const std::string& to) override {
    std::error_code code;
    std::filesystem::rename(from, to, code);
    return FromErrorCode("rename", from, code);
  }

  Status Remove(const std::string& path) override {
    std::error_code code;
    std::filesystem::remove(path, code);
    return FromErrorCode("remove", path, code);
  }

  Status SyncFolder(const std::string& folder) override {
    const int descriptor =
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
      return IoFailure("open", folder);
    }
    const int result = ::fsync(descriptor);
    ::close(descriptor);
    if (result != 0) {
      return IoFailure("fsync", folder);
    }
    return {};
  }
};

}  // namespace

std::unique_ptr<FileSystem> MakePosixFileSystem() {
  return std::make_unique<PosixFileSystem>();
}

Result<std::unique_ptr<AppendFile>> OpenTemporary(FileSystem& files,
                                                  const std::string& folder,
                                                  const std::string& name) {
  const std::string temporary = name + kTemporarySuffix;
  const Result<std::vector<std::string>> names = files.List(folder);
  if (!names) {
    return tl::unexpected<Error>(names.error());
  }
  // An earlier process may have left a temporary file, which appending would
  // extend.
  if (std::find(names->begin(), names->end(), temporary) != names->end()) {
    const Status removed = files.Remove(folder + "/" + temporary);
    if (!removed) {
      return tl::unexpected<Error>(removed.error());
    }
  }
  return files.OpenAppend(folder + "/" + temporary);
}

Status Publish(FileSystem& files, AppendFile& file, const std::string& folder,
               const std::string& name) {
  const std::string path = folder + "/" + name;
  return file.Sync()
      .and_then([&] { return files.Rename(path + kTemporarySuffix, path); })
      .and_then([&] { return files.SyncFolder(folder); });
}

Status WriteFileDurably(FileSystem& files, const std::string& folder,
                        const std::string& name, std::string_view content) {
  auto file = OpenTemporary(files, folder, name);
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  return (*file)->Append(content).and_then(
      [&] { return Publish(files, **file, folder, name); });
}

}  // namespace sequoialb
