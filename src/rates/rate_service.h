// Enforces rate limits for the traffic threads of one host: takes a token of an
// account by the policy in the settings and waits for a reply of the account's
// owner if necessary.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

#include "base/error.h"
#include "config/config_view.h"
#include "observe/metrics.h"
#include "peer/peer_sender.h"
#include "rates/local_bucket.h"
#include "rates/rate_owner.h"
#include "rates/rate_policy.h"
#include "rates/token_lease_holder.h"

namespace sequoialb {

class RateService {
 public:
  // `wake` makes the control thread call Tick soon.
  RateService(std::string self, const RatePolicy& policy, size_t hosts,
              ConfigHolder& config, PeerSender& sender, Metrics& metrics,
              std::function<void()> wake);

  // Takes one token of the account; blocks until `deadline` at most. Fails with
  // kRateLimited when the account is over its rate limit, with kOverloaded when
  // its owner cannot be reached. Called on traffic threads.
  Status Take(const std::string& account, TimePoint deadline);

  // The methods below are called on the control thread.
  void OnRequest(const std::string& from, const proto::TokenRequest& request,
                 TimePoint now);
  void OnReply(const proto::TokenReply& reply, TimePoint now);
  void OnRecall(const proto::TokenRecall& recall, TimePoint now);
  void Tick(TimePoint now, TimePoint session_lease_end);

 private:
  bool TakeReserve(const std::string& account, TimePoint now);
  Status TakeLocal(const std::string& account, TimePoint now);
  Status TakeFromOwner(const std::string& account, TimePoint deadline);
  Status RateLimited(const std::string& account, int64_t retry_after_ms);
  void SendHolderMessages(TimePoint now);
  void SendOwnerMessages();

  RatePolicy policy_;
  size_t hosts_;
  ConfigHolder& config_;
  PeerSender& sender_;
  std::function<void()> wake_;
  RateOwner owner_;
  uint64_t view_index_ = 0;

  std::mutex mutex_;
  std::condition_variable reply_received_;
  TokenLeaseHolder lease_holder_;
  LocalBuckets local_buckets_;
  LocalBuckets reserve_buckets_;

  Counter& taken_;
  Counter& limited_;
  Counter& unreachable_;
};

}  // namespace sequoialb
