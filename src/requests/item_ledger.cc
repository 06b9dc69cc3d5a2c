#include "requests/item_ledger.h"

#include "ledger/command_results.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kPollInterval{100};
constexpr seconds kBackgroundTimeout{5};
constexpr size_t kMaxUnrecorded = 10'000;

}  // namespace

proto::CompleteItem FailedCompletion(const proto::ItemRecord& item,
                                     const Error& error) {
  proto::CompleteItem completion;
  completion.set_item_id(item.id());
  completion.set_generation(item.generation());
  completion.set_attempt(item.sent_attempt());
  completion.set_state(error.run == RunState::kUnknown ? proto::ITEM_UNKNOWN
                                                       : proto::ITEM_FAILED);
  completion.set_error_name(std::string(ErrorName(error.code)));
  completion.set_result(error.detail);
  completion.set_http_status(HttpStatus(error.code));
  completion.set_not_run(error.run == RunState::kNotRun);
  completion.set_unix_ms(UnixMs());
  return completion;
}

ItemLedger::ItemLedger(Host& host)
    : host_(host), thread_([this] { RunBackground(); }) {}

ItemLedger::~ItemLedger() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

Result<Acceptance> ItemLedger::Accept(proto::ItemRecord item,
                                      TimePoint deadline) {
  item.set_owner(host_.settings().host);
  item.set_owner_incarnation(host_.incarnation());
  item.set_accepted_unix_ms(UnixMs());
  proto::Command command;
  *command.mutable_accept_item()->mutable_item() = item;
  const auto result = host_.Propose(command, deadline);
  if (!result) {
    Error error = result.error();
    error.detail = "the request could not be recorded in time; nothing was run";
    error.run = RunState::kNotRun;
    error.retry_after_ms = 1'000;
    item.set_generation(1);
    proto::Command completion;
    *completion.mutable_complete_item() = FailedCompletion(item, error);
    Enqueue({command, completion});
    return tl::unexpected<Error>(error);
  }
  const Status status = StatusOf(*result);
  if (!status) {
    return tl::unexpected<Error>(status.error());
  }
  return Acceptance{result->item(), result->repeated()};
}

Status ItemLedger::RecordLater(proto::ItemRecord item,
                               const proto::CompleteItem& result) {
  if (unrecorded() >= kMaxUnrecorded) {
    return Fail(ErrorCode::kOverloaded,
                "too many results are waiting to be recorded", RunState::kRan);
  }
  item.set_owner(host_.settings().host);
  item.set_owner_incarnation(host_.incarnation());
  proto::Command accept;
  *accept.mutable_accept_item()->mutable_item() = std::move(item);
  proto::Command complete;
  *complete.mutable_complete_item() = result;
  Enqueue({accept, complete});
  return {};
}

Status ItemLedger::MarkSent(const proto::ItemRecord& item, TimePoint deadline) {
  proto::Command command;
  command.mutable_mark_sent()->set_item_id(item.id());
  command.mutable_mark_sent()->set_generation(item.generation());
  command.mutable_mark_sent()->set_attempt(item.sent_attempt());
  const auto result = host_.Propose(command, deadline);
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  return StatusOf(*result);
}

Status ItemLedger::Complete(const proto::CompleteItem& result,
                            TimePoint deadline) {
  proto::Command command;
  *command.mutable_complete_item() = result;
  const auto outcome = host_.Propose(command, deadline);
  if (!outcome) {
    Enqueue({command});
    return Fail(ErrorCode::kNoQuorum,
                "the result could not be recorded yet; ask for it later",
                RunState::kUnknown);
  }
  const Status status = StatusOf(*outcome);
  if (!status) {
    Error error = status.error();
    error.run = RunState::kUnknown;
    return tl::unexpected<Error>(error);
  }
  return {};
}

Result<proto::ItemRecord> ItemLedger::Find(const std::string& id,
                                           const std::string& account,
                                           TimePoint deadline) {
  proto::Query query;
  query.set_item_id(id);
  query.set_account(account);
  const auto reply = host_.Query(query, deadline);
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  if (!reply->found()) {
    return Fail(ErrorCode::kNotFound, "no item " + id);
  }
  return reply->item();
}

Result<proto::ItemRecord> ItemLedger::AwaitResult(const std::string& id,
                                                  TimePoint deadline) {
  while (true) {
    Result<proto::ItemRecord> item = Find(id, "", deadline);
    if (!item || item->state() != proto::ITEM_RUNNING) {
      return item;
    }
    if (Clock::now() + kPollInterval >= deadline) {
      return Fail(ErrorCode::kDeadlineExceeded,
                  "item " + id + " is still running; ask for its result later",
                  RunState::kUnknown);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void ItemLedger::Enqueue(std::vector<proto::Command> commands) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(commands));
  }
  changed_.notify_all();
}

size_t ItemLedger::unrecorded() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return queue_.size();
}

void ItemLedger::RunBackground() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) {
      return;
    }
    const std::vector<proto::Command> commands = queue_.front();
    lock.unlock();
    bool recorded = true;
    for (const proto::Command& command : commands) {
      recorded =
          recorded &&
          host_.Propose(command, Clock::now() + kBackgroundTimeout).has_value();
    }
    lock.lock();
    if (recorded) {
      queue_.pop_front();
    }
  }
}

}  // namespace sequoialb
