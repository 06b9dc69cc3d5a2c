// What a control host does: answers greetings, takes announcements of backend
// servers, keeps the control group, and carries out operators' calls.
//
// Belongs to the control thread. Soft state (hosts, backend servers, demand) is
// what this host has heard; only the control group's state is durable.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "catalog/catalog.h"
#include "fleet/backend_registry.h"
#include "fleet/control_state.h"
#include "fleet/host_directory.h"
#include "fleet/host_links.h"
#include "group/consensus_group.h"
#include "rates/rate_owner.h"

namespace sequoialb {

struct ControlOptions {
  proto::HostInfo self;
  std::string data_folder;
  // Peer addresses of the control hosts that found the group.
  std::vector<Address> seeds;
  // The deployment starts for the first time.
  bool first_start = false;
  // Hosts with a disk that may be lost at once.
  size_t tolerated_losses = 1;
  // Decodes a stored catalog.
  std::function<Result<Catalog>(const std::string&)> decode_catalog;
};

class ControlService {
 public:
  // Opens the control group's disk; fails with kCorrupt or kIo.
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
  // Word of a backend server that another control host has taken.
  void OnBackendRecord(const proto::BackendRecord& record, TimePoint now);
  void Tick(TimePoint now);
  void Flush(TimePoint now);
  // Hands the leadership over before a graceful stop.
  void StepDown(TimePoint now) { group_->StepDown(now); }

  // Takes a backend server's announcement, or word that it is gone.
  void Announce(const proto::BackendRecord& record, TimePoint now);
  void DeregisterBackend(const std::string& id, TimePoint now);

  // Carries out an operator's call on the leader, here or elsewhere.
  using CallDone = std::function<void(const proto::ControlAnswer&)>;
  void Call(proto::ControlCall call, TimePoint now, CallDone done);

  const std::string& node() const { return group_->node(); }
  proto::GroupStatus status() const { return group_->status(); }

 private:
  struct PendingCall {
    proto::ControlCall call;
    CallDone done;
    TimePoint deadline;
    TimePoint send_at;
  };
  using Reply = std::function<void(const proto::ControlAnswer&)>;

  ControlService(ControlOptions options, HostLinks& links, Metrics& metrics);
  void FillReply(const proto::HostHello& hello, proto::HelloReply& reply,
                 TimePoint now) const;
  void MaybeBootstrapControlGroup(TimePoint now);
  void MaybeBootstrapStoreGroup(TimePoint now);
  std::map<std::string, GroupCandidate> Candidates(bool control,
                                                   TimePoint now) const;
  void ExecuteCall(const proto::ControlCall& call, TimePoint now,
                   const Reply& reply);
  void Retire(const std::string& host, TimePoint now, const Reply& reply);
  bool Retired(const std::string& host, TimePoint now) const;
  size_t StoresLeftWithout(const std::string& host, TimePoint now) const;
  void ForwardBackend(const proto::BackendRecord& record);
  void UpdateRateOwnership(TimePoint now);
  void SendRateMessages();
  std::optional<BucketTerms> RateLimitOf(const std::string& account);
  void RetryCalls(TimePoint now);
  void FinishOrRetryCall(uint64_t call, const proto::ControlAnswer& answer);
  void FinishCall(uint64_t call, const proto::ControlAnswer& answer);

  ControlOptions options_;
  HostLinks& links_;
  ControlState state_;
  BackendRegistry registry_;
  std::unique_ptr<ConsensusGroup> group_;
  HostDirectory directory_;
  bool bootstrap_pending_ = false;
  bool stores_proposed_ = false;
  TimePoint stores_changed_at_;
  size_t stores_seen_ = 0;
  TimePoint maintain_at_;
  // The accounts of the catalog in force, for their rates.
  std::unique_ptr<CatalogIndex> catalog_;
  RateOwner rates_;
  uint64_t next_call_ = 1;
  std::map<uint64_t, PendingCall> calls_;
  Counter& hellos_;
  Counter& announcements_;
};

}  // namespace sequoialb
