// Keeps the token buckets of the accounts that this host owns and answers the
// token requests of other hosts.
//
// Rendezvous hashing over the hosts of the replicated view assigns each account
// an owner. A host acts as the owner only if it is the owner both in the newest
// view and in the last settled one, and only while its authority lease is
// valid. The first rule makes the previous owner stop before the new one
// starts; the second makes an isolated owner stop by itself.
//
// When the bucket is empty but other hosts hold leased tokens, refusing would
// be wrong, because the account may be within its rate. The owner then recalls
// those tokens and queues the request until they are returned.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/ledger.pb.h"
#include "proto/peer.pb.h"
#include "rates/owner_bucket.h"

namespace sequoialb {

struct RateOptions {
  // How long a leased token is valid, counted from when the holder sent its
  // request.
  milliseconds lease_duration{300};
  // The owner counts a lease for this much longer than the holder may use it.
  milliseconds lease_margin{50};
  // How long a request may wait for recalled tokens.
  milliseconds recall_wait{60};
};

// A message to send to another host.
struct RateMessage {
  std::string to;
  proto::Envelope envelope;
};

class RateOwner {
 public:
  // Returns the rate limit of an account, or nothing for an unknown account.
  using RateLimitLookup =
      std::function<std::optional<RateLimit>(const std::string&)>;

  RateOwner(std::string self, RateOptions options,
            RateLimitLookup rate_limit_lookup);

  // Applies the current view of this host.
  void SetView(const proto::HostView& view, TimePoint now);

  // Sets the end of this host's authority lease, after which it no longer acts
  // as an owner.
  void SetAuthorityLeaseEnd(TimePoint until) { authority_lease_end_ = until; }

  void OnRequest(const std::string& from, const proto::TokenRequest& request,
                 TimePoint now);
  void Tick(TimePoint now);

  std::vector<RateMessage> TakeMessages();

  // Returns the owner of an account in the newest view, or an empty string.
  std::string OwnerOf(const std::string& account) const;

 private:
  struct SettledView {
    std::vector<std::string> hosts;
    TimePoint installed_at;
    TimePoint settled_at;
  };

  struct WaitingRequest {
    std::string from;
    proto::TokenRequest request;
    TimePoint deadline;
  };

  struct OwnedAccount {
    OwnerBucket bucket;
    std::deque<WaitingRequest> waiting;
  };

  bool Owns(const std::string& account, TimePoint now) const;
  TimePoint OwnedSince(const std::string& account) const;
  OwnedAccount* Find(const std::string& account, TimePoint now);
  bool TryGrant(OwnedAccount& owned, const std::string& from,
                const proto::TokenRequest& request, TimePoint now);
  void Refuse(const OwnedAccount& owned, const std::string& from,
              const proto::TokenRequest& request, TimePoint now);
  void Recall(const OwnedAccount& owned, const std::string& from,
              const std::string& account);
  void ServeWaiting(OwnedAccount& owned, TimePoint now);
  proto::TokenReply& AddReply(const std::string& to,
                              const proto::TokenRequest& request);

  std::string self_;
  RateOptions options_;
  RateLimitLookup rate_limit_lookup_;
  std::vector<std::string> newest_hosts_;
  TimePoint newest_installed_at_;
  uint64_t epoch_ = 0;
  uint64_t settled_epoch_ = 0;
  std::deque<SettledView> settled_;
  TimePoint authority_lease_end_;
  std::map<std::string, OwnedAccount> owned_accounts_;
  std::vector<RateMessage> messages_;
};

}  // namespace sequoialb
