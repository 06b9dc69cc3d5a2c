#include "batches/blob_service.h"

#include <cstdlib>

#include "base/hash.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kPutResend{1'000};
constexpr milliseconds kGetResend{500};
// Wait before requesting a blob from the next replica after one replica did not
// return a valid copy.
constexpr milliseconds kNotFoundRetryDelay{40};
constexpr seconds kCollectInterval{60};
constexpr int64_t kCollectAgeMs = 3'600'000;
constexpr size_t kMaxParallelFetches = 8;
constexpr seconds kFetchTimeout{20};
constexpr int kDiskFailedExitCode = 70;

}  // namespace

BlobService::BlobService(const Settings& settings,
                         std::unique_ptr<BlobStore> store, PeerSender& sender,
                         Metrics& metrics, Post post)
    : settings_(settings),
      replicas_(settings.replica_hosts()),
      store_(std::move(store)),
      sender_(sender),
      post_(std::move(post)),
      stored_bytes_(metrics.counter("sequoialb_blob_stored_bytes_total")),
      disk_thread_(std::make_unique<TaskThread>()) {}

BlobService::~BlobService() { disk_thread_.reset(); }

void BlobService::ExitOnDiskFailure(const Error& error) {
  LogError("disk_failed", {{"reason", error.detail}});
  std::_Exit(kDiskFailedExitCode);
}

Result<proto::BlobRef> BlobService::Put(const std::string& data, uint32_t lines,
                                        TimePoint deadline) {
  proto::BlobRef ref;
  ref.set_sha256(Sha256Hex(data));
  ref.set_size(data.size());
  ref.set_lines(lines);
  auto put = std::make_shared<PendingPut>();
  put->sha256 = ref.sha256();
  put->data = std::make_shared<const std::string>(data);
  put->deadline = deadline;
  std::future<Status> done = put->done.get_future();
  post_([this, put] {
    const uint64_t id = next_id_++;
    puts_[id] = put;
    SendPut(id, *put, Clock::now());
  });
  const Status stored = done.get();
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  return ref;
}

Result<std::string> BlobService::Read(const std::string& sha256,
                                      TimePoint deadline) {
  auto get = std::make_shared<PendingGet>();
  get->sha256 = sha256;
  get->deadline = deadline;
  std::future<Result<std::string>> done = get->done.get_future();
  post_([this, get] {
    const uint64_t id = next_id_++;
    get->next_replica = id;
    gets_[id] = get;
    SendGet(id, *get, Clock::now());
  });
  return done.get();
}

void BlobService::SendPut(uint64_t id, PendingPut& put, TimePoint now) {
  put.resend_at = now + kPutResend;
  for (const std::string& replica : replicas_) {
    if (put.stored_on.count(replica) > 0) {
      continue;
    }
    proto::Envelope envelope;
    proto::BlobPut& message = *envelope.mutable_blob_put();
    message.set_request_id(id);
    message.set_sha256(put.sha256);
    message.set_data(*put.data);
    sender_.Send(replica, std::move(envelope));
  }
}

void BlobService::SendGet(uint64_t id, PendingGet& get, TimePoint now) {
  get.resend_at = now + kGetResend;
  std::string replica = replicas_[get.next_replica++ % replicas_.size()];
  if (get.for_local_store && replica == settings_.host) {
    replica = replicas_[get.next_replica++ % replicas_.size()];
  }
  proto::Envelope envelope;
  envelope.mutable_blob_get()->set_request_id(id);
  envelope.mutable_blob_get()->set_sha256(get.sha256);
  sender_.Send(replica, std::move(envelope));
}

bool BlobService::OnEnvelope(const proto::Envelope& envelope, TimePoint now) {
  switch (envelope.body_case()) {
    case proto::Envelope::kBlobPut:
      OnPut(envelope.from(), envelope.blob_put());
      return true;
    case proto::Envelope::kBlobPutReply:
      OnPutReply(envelope.from(), envelope.blob_put_reply());
      return true;
    case proto::Envelope::kBlobGet:
      OnGet(envelope.from(), envelope.blob_get());
      return true;
    case proto::Envelope::kBlobData:
      OnData(envelope.blob_data(), now);
      return true;
    default:
      return false;
  }
}

void BlobService::OnPut(const std::string& from, const proto::BlobPut& put) {
  if (store_ == nullptr) {
    return;
  }
  disk_thread_->Add([this, from, put] {
    const Status stored = store_->Put(put.sha256(), put.data());
    if (!stored && stored.error().code == ErrorCode::kIo) {
      ExitOnDiskFailure(stored.error());
    }
    stored_bytes_.Add(stored ? put.data().size() : 0);
    post_([this, from, id = put.request_id(), ok = stored.has_value()] {
      proto::Envelope envelope;
      envelope.mutable_blob_put_reply()->set_request_id(id);
      envelope.mutable_blob_put_reply()->set_stored(ok);
      sender_.Send(from, std::move(envelope));
    });
  });
}

