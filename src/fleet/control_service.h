// The service of a control host: answers the heartbeats of all hosts, records
// the announcements of backend servers, runs this host's member of the control
// group, and executes operators' calls.
//
// Belongs to the control thread. Hosts, backend servers and demand are soft
// state, built from the messages that this host has received; only the control
// group's state is durable.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "catalog/catalog.h"
#include "fleet/backend_registry.h"
#include "fleet/control_state.h"
#include "fleet/evacuation_acks.h"
#include "fleet/host_directory.h"
#include "fleet/host_links.h"
#include "fleet/quarantine_service.h"
#include "group/consensus_group.h"
#include "rates/rate_owner.h"

namespace sequoialb {

struct ControlOptions {
  proto::HostInfo self;
  std::string data_folder;
  // Peer addresses of the control group's initial members.
  std::vector<Address> seeds;
  // True when the deployment starts for the first time.
  bool first_start = false;
  // How many hosts with a disk may be lost at the same time.
  size_t tolerated_losses = 1;
  // Decodes a stored catalog.
  std::function<Result<Catalog>(const std::string&)> decode_catalog;
};

class ControlService {
 public:
  // Opens the control group's data folder; fails with kCorrupt or kIo.
  static Result<std::unique_ptr<ControlService>> Open(ControlOptions options,
                                                      FileSystem& files,
                                                      HostLinks& links,
                                                      Metrics& metrics,
                                                      TimePoint now);

  void OnHello(const std::string& from, const proto::HostHello& hello,
               TimePoint now);
  void OnRaftMessage(const proto::RaftMessage& message, TimePoint now);
  void OnCall(const std::string& from, const proto::ControlCall& call,
              TimePoint now);
  void OnAnswer(const proto::ControlAnswer& answer);
  void OnTokenRequest(const std::string& from,
                      const proto::TokenRequest& request, TimePoint now);
  // Merges a backend server's record that another control host forwarded.
  void OnBackendRecord(const proto::BackendRecord& record, TimePoint now);
  // Merges the records that another control host has sent with its reply to a
  // heartbeat of this host.
  void OnReply(const std::string& from, const proto::HelloReply& reply,
               TimePoint now);
  void Tick(TimePoint now);
  void Flush(TimePoint now);
  // Transfers the leadership before a graceful stop.
  void StepDown(TimePoint now) { group_->StepDown(now); }

  // Record a backend server's announcement or its deregistration, and forward
  // changes to the other control hosts.
  void Announce(const proto::BackendRecord& record, TimePoint now);
  void DeregisterBackend(const std::string& id, TimePoint now);

  // Executes an operator's call on the leader, which may be another host.
  // `done` gets the answer, or kNoQuorum when no leader confirms the call in
  // time.
  using CallDone = std::function<void(const proto::ControlAnswer&)>;
  void Call(proto::ControlCall call, TimePoint now, CallDone done);

  // Fills in what this host reports in its heartbeats about its disk and group.
  void FillInfo(proto::HostInfo& info) const;

  const std::string& node() const { return group_->node(); }
  proto::GroupStatus status() const { return group_->status(); }
  // Returns the store group's initial members, none before it is founded.
  const std::vector<std::string>& initial_store_members() const {
    return state_.initial_store_members();
  }

 private:
  struct PendingCall {
    proto::ControlCall call;
    CallDone done;
    TimePoint deadline;
    TimePoint send_at;
  };
  using Reply = std::function<void(const proto::ControlAnswer&)>;
  // A call that another host has forwarded and may send again.
  struct ForwardedCall {
    TimePoint forget_at;
    bool succeeded = false;
  };

  ControlService(ControlOptions options, HostLinks& links, Metrics& metrics);
  void FillReply(const proto::HostHello& hello, proto::HelloReply& reply,
                 TimePoint now) const;
  void UpdateLiveFronts(TimePoint now);
  void MaybeBootstrapControlGroup(TimePoint now);
  // Returns the initial members if all founding seeds have reported that they
  // wait for the founding too.
  std::optional<std::vector<std::string>> FoundingMembers() const;
  void MaybeBootstrapStoreGroup(TimePoint now);
  std::map<std::string, GroupCandidate> Candidates(bool control,
                                                   TimePoint now) const;
  void ExecuteCall(const proto::ControlCall& call, TimePoint now,
                   const Reply& reply);
  void Answer(const std::string& to, uint64_t call,
              proto::ControlAnswer answer);
  void SetEvacuation(const proto::ControlCall& call, TimePoint now,
                     const Reply& reply);
  bool IsKnownDomain(const std::string& failure_domain) const;
  void UpdateEvacuations(TimePoint now);
  // Returns the error for an order that is refused for what the directory of
  // hosts says: kNoQuorum, so that the order is sent again, while this host may
  // not have received a heartbeat from every host yet.
  ErrorCode RefusalByDirectory(ErrorCode refusal, TimePoint now) const;
  void Retire(const std::string& host, TimePoint now, const Reply& reply);
  bool Retired(const std::string& host, TimePoint now) const;
  size_t StoresLeftWithout(const std::string& host, TimePoint now) const;
  void ForwardBackend(const proto::BackendRecord& record);
  void SetRateOwner(uint64_t epoch, const std::string& owner, TimePoint now);
  void UpdateRateOwnership(TimePoint now);
  void SendRateMessages();
  std::optional<RateLimit> RateLimitOf(const std::string& account);
  void RetryCalls(TimePoint now);
  void FinishOrRetryCall(uint64_t call, const proto::ControlAnswer& answer);
  void FinishCall(uint64_t call, const proto::ControlAnswer& answer);

  ControlOptions options_;
  HostLinks& links_;
  ControlState state_;
  BackendRegistry registry_;
  std::unique_ptr<ConsensusGroup> group_;
  HostDirectory directory_;
  QuarantineService quarantines_;
  // The fronts whose heartbeats arrive and that are not leaving, as of the last
  // tick.
  google::protobuf::RepeatedPtrField<proto::LiveFront> live_fronts_;
  uint64_t live_fronts_hash_ = 0;
  // Peer addresses of the hosts that found the control group together, until
  // this host has founded it, adopted it, or found that it is none of its
  // members.
  std::vector<std::string> founding_seeds_;
  bool stores_proposed_ = false;
  // Hosts whose retirement is proposed and not committed yet.
  std::set<std::string> retire_proposed_;
  TimePoint stores_changed_at_;
  size_t stores_seen_ = 0;
  TimePoint maintain_at_;
  // The catalog in force, decoded to look up the accounts' rate limits.
  std::unique_ptr<CatalogIndex> catalog_;
  RateOwner rates_;
  uint64_t next_call_ = RandomCallNumber();
  std::map<uint64_t, PendingCall> calls_;
  // When the process started, or went on after a pause.
  TimePoint listening_since_;
  TimePoint last_tick_at_;
  EvacuationAcks evacuation_acks_;
  // Orders of evacuation that other hosts have forwarded, by host and call.
  // Such an order is executed once: executed again when it is sent again, it
  // would undo the opposite order that was committed in between.
  std::map<std::pair<std::string, uint64_t>, ForwardedCall> forwarded_calls_;
  Counter& hellos_;
  Counter& announcements_;
  Gauge& evacuated_domains_;
};

}  // namespace sequoialb
