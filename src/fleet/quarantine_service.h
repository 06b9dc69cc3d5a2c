// A control host's part in quarantines: takes in the fronts' reports of
// crashes, has the leader commit the decisions of CrashAnalysis to the control
// group's log, and tells the hosts the quarantines in force.
//
// Reports go to every control host, so that a new leader can decide at once.
// Quarantines are durable: after a loss of power of all hosts no server has to
// crash again for the same part. Each ends by itself, in case the servers
// have been mended or the part was not to blame; one that begins again soon
// lasts twice as long. Before that, trials can show that a part is harmless
// (trial_schedule.h). Belongs to the control thread.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/control_state.h"
#include "observe/metrics.h"
#include "quarantine/crash_analysis.h"
#include "quarantine/trial_schedule.h"

namespace sequoialb {

class QuarantineService {
 public:
  // Proposes a command to the control group; `done` gets the outcome.
  using Propose =
      std::function<void(const proto::ControlCommand& command,
                         const std::function<void(const Status&)>& done)>;

  QuarantineService(const ControlState& state, Metrics& metrics);

  // Takes the crashes, sound answers and wanted trials out of a heartbeat.
  void OnHello(const std::string& from, const proto::HostHello& hello,
               TimePoint now);

  // Returns the number of the last crash received from this process of a front.
  uint64_t CrashCursor(const proto::HostInfo& front) const;

  // Adds the quarantines, and the parts to watch, to a confirmed leader's
  // reply.
  void FillReply(const proto::HostHello& hello, proto::HelloReply& reply) const;

  void Tick(bool confirmed_leader, TimePoint now, const Propose& propose);

  // How long a quarantine lasts at first, and at most.
  static constexpr milliseconds kQuarantineTime{60'000};
  static constexpr milliseconds kMaxQuarantineTime{3'600'000};

 private:
  struct Reporter {
    uint64_t incarnation = 0;
    uint64_t cursor = 0;
  };
  // How long a quarantine lasts, when it ends, and the trials it has had.
  struct Term {
    milliseconds length{0};
    int64_t until_unix_ms = 0;
    uint32_t trials = 0;
  };

  // Returns the change that is due, an expiry before others.
  std::optional<QuarantineChange> NextChange(TimePoint now);
  // Returns when a quarantine of the parts that begins now ends.
  int64_t NextTermEnd(const std::vector<std::string>& parts);
  void Begin(const QuarantineChange& change, const Propose& propose);
  void End(const QuarantineChange& change, const Propose& propose);
  void GrantTrial(const proto::ControlCommand::GrantTrial& grant,
                  const Propose& propose);
  // Returns how many trials the quarantine of exactly these parts has had.
  uint32_t TrialsOf(const std::vector<std::string>& parts) const;

  const ControlState& state_;
  CrashAnalysis analysis_;
  TrialSchedule trials_;
  std::map<std::string, Reporter> reporters_;
  std::vector<std::string> watched_;
  // The last term of each combination, if this leader began it.
  std::map<std::vector<std::string>, Term> terms_;
  TimePoint decide_at_;
  // Proposed commands whose outcome is not known.
  size_t pending_ = 0;
  Counter& crashes_;
  Counter& begun_;
  Gauge& active_;
};

}  // namespace sequoialb
