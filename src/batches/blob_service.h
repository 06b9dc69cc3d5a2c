// Stores and reads blobs across the replicas.
//
// A blob counts as stored once a majority of the replicas have synced it to
// disk. Any host can store and read blobs. Each replica also compares its disk
// with the replicated records and fetches missing blobs in the background. This
// restores the blobs that it missed during an outage, or all blobs after a disk
// was replaced, before another replica loses its copies.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "base/task_thread.h"
#include "base/time.h"
#include "batches/blob_store.h"
#include "observe/metrics.h"
#include "peer/peer_sender.h"
#include "proto/ledger.pb.h"
#include "settings/settings.h"

namespace sequoialb {

// The number of blobs that the records up to log index `index` refer to and
// that are missing from a replica's disk.
struct BlobsMissing {
  uint64_t count = 0;
  uint64_t index = 0;
};

class BlobService {
 public:
  using Post = std::function<void(std::function<void()>)>;

  // `store` is null on hosts that are not replicas. `post` runs a function on
  // the control thread.
  BlobService(const Settings& settings, std::unique_ptr<BlobStore> store,
              PeerSender& sender, Metrics& metrics, Post post);
  ~BlobService();

  // Stores data on a majority of the replicas and returns the reference to it.
  // Blocks until done; called on traffic threads.
  Result<proto::BlobRef> Put(const std::string& data, uint32_t lines,
                             TimePoint deadline);
  // Reads a blob from any replica that has it. Blocks until done; called on
  // traffic threads.
  Result<std::string> Read(const std::string& sha256, TimePoint deadline);

  // The functions below are called on the control thread.
  bool OnEnvelope(const proto::Envelope& envelope, TimePoint now);
  void Tick(TimePoint now);
  // Compares the disk with the blobs that the records up to log index `index`
  // refer to, and fetches missing blobs from other replicas. Also removes old
  // unreferenced blobs at most once per kCollectInterval.
  void Reconcile(const std::set<std::string>& referenced, uint64_t index,
                 TimePoint now);
  // The outcome of the last comparison.
  const BlobsMissing& missing() const { return missing_; }
  bool has_store() const { return store_ != nullptr; }

 private:
  struct PendingPut {
    std::string sha256;
    std::shared_ptr<const std::string> data;
    std::set<std::string> stored_on;
    TimePoint deadline;
    TimePoint resend_at;
    std::promise<Status> done;
  };

  struct PendingGet {
    std::string sha256;
    size_t next_replica = 0;
    TimePoint deadline;
    TimePoint resend_at;
    std::promise<Result<std::string>> done;
    // True when this replica fetches the blob to store it on its own disk.
    bool for_local_store = false;
  };

  size_t Majority() const { return replicas_.size() / 2 + 1; }
  void SendPut(uint64_t id, PendingPut& put, TimePoint now);
  void SendGet(uint64_t id, PendingGet& get, TimePoint now);
  void OnPut(const std::string& from, const proto::BlobPut& put);
  void OnPutReply(const std::string& from, const proto::BlobPutReply& reply);
  void OnGet(const std::string& from, const proto::BlobGet& get);
  void OnData(const proto::BlobData& data, TimePoint now);
  void StoreFetched(const std::string& sha256, const std::string& data);
  [[noreturn]] static void ExitOnDiskFailure(const Error& error);

  const Settings& settings_;
  std::vector<std::string> replicas_;
  std::unique_ptr<BlobStore> store_;
  PeerSender& sender_;
  Post post_;
  std::map<uint64_t, std::shared_ptr<PendingPut>> puts_;
  std::map<uint64_t, std::shared_ptr<PendingGet>> gets_;
  std::set<std::string> fetching_;
  uint64_t next_id_ = RandomCallNumber();
  TimePoint collect_due_;
  BlobsMissing missing_;
  Counter& stored_bytes_;
  // Declared last so that it is destroyed first: its tasks use the store.
  std::unique_ptr<TaskThread> disk_thread_;
};

}  // namespace sequoialb
