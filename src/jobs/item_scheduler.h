// Which items wait and which front runs which: the soft side of a store group's
// leader.
//
// Load pattern: jobs of some ten items arrive all day and in floods, each due a
// while after it came, beside bursts of online requests that take their slots
// away for seconds at a time. Items are given out by due time, a front takes as
// many as it has room for, and what comes back unfinished keeps its progress.
// In a flood due times alone make everything miss by a little, so items that
// can still be done by theirs go first, judged by how long runs take and how
// far each has come; the others get the slots that are left. An item is with
// one front at a time. A front that is not heard loses its items, so that a
// dead one delays them by no more than that silence. A new leader first
// listens, so that items which are running are not started twice. A pure state
// machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_table.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

class ItemScheduler {
 public:
  // What becomes of an item after a front has given it up.
  enum class FailureAction : uint8_t { kRetry, kFailPermanently };

  explicit ItemScheduler(const JobTable& jobs) : jobs_(jobs) {}

  // Begins to lead: forgets all, and listens before it gives anything out.
  void StartLeading(TimePoint now);

  // Takes a front's report and fills in what it should start and stop.
  void OnReport(const std::string& front, const proto::ItemReport& report,
                TimePoint now, proto::ItemOffers& answer);

  // Keeps the progress of an item that came back unfinished.
  void OnReturned(const std::string& front, const proto::ItemOutcome& outcome,
                  TimePoint now);
  // Counts a failed attempt.
  FailureAction OnFailed(const proto::ItemOutcome& outcome, TimePoint now);
  // Learns from an item that was run whole how long that takes.
  void OnCompleted(const proto::ItemOutcome& outcome, TimePoint now);
  // The item is recorded as done.
  void Remove(const std::string& job, const std::string& item);

  // Takes items from fronts that fell silent.
  void Tick(TimePoint now);

  size_t running() const { return running_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Running {
    std::string front;
    uint32_t attempt = 0;
    TimePoint offered_at;
    bool reported = false;
  };
  struct Progress {
    std::string output;
    uint64_t last_event = 0;
    bool has_last_event = false;
    // How long it has run so far.
    Duration run_time{0};
  };
  // An item that waits, with what decides its turn.
  struct Candidate {
    const JobState* job = nullptr;
    const JobItemState* item = nullptr;
    bool can_meet_deadline = false;
    int64_t due_at = 0;
  };

  const JobItemState* FindUnfinished(const Key& key) const;
  void ReconcileRunning(const std::string& front,
                        const proto::ItemReport& report, TimePoint now,
                        proto::ItemOffers& answer);
  void OfferItems(const std::string& front, size_t free_slots, TimePoint now,
                  proto::ItemOffers& answer);
  std::vector<Candidate> WaitingByPriority(TimePoint now) const;
  void AddOffer(const std::string& front, const Candidate& next, TimePoint now,
                proto::ItemOffers& answer);
  // How much longer an item will take, interruptions included.
  Duration TimeNeeded(const Key& key) const;
  static int64_t DueAt(const JobState& job);

  const JobTable& jobs_;
  TimePoint no_offers_until_;
  uint32_t next_attempt_ = 1;
  std::map<Key, Running> running_;
  std::map<Key, Progress> progress_;
  std::map<Key, TimePoint> not_before_;
  // When each front was last heard.
  std::map<std::string, TimePoint> last_report_at_;
  // Means over the runs of late, the newest weighing most.
  double mean_run_s_ = 0;
  double mean_events_ = 0;
};

}  // namespace sequoialb
