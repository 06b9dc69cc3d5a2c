// Sends a front's calls, item reports and item outcomes to the store group's
// leader. Finds the leader, retries calls until their deadline, and resends
// item outcomes until they are acknowledged. Belongs to the control thread.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/hash.h"
#include "fleet/fleet_member.h"
#include "fleet/host_links.h"

namespace sequoialb {

class JobClient {
 public:
  using Done = std::function<void(const proto::JobAnswer&)>;

  JobClient(HostLinks& links, const FleetMember& member)
      : links_(links), member_(member) {}

  // `deadline` is on the clock of BootNow.
  void Call(proto::JobCall call, TimePoint deadline, TimePoint now, Done done);
  void OnAnswer(const proto::JobAnswer& answer, TimePoint now);
  void SendReport(const proto::ItemReport& report, TimePoint now);
  void OnOffers(const std::string& from, const proto::ItemOffers& offers,
                TimePoint now);
  void AddOutcome(const proto::ItemOutcome& outcome, TimePoint now);
  void OnOutcomeTaken(const proto::ItemOutcomeTaken& taken);
  void Tick(TimePoint now);

 private:
  struct Pending {
    proto::JobCall call;
    TimePoint deadline;
    TimePoint send_at;
    Done done;
  };
  struct PendingOutcome {
    proto::ItemOutcome outcome;
    TimePoint send_at;
  };

  void UpdateLeader(const std::string& leader, TimePoint now);
  // Returns the leader if it is known and in contact, otherwise the group's
  // members in turn, or the store hosts when no member is known.
  std::string Target(TimePoint now);
  void Fail(uint64_t number);
  void Send(Pending& pending, TimePoint now);

  HostLinks& links_;
  const FleetMember& member_;
  uint64_t next_call_ = RandomCallNumber();
  std::string leader_;
  // When the leader last answered, or another host named it as the leader.
  TimePoint leader_last_contact_;
  size_t next_host_ = 0;
  std::map<uint64_t, Pending> pending_;
  std::map<std::pair<std::string, std::string>, PendingOutcome> outcomes_;
};

}  // namespace sequoialb
