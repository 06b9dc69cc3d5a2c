// Sends a front's load reports to other fronts and takes in theirs, along the
// paths that load_report_policy.h chooses. A pure state machine beside the
// front's BackendPool.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/load_report_policy.h"
#include "gateway/backend_pool.h"

namespace sequoialb {

class LoadReporter {
 public:
  // Sends a message to each of the hosts.
  using Send = std::function<void(const std::vector<std::string>& hosts,
                                  const proto::FrontLoad& report)>;

  LoadReporter(BackendPool& pool, proto::LiveFront self, Send send)
      : pool_(pool), self_(std::move(self)), send_(std::move(send)) {}

  // Sets the live fronts, this one included.
  void SetFronts(const LiveFronts& fronts);

  // Sends the reports that are due. `waiting` is how many online requests wait
  // for a slot here. Call every kInterval.
  void Tick(uint32_t waiting, TimePoint now);

  // Records a report that has arrived, and passes it on if its sender asks for
  // that.
  void OnReport(const std::string& from, const proto::FrontLoad& report,
                TimePoint now);

  // A report is sent when it has changed, at most this often.
  static constexpr milliseconds kInterval{30};

 private:
  // What was last sent to one group of receivers.
  struct LastSent {
    LoadReport report;
    TimePoint sent_at;
  };

  // Returns whether the report is due, and remembers it as sent if it is.
  static bool TakeIfDue(const LoadReport& report, milliseconds min_interval,
                        TimePoint now, LastSent& last);

  BackendPool& pool_;
  proto::LiveFront self_;
  Send send_;
  std::vector<std::string> domain_peers_;
  std::vector<std::string> remote_relays_;
  bool is_relay_ = false;
  LastSent own_sent_;
  LastSent domain_sent_;
};

}  // namespace sequoialb
