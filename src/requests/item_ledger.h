// Records the steps of an item in the replicated state: its acceptance before
// any work starts, the intent to send before a call that may not be repeated,
// and the result before the caller receives the end of the answer.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "base/error.h"
#include "host/host.h"
#include "proto/ledger.pb.h"

namespace sequoialb {

// The outcome of accepting an item.
struct Acceptance {
  proto::ItemRecord item;
  // The item was already accepted, for an earlier copy of the request.
  bool repeated = false;
};

class ItemLedger {
 public:
  explicit ItemLedger(Host& host);
  ~ItemLedger();

  // Records a new item that this host owns. On kNoQuorum the item may have been
  // recorded nevertheless; it is then completed in the background as not run,
  // so that the answer "not run" remains true.
  Result<Acceptance> Accept(proto::ItemRecord item, TimePoint deadline);

  // Records an item and its result in the background, as soon as that is
  // possible, for an item that ran while this host had no contact with the
  // leader. Fails when too many results are already queued.
  Status RecordLater(proto::ItemRecord item, const proto::CompleteItem& result);

  // Records that a call which may not be repeated is about to be sent, by the
  // attempt that `item` names. Fails if another attempt was recorded before.
  Status MarkSent(const proto::ItemRecord& item, TimePoint deadline);

  // Records the result. If that has no outcome by `deadline`, it continues in
  // the background and kNoQuorum is returned.
  Status Complete(const proto::CompleteItem& result, TimePoint deadline);

  // Waits for the result of an item that another request or host is running.
  Result<proto::ItemRecord> AwaitResult(const std::string& id,
                                        TimePoint deadline);

  Result<proto::ItemRecord> Find(const std::string& id,
                                 const std::string& account,
                                 TimePoint deadline);

  // The number of results that are queued to be recorded in the background.
  size_t unrecorded();

 private:
  void Enqueue(std::vector<proto::Command> commands);
  void RunBackground();

  Host& host_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::vector<proto::Command>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

// Returns the completion of an item that failed with `error`.
proto::CompleteItem FailedCompletion(const proto::ItemRecord& item,
                                     const Error& error);

}  // namespace sequoialb
