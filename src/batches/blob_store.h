// Stores bulk data on a replica's disk as immutable blobs named by their
// SHA-256.
//
// Inputs and results of batch jobs are too large for the replicated log, which
// only carries references to blobs. Each blob is a separate file. It is written
// once, synced and renamed, checked against its name when read, and removed
// when no record refers to it. Equal content is stored once, so a resend writes
// nothing.
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

  // Reads a blob. Fails with kNotFound when the blob is absent, and with
  // kCorrupt when its content no longer matches its name; the file is then
  // removed so that the blob can be fetched again.
  Result<std::string> Read(const std::string& sha256);

  bool Has(const std::string& sha256) const {
    return stored_at_.count(sha256) > 0;
  }
  size_t size() const { return stored_at_.size(); }

  // Removes blobs outside `referenced` that were stored before
  // `before_unix_ms`. Newer ones may belong to a record that is not committed
  // yet.
  Status Collect(const std::set<std::string>& referenced,
                 int64_t before_unix_ms);

 private:
  BlobStore(FileSystem& files, std::string folder);

  FileSystem& files_;
  std::string folder_;
  // Time at which each blob was last stored, or found on disk by Open().
  std::map<std::string, int64_t> stored_at_;
};

}  // namespace sequoialb
