// The dispatcher of one failure domain, as a pure state machine: it lends the
// slots of the domain's backend servers to requests of any host.
//
// Hosts ask for a slot, run the request on the server themselves, and give the
// slot back, so no answer passes through the dispatcher. All requests of a
// service and model wait in one place per domain, which has three uses: the
// order among accounts is fair over all hosts together, a server that knows no
// priorities is never given more than it should run, and batch work can be
// revoked the moment an online request finds no slot.
//
// Events go in with the present instant; TakeActions returns what to do.
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

// Lends a slot to the asking host.
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

// Tells a host to stop its batch request and to give the slot back.
struct RevokeSlot {
  std::string to;
  uint64_t slot;
};

// Passes a request on to the dispatcher of another domain.
struct ForwardRequest {
  std::string failure_domain;
  proto::SlotRequest request;
};

using DispatchAction =
    std::variant<GrantSlot, RefuseSlot, RevokeSlot, ForwardRequest>;

// Free slots of another domain, from its dispatcher's last word.
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
  // Slots of a host that has been silent this long are free again.
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
  // Takes the list of slots that a host holds, which is the truth about them.
  void OnHeldSlots(const std::string& host, const proto::SlotsHeld& held,
                   TimePoint now);
  void OnAnnounce(const proto::Backend& backend, TimePoint now);
  void OnRemoteLoad(const proto::DomainLoad& load, TimePoint now);
  void Tick(TimePoint now);

  // Refuses all that waits, before this host stops being the dispatcher.
  void RefuseQueued(TimePoint now);

  std::vector<DispatchAction> TakeActions();

  // What other domains' dispatchers should know.
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
    // The server was idle and held, or lacked, the prompt's prefix.
    bool was_idle = false;
    bool prefix_hit = false;
    TimePoint granted_at;
  };

  // The requests for one service and model.
  struct Pool {
    FairQueue<PendingRequest> online;
    FairQueue<PendingRequest> urgent_batch;
    FairQueue<PendingRequest> batch;
    // Mean time that an online request holds its slot, in seconds.
    double hold_s = 0;
    // Slots being revoked for requests that wait here.
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
  // Origins and request numbers of all that waits.
  std::set<std::pair<std::string, uint64_t>> waiting_;
  uint64_t next_slot_;
  std::vector<DispatchAction> actions_;
  SchedulerStats stats_;
};

}  // namespace sequoialb
