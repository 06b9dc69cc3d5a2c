// The queue of online requests that wait for a slot at a front.
//
// Load pattern: traffic rises to five times its rate for seconds, and more
// requests arrive than can be served in time. Serving them first come, first
// served would make every request late. The queue first serves, in order of
// arrival, the requests that can still meet their latency target; those that
// have missed it follow as long as serving them is still useful. Callers that
// return after a refusal get one slot for several of new callers, who can still
// be answered in time at their first attempt. A request that has waited so long
// that a slot would no longer help its caller is refused at once and not held
// until its deadline. Among requests of equal rank, accounts take turns. A pure
// state machine over request numbers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

struct WaitingRequest {
  uint64_t request = 0;
  std::string service;
  std::string account;
  int priority = 0;
  // The caller was refused before and has come back.
  bool returning = false;
  // The latest time to send the request so that it meets its latency target.
  TimePoint send_by;
  // From then on a slot no longer helps the caller.
  TimePoint expires_at;
};

class WaitingQueue {
 public:
  void Add(WaitingRequest request);
  void Remove(uint64_t request);
  // Removes a request that has got a slot.
  void RecordServed(uint64_t request);

  // Returns the requests in the order in which they should get slots.
  std::vector<uint64_t> Order(TimePoint now) const;

  // Returns how many requests would get a slot before one that arrives now.
  // Requests that have missed their latency target would not, and few of
  // returning callers would before a new one.
  size_t Ahead(bool returning, TimePoint now) const;

  // Removes and returns the requests that have expired and must be refused.
  std::vector<uint64_t> TakeExpired(TimePoint now);

  bool empty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }

 private:
  std::deque<WaitingRequest> waiting_;
  // How many requests of new callers got slots since one of a returning caller.
  int64_t new_since_returning_ = 0;
};

}  // namespace sequoialb
