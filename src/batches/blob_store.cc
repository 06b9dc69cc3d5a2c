#include "batches/blob_store.h"

#include "base/hash.h"
#include "base/time.h"

namespace sequoialb {
namespace {

constexpr size_t kNameDigits = 64;

}  // namespace

BlobStore::BlobStore(FileSystem& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

Result<std::unique_ptr<BlobStore>> BlobStore::Open(FileSystem& files,
                                                   const std::string& folder) {
  std::unique_ptr<BlobStore> store(new BlobStore(files, folder));
  const Status status = files.MakeFolder(folder);
  if (!status) {
    return tl::unexpected<Error>(status.error());
  }
  const auto names = files.List(folder);
  if (!names) {
    return tl::unexpected<Error>(names.error());
  }
  const int64_t now = UnixMs();
  for (const std::string& name : *names) {
    if (name.size() == kNameDigits) {
      store->stored_at_[name] = now;
    }
  }
  return store;
}

Status BlobStore::Put(const std::string& sha256, const std::string& data) {
  if (Sha256Hex(data) != sha256) {
    return Fail(ErrorCode::kCorrupt,
                "blob content does not match its name " + sha256);
  }
  if (Has(sha256)) {
    // A record that is about to be created refers to the blob: restart its age
    // so that Collect() does not remove it.
    stored_at_[sha256] = UnixMs();
    return {};
  }
  Status written = WriteFileDurably(files_, folder_, sha256, data);
  if (written) {
    stored_at_[sha256] = UnixMs();
  }
  return written;
}

Result<std::string> BlobStore::Read(const std::string& sha256) {
  if (!Has(sha256)) {
    return Fail(ErrorCode::kNotFound, "no blob " + sha256);
  }
  Result<std::string> data = files_.Read(folder_ + "/" + sha256);
  if (data && Sha256Hex(*data) != sha256) {
    const Status removed = files_.Remove(folder_ + "/" + sha256);
    stored_at_.erase(sha256);
    return removed ? Fail(ErrorCode::kCorrupt,
                          folder_ + "/" + sha256 +
                              ": content does not match its SHA-256")
                   : tl::unexpected<Error>(removed.error());
  }
  return data;
}

Status BlobStore::Collect(const std::set<std::string>& referenced,
                          int64_t before_unix_ms) {
  bool removed_any = false;
  for (auto entry = stored_at_.begin(); entry != stored_at_.end();) {
    const bool keep =
        referenced.count(entry->first) > 0 || entry->second >= before_unix_ms;
    if (keep) {
      ++entry;
      continue;
    }
    Status removed = files_.Remove(folder_ + "/" + entry->first);
    if (!removed) {
      return removed;
    }
    entry = stored_at_.erase(entry);
    removed_any = true;
  }
  return removed_any ? files_.SyncFolder(folder_) : Status();
}

}  // namespace sequoialb
