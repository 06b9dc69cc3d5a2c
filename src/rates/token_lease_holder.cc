#include "rates/token_lease_holder.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr milliseconds kDemandWindow{50};
// A reply that takes longer than this is treated as lost.
constexpr milliseconds kRequestTimeout{150};
constexpr milliseconds kRequestRetryDelay{25};
// Unused tokens are returned after this long without a request.
constexpr milliseconds kIdleReturnDelay{100};
constexpr uint32_t kMaxTokensPerRequest = 256;

}  // namespace

void TokenLeaseHolder::Expire(AccountState& state, TimePoint now) const {
  if (now >= state.expires) {
    // The owner counts an expired lease as spent, so it is not reported.
    state.tokens = 0;
  }
}

void TokenLeaseHolder::CountDemand(AccountState& state, TimePoint now) const {
  if (now >= state.demand_window_end) {
    const bool adjacent = now < state.demand_window_end + kDemandWindow;
    state.previous_demand = adjacent ? state.demand : 0;
    state.demand = 0;
    state.demand_window_end = now + kDemandWindow;
  }
  ++state.demand;
}

uint64_t TokenLeaseHolder::Begin(const std::string& account, TimePoint now) {
  AccountState& state = accounts_[account];
  CountDemand(state, now);
  const uint64_t number = next_number_++;
  state.tickets.push_back(Ticket{number});
  return number;
}

TokenLeaseHolder::Outcome TokenLeaseHolder::Poll(const std::string& account,
                                                 uint64_t ticket,
                                                 TimePoint now) {
  AccountState& state = accounts_[account];
  Expire(state, now);
  const auto found =
      std::find_if(state.tickets.begin(), state.tickets.end(),
                   [ticket](const Ticket& t) { return t.number == ticket; });
  if (found == state.tickets.end()) {
    return {Answer::kRefused, 0};
  }
  if (state.tokens > 0) {
    --state.tokens;
    ++state.spent;
    state.last_use = now;
    state.tickets.erase(found);
    return {Answer::kTaken, 0};
  }
  if (found->refused) {
    const int64_t retry_after_ms = found->retry_after_ms;
    state.tickets.erase(found);
    return {Answer::kRefused, retry_after_ms};
  }
  return {Answer::kWait, 0};
}

void TokenLeaseHolder::Abandon(const std::string& account, uint64_t ticket) {
  auto& tickets = accounts_[account].tickets;
  tickets.erase(
      std::remove_if(tickets.begin(), tickets.end(),
                     [ticket](const Ticket& t) { return t.number == ticket; }),
      tickets.end());
}

void TokenLeaseHolder::OnReply(const proto::TokenReply& reply, TimePoint now) {
  const auto found = accounts_.find(reply.account());
  if (found == accounts_.end() ||
      found->second.pending_request_id != reply.request_id()) {
    // A late reply: its lease counts from the sending of a request that has
    // since been given up.
    return;
  }
  AccountState& state = found->second;
  const TimePoint expires =
      state.request_sent_at + milliseconds(reply.valid_ms());
  state.pending_request_id = 0;
  if (reply.granted() > 0) {
    Expire(state, now);
    state.expires =
        state.tokens > 0 ? std::min(state.expires, expires) : expires;
    state.tokens += reply.granted();
    state.last_use = now;
    return;
  }
  state.next_request_at = now + kRequestRetryDelay;
  if (reply.not_owner() || reply.recovering()) {
    return;
  }
  for (Ticket& ticket : state.tickets) {
    ticket.refused = true;
    ticket.retry_after_ms = reply.retry_after_ms();
  }
}

void TokenLeaseHolder::OnRecall(const proto::TokenRecall& recall) {
  const auto found = accounts_.find(recall.account());
  if (found == accounts_.end()) {
    return;
  }
  found->second.returned += found->second.tokens;
  found->second.tokens = 0;
}

uint32_t TokenLeaseHolder::TokensToRequest(const AccountState& state) const {
  const auto waiting = static_cast<uint32_t>(state.tickets.size());
  if (one_token_per_request_) {
    return std::min(1U, waiting);
  }
  if (waiting == 0) {
    return 0;
  }
  const uint32_t demand = std::max(state.demand, state.previous_demand);
  return std::min(kMaxTokensPerRequest, std::max(waiting, demand));
}

bool TokenLeaseHolder::RequestIsDue(const AccountState& state,
                                    TimePoint now) const {
  const bool in_flight = state.pending_request_id != 0 &&
                         now < state.request_sent_at + kRequestTimeout;
  return !in_flight && state.tokens == 0 && now >= state.next_request_at;
}

std::vector<TokenMessage> TokenLeaseHolder::TakeMessages(TimePoint now) {
  std::vector<TokenMessage> out;
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    AccountState& state = entry->second;
    Expire(state, now);
    if (state.tokens > 0 && state.tickets.empty() &&
        now >= state.last_use + kIdleReturnDelay) {
      state.returned += state.tokens;
      state.tokens = 0;
    }
    const uint32_t want = RequestIsDue(state, now) ? TokensToRequest(state) : 0;
    if (want > 0 || state.spent > 0 || state.returned > 0) {
      TokenMessage& message = out.emplace_back();
      message.account = entry->first;
      message.request.set_account(entry->first);
      message.request.set_want(want);
      message.request.set_spent(state.spent);
      message.request.set_returned(state.returned);
      state.spent = 0;
      state.returned = 0;
      if (want > 0) {
        state.pending_request_id = next_number_++;
        state.request_sent_at = now;
        message.request.set_request_id(state.pending_request_id);
      }
    }
    const bool idle = state.tickets.empty() && state.tokens == 0 &&
                      state.pending_request_id == 0 &&
                      now > state.demand_window_end + seconds(1);
    entry = idle ? accounts_.erase(entry) : std::next(entry);
  }
  return out;
}

}  // namespace sequoialb
