#include "rates/loan_holder.h"

#include <algorithm>

namespace sequoialb {
namespace {

constexpr milliseconds kDemandSpan{50};
// An answer that takes longer than this is taken for lost.
constexpr milliseconds kAskTimeout{150};
constexpr milliseconds kAskAgain{25};
// Unused tokens go back after this long without a request.
constexpr milliseconds kIdle{100};
constexpr uint32_t kMaxAtOnce = 256;

}  // namespace

void LoanHolder::Expire(Loan& loan, TimePoint now) const {
  if (now >= loan.expires) {
    // The owner counts an expired loan as spent; neither side reports it.
    loan.tokens = 0;
  }
}

void LoanHolder::CountDemand(Loan& loan, TimePoint now) const {
  if (now >= loan.span_ends) {
    const bool adjacent = now < loan.span_ends + kDemandSpan;
    loan.earlier_demand = adjacent ? loan.demand : 0;
    loan.demand = 0;
    loan.span_ends = now + kDemandSpan;
  }
  ++loan.demand;
}

uint64_t LoanHolder::Begin(const std::string& account, TimePoint now) {
  Loan& loan = loans_[account];
  CountDemand(loan, now);
  const uint64_t number = next_number_++;
  loan.tickets.push_back(Ticket{number});
  return number;
}

LoanHolder::Outcome LoanHolder::Poll(const std::string& account,
                                     uint64_t ticket, TimePoint now) {
  Loan& loan = loans_[account];
  Expire(loan, now);
  const auto found =
      std::find_if(loan.tickets.begin(), loan.tickets.end(),
                   [ticket](const Ticket& t) { return t.number == ticket; });
  if (found == loan.tickets.end()) {
    return {Answer::kRefused, 0};
  }
  if (loan.tokens > 0) {
    --loan.tokens;
    ++loan.spent;
    loan.last_use = now;
    loan.tickets.erase(found);
    return {Answer::kTaken, 0};
  }
  if (found->refused) {
    const int64_t retry_after_ms = found->retry_after_ms;
    loan.tickets.erase(found);
    return {Answer::kRefused, retry_after_ms};
  }
  return {Answer::kWait, 0};
}

void LoanHolder::Abandon(const std::string& account, uint64_t ticket) {
  auto& tickets = loans_[account].tickets;
  tickets.erase(
      std::remove_if(tickets.begin(), tickets.end(),
                     [ticket](const Ticket& t) { return t.number == ticket; }),
      tickets.end());
}

void LoanHolder::OnReply(const proto::TokenReply& reply, TimePoint now) {
  const auto found = loans_.find(reply.account());
  if (found == loans_.end() || found->second.asked != reply.request_id()) {
    // Too late: the loan counts from a request that was given up.
    return;
  }
  Loan& loan = found->second;
  const TimePoint expires = loan.asked_at + milliseconds(reply.valid_ms());
  loan.asked = 0;
  if (reply.granted() > 0) {
    Expire(loan, now);
    loan.expires = loan.tokens > 0 ? std::min(loan.expires, expires) : expires;
    loan.tokens += reply.granted();
    loan.last_use = now;
    return;
  }
  loan.ask_again_at = now + kAskAgain;
  if (reply.not_owner() || reply.recovering()) {
    return;
  }
  for (Ticket& ticket : loan.tickets) {
    ticket.refused = true;
    ticket.retry_after_ms = reply.retry_after_ms();
  }
}

void LoanHolder::OnRecall(const proto::TokenRecall& recall) {
  const auto found = loans_.find(recall.account());
  if (found == loans_.end()) {
    return;
  }
  found->second.returned += found->second.tokens;
  found->second.tokens = 0;
}

uint32_t LoanHolder::Want(const Loan& loan) const {
  const auto waiting = static_cast<uint32_t>(loan.tickets.size());
  if (ask_each_time_) {
    return std::min(1U, waiting);
  }
  if (waiting == 0) {
    return 0;
  }
  const uint32_t demand = std::max(loan.demand, loan.earlier_demand);
  return std::min(kMaxAtOnce, std::max(waiting, demand));
}

bool LoanHolder::AskIsDue(const Loan& loan, TimePoint now) const {
  const bool under_way = loan.asked != 0 && now < loan.asked_at + kAskTimeout;
  return !under_way && loan.tokens == 0 && now >= loan.ask_again_at;
}

std::vector<TokenMessage> LoanHolder::TakeMessages(TimePoint now) {
  std::vector<TokenMessage> out;
  for (auto entry = loans_.begin(); entry != loans_.end();) {
    Loan& loan = entry->second;
    Expire(loan, now);
    if (loan.tokens > 0 && loan.tickets.empty() &&
        now >= loan.last_use + kIdle) {
      loan.returned += loan.tokens;
      loan.tokens = 0;
    }
    const uint32_t want = AskIsDue(loan, now) ? Want(loan) : 0;
    if (want > 0 || loan.spent > 0 || loan.returned > 0) {
      TokenMessage& message = out.emplace_back();
      message.account = entry->first;
      message.request.set_account(entry->first);
      message.request.set_want(want);
      message.request.set_spent(loan.spent);
      message.request.set_returned(loan.returned);
      loan.spent = 0;
      loan.returned = 0;
      if (want > 0) {
        loan.asked = next_number_++;
        loan.asked_at = now;
        message.request.set_request_id(loan.asked);
      }
    }
    const bool idle = loan.tickets.empty() && loan.tokens == 0 &&
                      loan.asked == 0 && now > loan.span_ends + seconds(1);
    entry = idle ? loans_.erase(entry) : std::next(entry);
  }
  return out;
}

}  // namespace sequoialb
