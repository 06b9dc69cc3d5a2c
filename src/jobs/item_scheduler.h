// Assigns the unfinished items of a store group's jobs to fronts. Runs on the
// group's leader. Its state is not replicated: a new leader rebuilds it from
// the fronts' reports.
//
// Load pattern: jobs of about ten items arrive all day and in floods, each due
// some time after its submission. Bursts of online requests take slots away
// from items for seconds at a time.
//
// Items are offered by due time, to each front as many as it has free slots for
// and not many more than other fronts run: a burst of online requests then
// finds free slots beside the items of each front, and stops few of them. An
// item that a front returns unfinished keeps its progress. Under overload,
// ordering by due time alone would make every item miss its due time by a
// little. Items that can still meet theirs therefore go first, which is
// estimated from the mean run time and the item's progress; the others get the
// slots that remain.
//
// An item is assigned to one front at a time. A front that stops reporting
// loses its items, so that a crashed front delays them by no more than that
// timeout. A new leader collects reports before it offers anything, so that
// items which are already running are not started twice.
//
// A state machine without I/O other than logging. Callers pass in the time. Due
// times only order the work and are compared with the wall clock: the group's
// clock lags after a change of the leader, and items that seem to be in time
// would then go before those that are.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/job_waits.h"
#include "proto/fleet.pb.h"
#include "quarantine/quarantine_list.h"

namespace sequoialb {

class ItemScheduler {
 public:
  explicit ItemScheduler(const JobTable& jobs) : jobs_(jobs) {}

  // Called when this host becomes the leader, with its term. Discards all
  // state, and delays offers until the fronts have had time to report.
  void StartLeading(uint64_t term, TimePoint now);

  // Processes a front's report and fills in the items to start and to stop.
  void OnReport(const std::string& front, const proto::ItemReport& report,
                TimePoint now, proto::ItemOffers& answer);

  // Saves the progress of an item that a front returned unfinished.
  void OnReturned(const std::string& front, const proto::ItemOutcome& outcome,
                  TimePoint now);
  // Ends a failed run, which has been counted, if it is the item's current one.
  void OnFailed(const std::string& front, const proto::ItemOutcome& outcome,
                TimePoint now);
  // Ends a run for which its front's catalog has no route, and returns whether
  // the route of the item's job has ended.
  bool OnRouteMissing(const std::string& front,
                      const proto::ItemOutcome& outcome, TimePoint now);
  // Updates the mean run time and event count from a completed item.
  void OnCompleted(const proto::ItemOutcome& outcome, TimePoint now);
  // Drops the state of an item whose result has been recorded.
  void Remove(const std::string& job, const std::string& item);

  // Sets the quarantines in force. Items that one covers are not offered, but
  // for one item to the front that has been granted a trial.
  void SetQuarantines(const Quarantines& quarantines) {
    quarantines_ = quarantines;
    std::erase_if(trial_offered_at_, [&](const auto& entry) {
      return std::none_of(quarantines.begin(), quarantines.end(),
                          [&](const proto::Quarantine& quarantine) {
                            return PartsOf(quarantine) == entry.first;
                          });
    });
  }

  // Returns the trials that items held back by quarantines could make, with the
  // fronts that have free slots for them.
  std::vector<proto::TrialWanted> TrialsWanted(TimePoint now) const;

  // Unassigns the items of fronts that have stopped reporting.
  void Tick(TimePoint now);

  size_t running() const { return running_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;
  // The parts of a quarantine.
  using QuarantineKey = std::vector<std::string>;
  struct Running {
    std::string front;
    uint64_t attempt = 0;
    TimePoint offered_at;
    bool reported = false;
  };
  struct Progress {
    std::string output;
    uint64_t last_event = 0;
    bool has_last_event = false;
    // Total run time of the item's attempts so far.
    Duration run_time{0};
    // Runs since the last progress that ended because their server stalled.
    uint32_t stalled_runs = 0;
  };
  // The newest catalog without a job's route, when a front first had it, and
  // when the job is offered again to fronts with this catalog.
  struct MissingRoute {
    uint64_t catalog_version = 0;
    TimePoint since;
    TimePoint retry_at;
  };
  // A waiting item and the values that it is ordered by.
  struct Candidate {
    const JobState* job = nullptr;
    const JobItemState* item = nullptr;
    bool can_meet_deadline = false;
    int64_t due_unix_ms = 0;
    // The quarantines that cover the item.
    std::set<QuarantineKey> covering;
  };

  const JobItemState* FindUnfinished(const Key& key) const;
  // Returns whether the outcome is that of the item's current run.
  bool IsCurrent(const std::string& front,
                 const proto::ItemOutcome& outcome) const;
  void ReconcileRunning(const std::string& front,
                        const proto::ItemReport& report, TimePoint now,
                        proto::ItemOffers& answer);
  // What a front reported last.
  struct FrontState {
    TimePoint reported_at;
    size_t free_slots = 0;
    uint64_t catalog_version = 0;
  };

  // Returns how many items the front may get with this report, so that the
  // items are spread over all fronts.
  size_t FairOffers(const std::string& front, size_t waiting,
                    TimePoint now) const;
  void OfferItems(const std::string& front, const FrontState& state,
                  proto::ItemOffers& answer);
  std::set<QuarantineKey> Covering(const JobItemState& item) const;
  // Returns whether the front may run an item that these quarantines cover and
  // has not been offered one just before.
  bool MayTry(const std::set<QuarantineKey>& covering, const std::string& front,
              TimePoint now) const;
  // Returns whether the item is not finished, running or paused.
  bool IsWaiting(const JobState& job, const JobItemState& item,
                 TimePoint now) const;
  // Returns the waiting items that a front with this catalog may run. A front
  // with an older catalog than the one that a job was accepted by may not know
  // the job's route.
  std::vector<Candidate> WaitingByPriority(const std::string& front,
                                           uint64_t catalog_version,
                                           TimePoint now) const;
  void AddOffer(const std::string& front, const Candidate& next, TimePoint now,
                proto::ItemOffers& answer);
  // Estimates how much longer an item will take, interruptions included.
  Duration TimeNeeded(const Key& key) const;
  static int64_t DueUnixMs(const JobState& job);
  // Logs which jobs have begun or ceased to wait for a catalog or a route.
  void LogWaits(TimePoint now);

  const JobTable& jobs_;
  Quarantines quarantines_;
  // When an item was last offered as a trial of a quarantine.
  std::map<QuarantineKey, TimePoint> trial_offered_at_;
  TimePoint no_offers_until_;
  // The term of this leader in the upper half, so that no two leaders give a
  // run the same number.
  uint64_t next_attempt_ = 1;
  std::map<Key, Running> running_;
  std::map<Key, Progress> progress_;
  std::map<Key, TimePoint> not_before_;
  std::map<std::string, FrontState> fronts_;
  // Jobs for whose items a front's catalog had no route, by job.
  std::map<std::string, MissingRoute> missing_routes_;
  JobWaits catalog_waits_;
  JobWaits route_waits_;
  // Exponentially weighted means over recent runs.
  double mean_run_s_ = 0;
  double mean_events_ = 0;
};

}  // namespace sequoialb
