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

class ItemBoard {
 public:
  // What becomes of an item after a front has given it up.
  enum class Verdict : uint8_t { kRunAgain, kDead };

  explicit ItemBoard(const JobTable& jobs) : jobs_(jobs) {}

  // Begins to lead: forgets all, and listens before it gives anything out.
  void Lead(TimePoint now);

  // Takes a front's report and fills in what it should start and stop.
  void OnReport(const std::string& front, const proto::ItemReport& report,
                TimePoint now, proto::ItemOffers& answer);

  // Keeps the progress of an item that came back unfinished.
  void Returned(const std::string& front, const proto::ItemOutcome& outcome,
                TimePoint now);
  // Counts a failed attempt.
  Verdict Failed(const proto::ItemOutcome& outcome, TimePoint now);
  // Learns from an item that was run whole how long that takes.
  void Completed(const proto::ItemOutcome& outcome, TimePoint now);
  // The item is recorded as done.
  void Forget(const std::string& job, const std::string& item);

  // Takes items from fronts that fell silent.
  void Tick(TimePoint now);

  size_t running() const { return running_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Running {
    std::string front;
    uint32_t attempt = 0;
    TimePoint given_at;
    bool reported = false;
  };
  struct Progress {
    std::string output;
    uint64_t last_event = 0;
    bool has_last_event = false;
    // How long it has run so far.
    Duration active{0};
  };
  // An item that waits, with what decides its turn.
  struct Candidate {
    const KeptJob* job = nullptr;
    const KeptItem* item = nullptr;
    bool winnable = false;
    int64_t due_at = 0;
  };

  const KeptItem* Wanted(const Key& key) const;
  void TakeReported(const std::string& front, const proto::ItemReport& report,
                    TimePoint now, proto::ItemOffers& answer);
  void Offer(const std::string& front, size_t room, TimePoint now,
             proto::ItemOffers& answer);
  std::vector<Candidate> Waiting(TimePoint now) const;
  void AddOffer(const std::string& front, const Candidate& next, TimePoint now,
                proto::ItemOffers& answer);
  // How much longer an item will take, interruptions included.
  Duration TimeNeeded(const Key& key) const;
  static int64_t DueAt(const KeptJob& job);

  const JobTable& jobs_;
  TimePoint listen_until_;
  uint32_t next_attempt_ = 1;
  std::map<Key, Running> running_;
  std::map<Key, Progress> progress_;
  std::map<Key, TimePoint> not_before_;
  // When each front was last heard.
  std::map<std::string, TimePoint> fronts_;
  // Means over the runs of late, the newest weighing most.
  double typical_run_s_ = 0;
  double typical_events_ = 0;
};

}  // namespace sequoialb
