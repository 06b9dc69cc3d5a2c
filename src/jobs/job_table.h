// The batch jobs of one store group: the group's replicated state.
//
// A job is stored with all its items once it is accepted. Results are listed in
// the order in which they were recorded, and neither the position nor the
// content of a result changes afterwards. The state depends only on the applied
// commands. Which front currently runs an item is not part of it: the group's
// leader tracks that in ItemScheduler.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "group/group_state.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

// An item of a job. Its content and result are shared with snapshots of the
// state that are being written, so they are replaced as a whole and never
// modified.
struct JobItemState {
  std::shared_ptr<const proto::JobItem> item;
  // True once the result is recorded, also of an item that failed permanently.
  bool finished = false;
  // The item finished because it can never be completed.
  bool failed_permanently = false;
  // Set once the item is complete.
  std::shared_ptr<const std::string> result;
  // How many runs have failed, and which, so that none is counted again when
  // its outcome is sent again. Runs that earlier versions counted are not
  // named.
  uint32_t failures = 0;
  std::vector<uint64_t> failed_attempts;

  bool HasCounted(uint64_t attempt) const;
  const std::string& id() const { return item->id(); }
  const std::string& output() const;
};

struct JobState {
  proto::JobRecord job;
  std::vector<JobItemState> items;
  std::map<std::string, size_t> by_id;
  // Indices of the finished items, in the order in which they were recorded.
  std::vector<uint32_t> result_order;
  bool ended = false;

  bool open() const { return !ended && result_order.size() < items.size(); }
  // Returns whether as many runs of the item have failed as the job allows.
  bool IsSpent(const JobItemState& item) const {
    return item.failures > 0 && item.failures >= job.attempts();
  }
  // Returns nullptr when the job has no such item.
  const JobItemState* FindItem(const std::string& id) const;
};

class JobTable : public GroupState {
 public:
  Status Apply(const std::string& command) override;
  // Each part of the saved state is one job with the clock.
  StateParts Save() const override;
  void Clear() override {
    jobs_.clear();
    undated_.clear();
    clock_ms_ = 0;
  }
  Status LoadPart(const std::string& part) override;

  const JobState* Find(const std::string& id) const;
  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  // The last committed value of the group's clock.
  int64_t clock_ms() const { return clock_ms_; }

  // Returns the tokens of an account's unfinished items on the route of
  // `record`. Jobs of earlier versions count on all routes of their host.
  uint64_t WaitingTokens(const proto::JobRecord& record) const;

  // Returns at most `most` closed jobs whose results no longer need to be kept.
  std::vector<std::string> ClosedJobsToDrop(int64_t clock_ms,
                                            size_t most) const;

 private:
  Status Submit(const proto::JobRecord& record);
  void AdvanceClock(int64_t clock_ms);
  void RecordResult(const proto::StoreCommand::ItemDone& done);
  // Fails with kConflict when the run has been counted before.
  Status CountFailure(const proto::StoreCommand::ItemFailed& failed);
  static void Index(JobState& job);

  std::map<std::string, JobState> jobs_;
  int64_t clock_ms_ = 0;
  // Jobs from the snapshots of earlier versions, which have no clock. They age
  // from the next command that has one.
  std::vector<std::string> undated_;
};

}  // namespace sequoialb
