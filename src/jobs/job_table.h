// The batch jobs of one store group: the state that the group agrees on.
//
// A job is kept whole from its acceptance on. Results stand at positions in the
// order in which they were recorded, and neither position nor content changes
// afterwards. Everything here follows from the commands alone; which host runs
// an item at the moment is soft state of the group's leader.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "group/group_state.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

// Content is shared with frozen copies of the state, so it is replaced and
// never changed.
struct JobItemState {
  std::shared_ptr<const proto::JobItem> item;
  bool finished = false;
  // Listed as one that can never be done.
  bool failed_permanently = false;
  // Set once the item is complete.
  std::shared_ptr<const std::string> result;
  uint32_t failures = 0;

  const std::string& id() const { return item->id(); }
  const std::string& output() const;
};

struct JobState {
  proto::JobRecord job;
  std::vector<JobItemState> items;
  std::map<std::string, size_t> by_id;
  // Indices of items in the order of their results.
  std::vector<uint32_t> result_order;
  bool ended = false;

  bool open() const { return !ended && result_order.size() < items.size(); }
};

class JobTable : public GroupState {
 public:
  Status Apply(const std::string& command) override;
  // A part is a job.
  StateParts Save() const override;
  void Clear() override { jobs_.clear(); }
  Status LoadPart(const std::string& part) override;

  const JobState* Find(const std::string& id) const;
  const std::map<std::string, JobState>& jobs() const { return jobs_; }

  // Tokens of an account's items that wait on a route.
  uint64_t WaitingTokens(const std::string& account,
                         const std::string& route_host) const;

 private:
  Status Submit(const proto::JobRecord& record);
  void RecordResult(const proto::StoreCommand::ItemDone& done);
  static void Index(JobState& job);

  std::map<std::string, JobState> jobs_;
};

}  // namespace sequoialb
