// Decides which front may send one request in spite of the quarantines that
// cover it, and when.
//
// Load pattern: servers end one after the other for reasons of their own while
// batch jobs are running. A part that few requests share is in several of these
// crashes by chance and is quarantined. From then on nothing with the part is
// sent, so that no answer can show that it is harmless, and accepted items
// would wait until the quarantine ends by the clock. A trial that is answered
// ends the quarantine. A trial whose server crashes costs one more crash, so
// there are few, with pauses between them.
//
// The number of trials and the front process that may make the last one are
// kept in the quarantine, in the control group's log. A new leader goes on
// counting, and a front that is cut off or restarts cannot make a trial twice.
// A granted trial counts whether it is made or not.
//
// A pure state machine on the control group's leader.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_list.h"

namespace sequoialb {

class TrialSchedule {
 public:
  // Records that a heartbeat of this process of a front has arrived. A front
  // that is leaving gets no trials.
  void AddFront(const std::string& host, uint64_t incarnation, bool leaving,
                TimePoint now);

  // Replaces the work that `sender` holds back.
  void SetWanted(
      const std::string& sender,
      const google::protobuf::RepeatedPtrField<proto::TrialWanted>& wanted,
      TimePoint now);

  // Returns the trial to grant now, if any. The request will be covered by all
  // quarantines of the grant, so it counts as a trial of each.
  std::optional<proto::ControlCommand::GrantTrial> Next(
      const Quarantines& active, TimePoint now);

  // How long to wait before each trial of a quarantine: the first since the
  // quarantine began, the others since the one before. There are no more: the
  // users' rules allow three harmful requests after a quarantine has to be in
  // force.
  static constexpr std::array<milliseconds, 3> kDelays = {
      milliseconds(0), milliseconds(2'500), milliseconds(7'500)};
  // What a host has said counts for this long.
  static constexpr milliseconds kMaxAge{1'500};

 private:
  struct Front {
    uint64_t incarnation = 0;
    bool leaving = false;
    TimePoint heard_at;
  };
  struct Wanted {
    google::protobuf::RepeatedPtrField<proto::TrialWanted> list;
    TimePoint at;
  };
  // A quarantine's trials, and when this leader first saw that number.
  struct Progress {
    uint32_t trials = 0;
    TimePoint since;
  };

  void UpdateProgress(const Quarantines& active, TimePoint now);
  bool IsDue(const std::vector<std::string>& parts, TimePoint now) const;
  // Returns a front that may make the trial, or nullptr.
  const std::string* ChooseFront(const proto::TrialWanted& wanted,
                                 TimePoint now) const;

  std::map<std::string, Front> fronts_;
  std::map<std::string, Wanted> wanted_;
  std::map<std::vector<std::string>, Progress> progress_;
  // Trials are spread over the fronts that could make them.
  size_t next_front_ = 0;
};

}  // namespace sequoialb