void BlobService::OnPutReply(const std::string& from,
                             const proto::BlobPutReply& reply) {
  const auto found = puts_.find(reply.request_id());
  if (found == puts_.end() || !reply.stored()) {
    return;
  }
  found->second->stored_on.insert(from);
  if (found->second->stored_on.size() >= Majority()) {
    found->second->done.set_value(Status());
    puts_.erase(found);
  }
}

void BlobService::OnGet(const std::string& from, const proto::BlobGet& get) {
  if (store_ == nullptr) {
    return;
  }
  disk_thread_->Add([this, from, get] {
    Result<std::string> data = store_->Read(get.sha256());
    post_([this, from, id = get.request_id(), data = std::move(data)] {
      proto::Envelope envelope;
      proto::BlobData& reply = *envelope.mutable_blob_data();
      reply.set_request_id(id);
      reply.set_found(data.has_value());
      if (data) {
        reply.set_data(*data);
      }
      sender_.Send(from, std::move(envelope));
    });
  });
}

void BlobService::OnData(const proto::BlobData& data, TimePoint now) {
  const auto found = gets_.find(data.request_id());
  if (found == gets_.end()) {
    return;
  }
  const std::shared_ptr<PendingGet> get = found->second;
  if (!data.found() || Sha256Hex(data.data()) != get->sha256) {
    get->resend_at = now + kNotFoundRetryDelay;
    return;
  }
  gets_.erase(found);
  if (get->for_local_store) {
    StoreFetched(get->sha256, data.data());
  } else {
    get->done.set_value(data.data());
  }
}

void BlobService::StoreFetched(const std::string& sha256,
                               const std::string& data) {
  disk_thread_->Add([this, sha256, data] {
    const Status stored = store_->Put(sha256, data);
    if (!stored && stored.error().code == ErrorCode::kIo) {
      ExitOnDiskFailure(stored.error());
    }
    post_([this, sha256] { fetching_.erase(sha256); });
  });
}

void BlobService::Tick(TimePoint now) {
  const Error timeout_error{ErrorCode::kNoQuorum,
                            "the replicas did not answer in time for bulk data",
                            RunState::kNotRun};
  for (auto entry = puts_.begin(); entry != puts_.end();) {
    const auto current = entry++;
    if (now >= current->second->deadline) {
      current->second->done.set_value(tl::unexpected<Error>(timeout_error));
      puts_.erase(current);
    } else if (now >= current->second->resend_at) {
      SendPut(current->first, *current->second, now);
    }
  }
  for (auto entry = gets_.begin(); entry != gets_.end();) {
    const auto current = entry++;
    const std::shared_ptr<PendingGet> get = current->second;
    if (now >= get->deadline) {
      if (get->for_local_store) {
        fetching_.erase(get->sha256);
      } else {
        get->done.set_value(tl::unexpected<Error>(timeout_error));
      }
      gets_.erase(current);
    } else if (now >= get->resend_at) {
      SendGet(current->first, *get, now);
    }
  }
}

void BlobService::Reconcile(const std::set<std::string>& referenced,
                            uint64_t index, TimePoint now) {
  if (store_ == nullptr) {
    return;
  }
  // Only the disk thread may use the store, so the comparison runs there and
  // its outcome is posted back to the control thread.
  const bool collect = now >= collect_due_;
  if (collect) {
    collect_due_ = now + kCollectInterval;
  }
  disk_thread_->Add([this, referenced, index, collect] {
    std::vector<std::string> missing_names;
    for (const std::string& name : referenced) {
      if (!store_->Has(name)) {
        missing_names.push_back(name);
      }
    }
    if (collect) {
      const Status collected =
          store_->Collect(referenced, UnixMs() - kCollectAgeMs);
      if (!collected) {
        ExitOnDiskFailure(collected.error());
      }
    }
    post_([this, missing_names, index] {
      missing_ = BlobsMissing{missing_names.size(), index};
      for (const std::string& name : missing_names) {
        if (fetching_.size() >= kMaxParallelFetches ||
            !fetching_.insert(name).second) {
          continue;
        }
        auto get = std::make_shared<PendingGet>();
        get->sha256 = name;
        get->for_local_store = true;
        get->deadline = Clock::now() + kFetchTimeout;
        const uint64_t id = next_id_++;
        get->next_replica = id;
        gets_[id] = get;
        SendGet(id, *get, Clock::now());
      }
    });
  });
}

}  // namespace sequoialb
