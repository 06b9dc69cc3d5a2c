// The steps of an accepted item towards the replicated state: acceptance before
// the work, the intent to send before a call that may not be repeated, and the
// result before the caller sees the end of the answer.
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

// What acceptance answered.
struct Acceptance {
  proto::ItemRecord item;
  // The item had been accepted before, by an earlier copy of the request.
  bool repeated = false;
};

class ItemLedger {
 public:
  explicit ItemLedger(Host& host);
  ~ItemLedger();

  // Records a new item as this host's. On kNoQuorum the item may have been
  // recorded all the same; it is then ended in the background as not run, so
  // the answer "not run" stays true.
  Result<Acceptance> Accept(proto::ItemRecord item, TimePoint deadline);

  // Records an item and its result once that is possible, for one that ran
  // while this host was cut off. Fails when too many wait already.
  Status RecordLater(proto::ItemRecord item, const proto::CompleteItem& result);

  // Records that a call which may not be repeated is about to be sent.
  Status MarkSent(const proto::ItemRecord& item, TimePoint deadline);

  // Records the result. When it cannot be recorded before `deadline`, this goes
  // on in the background and the error says so.
  Status Complete(const proto::CompleteItem& result, TimePoint deadline);

  // Waits for the result of an item that another request or host works on.
  Result<proto::ItemRecord> AwaitResult(const std::string& id,
                                        TimePoint deadline);

  Result<proto::ItemRecord> Find(const std::string& id,
                                 const std::string& account,
                                 TimePoint deadline);

  // Results that wait to be recorded in the background.
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

// Returns a completion of an item that ended with an error.
proto::CompleteItem FailedCompletion(const proto::ItemRecord& item,
                                     const Error& error);

}  // namespace sequoialb
