// The service of a store host, which is a member of the store group. On the
// group's leader it also accepts batch jobs, offers items to fronts, records
// their results and answers reads. Belongs to the control thread.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "fleet/host_links.h"
#include "group/consensus_group.h"
#include "jobs/item_scheduler.h"
#include "jobs/job_clock.h"
#include "jobs/job_table.h"

namespace sequoialb {

// Why an item is recorded as dead.
enum class DeathReason : uint8_t {
  // A backend server answered that the item can never be done.
  kNeverPossible,
  // The item's route has been removed.
  kRouteEnded,
  // As many runs failed as the job allows.
  kFailedRuns,
  // The time limit of the job's submission has passed.
  kTimeLimit,
};

class StoreService {
 public:
  // Opens the store group's data on disk; fails with kCorrupt or kIo.
  static Result<std::unique_ptr<StoreService>> Open(
      const proto::HostInfo& self, const std::string& data_folder,
      size_t tolerated_losses, FileSystem& files, HostLinks& links,
      Metrics& metrics, TimePoint now);

  // Applies the known hosts and the last confirmed heartbeat reply of the
  // control hosts.
  void OnFleetUpdate(const std::map<std::string, proto::HostInfo>& hosts,
                     const proto::HelloReply& confirmed, TimePoint now);

  void OnGroupMessage(const proto::RaftMessage& message, TimePoint now);
  void OnCall(const std::string& from, const proto::JobCall& call,
              TimePoint now);
  void OnReport(const std::string& from, const proto::ItemReport& report,
                TimePoint now);
  void OnOutcome(const std::string& from, const proto::ItemOutcome& outcome,
                 TimePoint now);
  void Tick(TimePoint now);
  void Flush(TimePoint now);
  void StepDown(TimePoint now) { group_->StepDown(now); }

  const std::string& node() const { return group_->node(); }
  proto::GroupStatus status() const { return group_->status(); }
  // Returns the trials that items held back by quarantines could make; empty
  // unless this host leads the group.
  std::vector<proto::TrialWanted> TrialsWanted(TimePoint now) const {
    return group_->leads() ? scheduler_.TrialsWanted(now)
                           : std::vector<proto::TrialWanted>();
  }

 private:
  using ItemKey = std::pair<std::string, std::string>;

  StoreService(const proto::HostInfo& self, HostLinks& links, Metrics& metrics);
  void Answer(const std::string& to, proto::JobAnswer answer);
  void ReadResults(const proto::JobCall& call, proto::JobAnswer& answer) const;
  void ReadBody(const proto::JobCall& call, proto::JobAnswer& answer) const;
  void ProposeCall(const std::string& from, const proto::JobCall& call,
                   TimePoint now);
  // Records a result and then acknowledges the outcome to the front that sent
  // it, if any.
  void RecordResult(const std::string& front, const proto::ItemName& name,
                    proto::StoreCommand::ItemDone result, TimePoint now);
  void RecordDeath(const std::string& front, const proto::ItemOutcome& outcome,
                   DeathReason reason, TimePoint now);
  // Counts a failed run, and records the item's death if it was the last that
  // the job allows.
  void CountFailure(const std::string& front, const proto::ItemOutcome& outcome,
                    TimePoint now);
  void OnFailureCounted(const std::string& front,
                        const proto::ItemOutcome& outcome,
                        const Status& counted, TimePoint now);
  // Returns whether this host may act as the group's leader. Begins to lead
  // when it has become the leader since the last call.
  bool ConfirmLeadership(TimePoint now);
  void AcknowledgeOutcome(const std::string& to, const proto::ItemName& name);
  // Proposes a command with the present value of the group's clock.
  void Propose(proto::StoreCommand& command, TimePoint now,
               ConsensusGroup::DoneCallback done);
  void ExpireJobs(TimePoint now);

  const proto::HostInfo self_;
  HostLinks& links_;
  JobTable jobs_;
  JobClock clock_;
  ItemScheduler scheduler_{jobs_};
  std::unique_ptr<ConsensusGroup> group_;
  std::map<std::string, GroupCandidate> candidates_;
  std::set<std::string> retiring_hosts_;
  // True once a confirmed heartbeat reply has named the group's initial
  // members.
  bool knows_initial_members_ = false;
  // The term in which this host began to lead last.
  uint64_t leading_term_ = 0;
  // Items of which a result or a failure is being recorded.
  std::set<ItemKey> recording_;
  TimePoint maintain_at_;
  TimePoint expire_at_;
  TimePoint commit_clock_at_;
  Counter& accepted_;
  Counter& refused_;
  Counter& recorded_;
};

}  // namespace sequoialb
