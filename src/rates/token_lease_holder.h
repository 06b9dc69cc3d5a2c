// Holds the tokens that the owners of accounts have leased to this host, and
// requests more when they run out.
//
// Requests take leased tokens without any message while there are some. When an
// account has none, one token request to its owner is in flight and the callers
// wait for the reply. The number of tokens requested follows recent demand, so
// an account with little traffic leases single tokens and a busy one many at a
// time. Unused tokens are returned before their lease expires.
//
// Not thread-safe: if several traffic threads share an object, its owner guards
// it by a mutex.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// A token request or report to send to the owner of an account.
struct TokenMessage {
  std::string account;
  proto::TokenRequest request;
};

class TokenLeaseHolder {
 public:
  enum class Answer : uint8_t { kTaken, kWait, kRefused };

  struct Outcome {
    Answer answer = Answer::kWait;
    // For kRefused: the time until a token is expected.
    int64_t retry_after_ms = 0;
  };

  // With `one_token_per_request` at most one token is leased at a time.
  explicit TokenLeaseHolder(bool one_token_per_request)
      : one_token_per_request_(one_token_per_request) {}

  // Starts to wait for one token of an account. Returns a ticket for Poll.
  uint64_t Begin(const std::string& account, TimePoint now);

  // Tries to take the token of a ticket. kTaken and kRefused end the ticket.
  Outcome Poll(const std::string& account, uint64_t ticket, TimePoint now);

  // Ends a ticket that is still waiting.
  void Abandon(const std::string& account, uint64_t ticket);

  void OnReply(const proto::TokenReply& reply, TimePoint now);
  void OnRecall(const proto::TokenRecall& recall);

  // Returns the requests and reports that are due now. Must be called often:
  // it also sends the retries and returns idle tokens.
  std::vector<TokenMessage> TakeMessages(TimePoint now);

  // True when no account has tokens, tickets or reports left to send.
  bool idle() const { return accounts_.empty(); }

 private:
  struct Ticket {
    uint64_t number = 0;
    bool refused = false;
    int64_t retry_after_ms = 0;
  };

  struct AccountState {
    uint32_t tokens = 0;
    uint32_t spent = 0;
    uint32_t returned = 0;
    TimePoint expires;
    TimePoint last_use;
    std::vector<Ticket> tickets;
    // The token request in flight; 0 when there is none.
    uint64_t pending_request_id = 0;
    TimePoint request_sent_at;
    TimePoint next_request_at;
    // Requests counted in the current and in the previous demand window.
    uint32_t demand = 0;
    uint32_t previous_demand = 0;
    TimePoint demand_window_end;
  };

  void Expire(AccountState& state, TimePoint now) const;
  uint32_t TokensToRequest(const AccountState& state) const;
  void CountDemand(AccountState& state, TimePoint now) const;
  bool RequestIsDue(const AccountState& state, TimePoint now) const;

  bool one_token_per_request_;
  uint64_t next_number_ = RandomCallNumber();
  std::map<std::string, AccountState> accounts_;
};

}  // namespace sequoialb
