#include "entry/reassigned_work_runner.h"

#include "entry/chat_handler.h"
#include "entry/plain_handler.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr size_t kWorkers = 16;

}  // namespace

ReassignedWorkRunner::ReassignedWorkRunner(EntryContext& context)
    : context_(context) {
  for (size_t i = 0; i < kWorkers; ++i) {
    workers_.emplace_back([this] { RunQueuedItems(); });
  }
  context_.host.SetWorkHandlers(
      {[this](const proto::Assignment& assignment) {
         OnAssignment(assignment);
       },
       [this](const std::string& lot_id) { context_.batches.Stop(lot_id); }});
}

ReassignedWorkRunner::~ReassignedWorkRunner() { Stop(); }

void ReassignedWorkRunner::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& worker : workers_) {
    worker.join();
  }
  workers_.clear();
}

void ReassignedWorkRunner::OnAssignment(const proto::Assignment& assignment) {
  const std::string& host = context_.host.settings().host;
  const uint64_t incarnation = context_.host.incarnation();
  if (assignment.has_lot() && assignment.lot().owner() == host &&
      assignment.lot().owner_incarnation() == incarnation &&
      !context_.gate.closed()) {
    context_.batches.Add(assignment.lot());
  }
  if (!assignment.has_item() || assignment.item().owner() != host ||
      assignment.item().owner_incarnation() != incarnation) {
    return;
  }
  const proto::ItemRecord& item = assignment.item();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_ ||
      !active_items_.emplace(item.id(), item.generation()).second) {
    return;
  }
  queue_.push_back(item);
  changed_.notify_one();
}

void ReassignedWorkRunner::RunQueuedItems() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) {
      return;
    }
    const proto::ItemRecord item = queue_.front();
    queue_.pop_front();
    lock.unlock();
    if (IsChatPath(item.path())) {
      RunReassignedChatItem(context_, item);
    } else {
      RunReassignedPlainItem(context_, item);
    }
    lock.lock();
    active_items_.erase({item.id(), item.generation()});
  }
}

}  // namespace sequoialb
