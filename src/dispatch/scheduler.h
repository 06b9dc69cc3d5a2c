// The dispatcher of one failure domain, as a pure state machine: it grants
// slots of the domain's backend servers to requests of any host.
//
// Hosts request a slot, run the request on the server themselves and release
// the slot, so no response passes through the dispatcher. All requests for a
// service and model are queued in one place per domain, for three reasons: the
// order among accounts is fair across all hosts, a server without priorities of
// its own never gets more requests than it should run, and batch work can be
// revoked as soon as an online request finds no slot.
//
// Callers pass each event with the current time; TakeActions returns the
// actions to perform.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "dispatch/backend_table.h"
#include "dispatch/dispatch_policy.h"
#include "dispatch/fair_queue.h"
#include "proto/peer.pb.h"
#include "routing/routing.h"

namespace sequoialb {

// A request for a slot, with its deadline on this host's clock.
struct PendingRequest {
  proto::SlotRequest request;
  TimePoint deadline;
  TimePoint received_at;
};

// Grants a slot to the requesting host.
struct GrantSlot {
  std::string to;
  uint64_t request_id;
  uint64_t slot;
  proto::Backend backend;
};

// Refuses a request that was not run.
struct RefuseSlot {
  std::string to;
  uint64_t request_id;
  Error error;
};

// Orders a host to stop its batch request and to release the slot.
struct RevokeSlot {
  std::string to;
  uint64_t slot;
};

// Forwards a request to the dispatcher of another domain.
struct ForwardRequest {
  std::string failure_domain;
  proto::SlotRequest request;
};

using DispatchAction =
    std::variant<GrantSlot, RefuseSlot, RevokeSlot, ForwardRequest>;

// Free slots of another domain, from its dispatcher's last load report less the
// requests forwarded there since.
struct RemoteLoad {
  uint32_t free_slots = 0;
  uint32_t slots = 0;
  uint32_t servers = 0;
  TimePoint received_at;
};

struct SchedulerOptions {
  DispatchPolicy dispatch = OnlineFirst{};
  RoutingPolicy routing = ExpectedFirstToken{};
  BackendOptions backends;
  // Slots of a host that has sent no list of held slots for this long are
  // freed.
  milliseconds host_timeout{2'000};
  // A slot younger than this may be missing from its host's list.
  milliseconds slot_grace{1'000};
  milliseconds remote_load_validity{1'500};
  uint64_t seed = 1;
};

// Counters of a scheduler's decisions.
struct SchedulerStats {
  uint64_t granted_online = 0;
  uint64_t granted_batch = 0;
  uint64_t revoked = 0;
  uint64_t refused = 0;
  uint64_t forwarded = 0;
  uint64_t prefix_hits = 0;
};

class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options, uint64_t first_slot);

  void OnRequest(PendingRequest pending, TimePoint now);
  void OnCancel(const std::string& origin, uint64_t request_id, TimePoint now);
  void OnRelease(const proto::SlotRelease& release, TimePoint now);
  // Takes the list of slots that a host holds. The list is authoritative: other
  // slots of the host are freed unless they are younger than slot_grace, and
  // unknown ones in the list are adopted.
  void OnHeldSlots(const std::string& host, const proto::SlotsHeld& held,
                   TimePoint now);
  void OnAnnounce(const proto::Backend& backend, TimePoint now);
  void OnRemoteLoad(const proto::DomainLoad& load, TimePoint now);
  void Tick(TimePoint now);

  // Refuses all queued requests, before this host stops being the dispatcher.
  void RefuseQueued(TimePoint now);

  std::vector<DispatchAction> TakeActions();

  // Returns the load report for the dispatchers of other domains.
  proto::DomainLoad Load(TimePoint now) const;

  const BackendTable& backends() const { return backends_; }
  size_t queued_online() const;
  size_t queued_batch() const;
  const SchedulerStats& stats() const { return stats_; }

 private:
  struct Slot {
    std::string host;
    std::string backend;
    std::string pool;
    bool batch = false;
    bool solo = false;
    bool revoking = false;
    // At the time of the grant, the server was idle; its cache probably held
    // the prompt's prefix.
    bool was_idle = false;
    bool prefix_hit = false;
    TimePoint granted_at;
  };

  // The queued requests for one service and model.
  struct Pool {
    FairQueue<PendingRequest> online;
    FairQueue<PendingRequest> urgent_batch;
    FairQueue<PendingRequest> batch;
    // Mean time that an online request holds its slot, in seconds.
    double hold_s = 0;
    // Slots being revoked for online requests in this pool.
    uint32_t revoking = 0;
  };

  static std::string PoolName(const proto::SlotRequest& request);
  bool Serves(const BackendState& state,
              const proto::SlotRequest& request) const;
  bool HasCapacity(const BackendState& state, const proto::SlotRequest& request,
                   TimePoint now) const;
  uint32_t BatchLimit(const BackendState& state) const;
  bool TryGrant(const PendingRequest& pending, TimePoint now);
  void Grant(const PendingRequest& pending, BackendState& state,
             bool prefix_hit, TimePoint now);
  void UpdateFirstTokenEstimate(const Slot& slot,
                                const proto::SlotRelease& release);
  void DispatchQueued(TimePoint now);
  void DispatchPool(Pool& pool, TimePoint now);
  void RevokeBatchForOnline(Pool& pool, TimePoint now);
  bool RevokeOneBatchSlot(const std::string& pool_name, TimePoint now);
  void Refuse(const PendingRequest& pending, ErrorCode code,
              const std::string& detail, int64_t retry_after_ms);
  bool TryForward(const PendingRequest& pending, TimePoint now);
  bool CannotMeetDeadline(const Pool& pool, const PendingRequest& pending,
                          TimePoint now, int64_t& wait_ms);
  void FreeSlot(std::map<uint64_t, Slot>::iterator slot, TimePoint now);
  void DropExpired(Pool& pool, TimePoint now);
  void ReserveForSolo(TimePoint now);
  static std::pair<std::string, uint64_t> RequestKey(
      const PendingRequest& pending) {
    return {pending.request.origin(), pending.request.request_id()};
  }
  bool AnyServes(const proto::SlotRequest& request, TimePoint now) const;
  uint32_t PoolSlots(const proto::SlotRequest& request, TimePoint now) const;

  SchedulerOptions options_;
  BackendTable backends_;
  RoutingState routing_;
  std::map<std::string, Pool> pools_;
  std::map<uint64_t, Slot> slots_;
  std::map<std::string, TimePoint> host_last_contact_;
  // By failure domain and pool name.
  std::map<std::pair<std::string, std::string>, RemoteLoad> remote_loads_;
  // Origins and request numbers of all queued requests.
  std::set<std::pair<std::string, uint64_t>> waiting_;
  uint64_t next_slot_;
  std::vector<DispatchAction> actions_;
  SchedulerStats stats_;
};

}  // namespace sequoialb
