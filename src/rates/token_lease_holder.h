// The borrower's side of the rate limits on one host, for all accounts.
//
// Requests take lent tokens without a message as long as there are some. When
// there are none, one request for more is under way and the callers wait for
// its answer. How much is asked for follows the demand of the last moments, so
// a quiet account borrows single tokens and a busy one borrows many at a time.
// Tokens that lie idle go back before their loan runs out.
//
// Shared by the traffic threads; the owner of the object guards it by a mutex.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// What the holder wants to tell an account's owner.
struct TokenMessage {
  std::string account;
  proto::TokenRequest request;
};

class TokenLeaseHolder {
 public:
  enum class Answer : uint8_t { kTaken, kWait, kRefused };

  struct Outcome {
    Answer answer = Answer::kWait;
    // For kRefused: when a token is expected.
    int64_t retry_after_ms = 0;
  };

  // With `one_token_per_request` no more than one token is borrowed at once.
  explicit TokenLeaseHolder(bool one_token_per_request)
      : one_token_per_request_(one_token_per_request) {}

  // Begins to wait for one token of an account. Returns a ticket.
  uint64_t Begin(const std::string& account, TimePoint now);

  // Asks for the ticket's token. kTaken and kRefused end the ticket.
  Outcome Poll(const std::string& account, uint64_t ticket, TimePoint now);

  // Ends a ticket that is still waiting.
  void Abandon(const std::string& account, uint64_t ticket);

  void OnReply(const proto::TokenReply& reply, TimePoint now);
  void OnRecall(const proto::TokenRecall& recall);

  // Returns the requests and reports that are due. Call often.
  std::vector<TokenMessage> TakeMessages(TimePoint now);

  // True when no account has tokens, tickets or reports.
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
    uint64_t pending_request_id = 0;
    TimePoint request_sent_at;
    TimePoint next_request_at;
    // Requests of the present and the previous short span.
    uint32_t demand = 0;
    uint32_t previous_demand = 0;
    TimePoint demand_window_end;
  };

  void Expire(AccountState& state, TimePoint now) const;
  uint32_t TokensToRequest(const AccountState& state) const;
  void CountDemand(AccountState& state, TimePoint now) const;
  bool RequestIsDue(const AccountState& state, TimePoint now) const;

  bool one_token_per_request_;
  uint64_t next_number_ = 1;
  std::map<std::string, AccountState> accounts_;
};

}  // namespace sequoialb
