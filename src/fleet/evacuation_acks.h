// Decides when an order of evacuation is acknowledged to the operator.
//
// Load pattern: an operator evacuates a failure domain while its hosts fail, so
// that some fronts do not report. The order is acknowledged once all live
// fronts have reported that they apply its version: from then on no request
// reaches the failure domain's backend servers. Fronts that are cut off must
// not delay the acknowledgement for long, and need not: their authority leases
// end within the time in which an acknowledged order must be obeyed. A state
// machine without I/O or a clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

class EvacuationAcks {
 public:
  // `all_fronts_reported` is false if the time was over first.
  using Done = std::function<void(bool all_fronts_reported)>;

  // From the commit of an order to its acknowledgement at the latest. Operators
  // wait one second for an answer before they try another host.
  static constexpr milliseconds kMaxWait{900};

  // Records the version of the evacuations that a front has applied. The report
  // of a restarted front replaces that of its earlier process.
  void OnReport(const std::string& front, uint64_t version) {
    reported_[front] = version;
  }

  // Calls `done` from a later Tick. `version` has been committed.
  void Await(uint64_t version, Done done) {
    waiting_.push_back({version, std::move(done), std::nullopt});
  }

  // `version` is the committed version, of which the wait counts from the first
  // Tick that has it; an order that is sent again is not waited for anew, and a
  // later version does not prolong the wait of orders before it.
  void Tick(const std::vector<std::string>& live_fronts, uint64_t version,
            TimePoint now);

 private:
  struct Waiting {
    uint64_t version = 0;
    Done done;
    // When the wait ends; set by the first Tick.
    std::optional<TimePoint> until;
  };

  bool AllReported(uint64_t version) const;

  // What the live fronts have reported.
  std::map<std::string, uint64_t> reported_;
  std::vector<std::string> live_fronts_;
  std::vector<Waiting> waiting_;
  uint64_t version_ = 0;
  // When the wait for orders that made `version_` ends.
  TimePoint wait_until_;
};

}  // namespace sequoialb
