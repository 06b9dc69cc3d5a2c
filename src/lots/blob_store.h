// Bulk data on a replica's disk: immutable blobs named by their SHA-256.
//
// Inputs and results of batch jobs are too large for the replicated log, which
// carries references only. Each blob is a file of its own: it is written once,
// synced and renamed, checked against its name when read, and removed when no
// record refers to it. Equal content is stored once, so a resend costs nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "journal/file_system.h"

namespace sequoialb {

class BlobStore {
 public:
  static Result<std::unique_ptr<BlobStore>> Open(FileSystem& files,
                                                 const std::string& folder);

  // Stores a blob durably. Content that does not match `sha256` is refused.
  Status Put(const std::string& sha256, const std::string& data);

  // Reads a blob; kNotFound when absent, kCorrupt when its content has decayed,
  // in which case the file is removed so that it can be fetched again.
  Result<std::string> Read(const std::string& sha256);

  bool Has(const std::string& sha256) const {
    return stored_at_.count(sha256) > 0;
  }
  size_t size() const { return stored_at_.size(); }

  // Removes blobs outside `referenced` that were stored before
  // `before_unix_ms`. Younger ones may belong to a record that is still being
  // made.
  Status Collect(const std::set<std::string>& referenced,
                 int64_t before_unix_ms);

 private:
  BlobStore(FileSystem& files, std::string folder);

  FileSystem& files_;
  std::string folder_;
  // When each blob was stored or first seen by this process.
  std::map<std::string, int64_t> stored_at_;
};

}  // namespace sequoialb
