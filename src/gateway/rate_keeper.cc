#include "gateway/rate_keeper.h"

#include <algorithm>
#include <utility>

#include "fleet/boot_clock.h"

namespace sequoialb {
namespace {

// Spent and returned tokens are reported this often.
constexpr milliseconds kReportInterval{25};
// An owner answers within a few milliseconds; after this it is taken for lost.
constexpr milliseconds kOwnerTime{120};

}  // namespace

RateKeeper::RateKeeper(EventLoop& loop, Metrics& metrics, Ask ask)
    : loop_(loop),
      ask_(std::move(ask)),
      taken_(metrics.counter("sequoialb_rate_tokens_total")),
      refused_(metrics.counter("sequoialb_rate_refusals_total")),
      unanswered_(metrics.counter("sequoialb_rate_owner_unanswered_total")) {}

void RateKeeper::Take(const Account& account, Done done) {
  // Loans must end while the machine is suspended.
  const TimePoint now = BootNow();
  Waiting waiting;
  waiting.account = account.name;
  waiting.terms = {account.rate, account.burst};
  waiting.ticket = holder_.Begin(account.name, now);
  waiting.deadline = now + kOwnerTime;
  waiting.done = std::move(done);
  if (Poll(waiting, now)) {
    ArmTimer();
    return;
  }
  waiting_.push_back(std::move(waiting));
  SendMessages();
  ArmTimer();
}

// Returns true when the answer has been given.
bool RateKeeper::Poll(Waiting& waiting, TimePoint now) {
  const LoanHolder::Outcome outcome =
      holder_.Poll(waiting.account, waiting.ticket, now);
  if (outcome.answer == LoanHolder::Answer::kTaken) {
    taken_.Add();
    waiting.done({true, 0});
    return true;
  }
  if (outcome.answer == LoanHolder::Answer::kRefused) {
    refused_.Add();
    waiting.done({false, outcome.retry_after_ms});
    return true;
  }
  if (now < waiting.deadline) {
    return false;
  }
  unanswered_.Add();
  holder_.Abandon(waiting.account, waiting.ticket);
  const int64_t wait_ms =
      reserve_.Take(waiting.account, waiting.terms, fronts_, 1, true, now);
  (wait_ms == 0 ? taken_ : refused_).Add();
  waiting.done({wait_ms == 0, wait_ms});
  return true;
}

void RateKeeper::PollAll() {
  const TimePoint now = BootNow();
  std::deque<Waiting> still;
  std::deque<Waiting> all;
  all.swap(waiting_);
  for (Waiting& waiting : all) {
    if (!Poll(waiting, now)) {
      still.push_back(std::move(waiting));
    }
  }
  // Answers may have begun new waits; those came later.
  still.insert(still.end(), std::make_move_iterator(waiting_.begin()),
               std::make_move_iterator(waiting_.end()));
  waiting_ = std::move(still);
  SendMessages();
  ArmTimer();
}

void RateKeeper::OnReply(const proto::TokenReply& reply) {
  holder_.OnReply(reply, BootNow());
  PollAll();
}

void RateKeeper::OnRecall(const proto::TokenRecall& recall) {
  holder_.OnRecall(recall);
  SendMessages();
}

void RateKeeper::SendMessages() {
  for (const TokenMessage& message : holder_.TakeMessages(BootNow())) {
    ask_(message.request);
  }
}

void RateKeeper::ArmTimer() {
  if (timer_ != 0 || (waiting_.empty() && holder_.idle())) {
    return;
  }
  timer_ = loop_.RunAt(loop_.now() + kReportInterval, [this] {
    timer_ = 0;
    PollAll();
  });
}

}  // namespace sequoialb
