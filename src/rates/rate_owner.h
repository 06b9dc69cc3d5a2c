// The owner's side of the rate limits: which accounts this host owns in the
// view in force, their buckets, and requests that wait for recalled tokens.
//
// Ownership follows the replicated view by rendezvous hashing. An account is
// owned only when this host is its owner both in the newest view and in the
// last settled one, and while this host's own session lease runs: the first
// rule makes the former owner give up before the new one begins, the second
// makes an isolated owner stop by itself.
//
// When the bucket is empty although other hosts hold lent tokens, refusing
// would be wrong: the account may be within its rate. The owner recalls those
// tokens and lets the request wait for their return.
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
  // A lent token is valid this long, counted from the borrower's request.
  milliseconds lease_duration{300};
  // The owner counts a loan this much longer than the borrower may use it.
  milliseconds lease_margin{50};
  // How long a request may wait for recalled tokens.
  milliseconds recall_wait{60};
};

// A message that the owner's side wants sent.
struct RateMessage {
  std::string to;
  proto::Envelope envelope;
};

class RateOwner {
 public:
  // Returns the terms of an account, or nothing when no document names it.
  using RateLimitLookup =
      std::function<std::optional<RateLimit>(const std::string&)>;

  RateOwner(std::string self, RateOptions options,
            RateLimitLookup rate_limit_lookup);

  // Takes the view in force on this host.
  void SetView(const proto::HostView& view, TimePoint now);

  // The end of this host's session lease, by which its authority ends.
  void SetAuthorityLeaseEnd(TimePoint until) { authority_lease_end_ = until; }

  void OnRequest(const std::string& from, const proto::TokenRequest& request,
                 TimePoint now);
  void Tick(TimePoint now);

  std::vector<RateMessage> TakeMessages();

  // The owner of an account in the newest view, or empty.
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
