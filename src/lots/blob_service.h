// Stores and reads blobs across the replicas.
//
// A blob counts as stored once a majority of the replicas have synced it. Any
// host can store and read; replicas also fetch, in the background, each blob
// that a record refers to and their disk lacks, so that a blob missed during an
// outage, or all blobs on a replaced disk, are there before another is lost.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/task_thread.h"
#include "base/time.h"
#include "lots/blob_store.h"
#include "observe/metrics.h"
#include "peer/peer_sender.h"
#include "proto/ledger.pb.h"
#include "settings/settings.h"

namespace sequoialb {

// How many referenced blobs a replica's disk lacked, for the records up to a
// log index.
struct BlobsMissing {
  uint64_t count = 0;
  uint64_t index = 0;
};

class BlobService {
 public:
  using Post = std::function<void(std::function<void()>)>;

  // `store` is null on hosts that are no replicas.
  BlobService(const Settings& settings, std::unique_ptr<BlobStore> store,
              PeerSender& sender, Metrics& metrics, Post post);
  ~BlobService();

  // Stores data on a majority and returns the reference; traffic threads.
  Result<proto::BlobRef> Put(const std::string& data, uint32_t lines,
                             TimePoint deadline);
  // Reads a blob from any replica that has it; traffic threads.
  Result<std::string> Read(const std::string& sha256, TimePoint deadline);

  // The rest runs on the control thread.
  bool OnEnvelope(const proto::Envelope& envelope, TimePoint now);
  void Tick(TimePoint now);
  // Compares the disk with what the records up to a log index refer to, and
  // fetches what is lacking.
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
    // Set for a fetch of this replica for itself.
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
  uint64_t next_id_ = 1;
  TimePoint collect_due_;
  BlobsMissing missing_;
  Counter& stored_bytes_;
  // Last: its tasks use the store.
  std::unique_ptr<TaskThread> disk_thread_;
};

}  // namespace sequoialb
