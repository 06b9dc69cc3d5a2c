// Online requests that wait for a slot at a front.
//
// Load pattern: traffic jumps to five times its rate for seconds and more
// arrives than can be served in time. First come, first served then makes
// everyone late. Here those go first whose objective can still be met, in order
// of arrival; those that missed it follow while they are worth serving. A
// request that has waited past the point where a slot would still help its
// caller is refused at once, not held to its deadline. Accounts take turns
// among requests of equal standing. A pure state machine over request numbers.
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
  // The first event must leave by then to be in time.
  TimePoint send_by;
  // From then on a slot is of no use to the caller.
  TimePoint expires_at;
};

class WaitingQueue {
 public:
  void Add(WaitingRequest request);
  void Remove(uint64_t request);

  // Returns requests in the order in which slots should go to them.
  std::vector<uint64_t> Order(TimePoint now) const;

  // How many would get a slot before a request that arrives now: those that
  // missed their objective would not.
  size_t Ahead(TimePoint now) const;

  // Removes and returns the requests that are to be refused now.
  std::vector<uint64_t> TakeExpired(TimePoint now);

  bool empty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }

 private:
  std::deque<WaitingRequest> waiting_;
};

}  // namespace sequoialb
