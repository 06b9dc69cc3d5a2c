// The queue of online requests that wait for a slot at a front.
//
// Load pattern: traffic rises to five times its rate for seconds, and more
// requests arrive than can be served in time. Serving them first come, first
// served would make every request late. The queue first serves, in order of
// arrival, the requests that can still meet their objective; those that have
// missed it follow as long as serving them is still useful. A request that has
// waited so long that a slot would no longer help its caller is refused at once
// and not held until its deadline. Among requests of equal rank, accounts take
// turns. A pure state machine over request numbers.
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
  // The latest time to send the request so that it meets its objective.
  TimePoint send_by;
  // From then on a slot no longer helps the caller.
  TimePoint expires_at;
};

class WaitingQueue {
 public:
  void Add(WaitingRequest request);
  void Remove(uint64_t request);

  // Returns the requests in the order in which they should get slots.
  std::vector<uint64_t> Order(TimePoint now) const;

  // Returns how many requests would get a slot before one that arrives now.
  // Requests that have missed their objective would not.
  size_t Ahead(TimePoint now) const;

  // Removes and returns the requests that have expired and must be refused.
  std::vector<uint64_t> TakeExpired(TimePoint now);

  bool empty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }

 private:
  std::deque<WaitingRequest> waiting_;
};

}  // namespace sequoialb
