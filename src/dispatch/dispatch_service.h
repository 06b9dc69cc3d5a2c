// Acquires slots from the dispatcher of this host's failure domain for the
// requests that this host runs. While this host is the domain's dispatcher, it
// also runs the scheduler that grants them.
//
// Which host of a domain is its dispatcher is soft state: the first by
// rendezvous hashing among those that pinged recently. Two hosts may act as the
// dispatcher for a moment; the only consequence is that a server may run a few
// requests too many. A new dispatcher learns which slots are in use from the
// lists of held slots that hosts send.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "dispatch/scheduler.h"
#include "dispatch/slot_lease.h"
#include "observe/metrics.h"
#include "peer/peer_sender.h"
#include "settings/settings.h"

namespace sequoialb {

// The requirements of a request that needs a slot.
struct SlotNeed {
  std::string service;
  std::string model;
  std::string account;
  bool batch = false;
  bool plain = false;
  bool solo = false;
  bool urgent = false;
  uint64_t prefix_hash = 0;
  uint32_t prompt_tokens = 0;
  double weight = 1;
  // Servers that failed this request already, with their failure domains.
  std::vector<std::pair<std::string, std::string>> avoid;
};

// How a request on a slot ended, as reported to the dispatcher.
struct SlotOutcome {
  bool failed = false;
  // No connection could be made.
  bool unreachable = false;
  uint32_t first_byte_ms = 0;
};

class DispatchService {
 public:
  using Post = std::function<void(std::function<void()>)>;

  DispatchService(const Settings& settings, uint64_t incarnation,
                  PeerSender& sender, Metrics& metrics, Post post);

  // Waits for a slot until `deadline`. Called on traffic threads. `abandoned`
  // is polled, and ends the wait with kCancelled when it returns true.
  Result<std::shared_ptr<SlotLease>> Acquire(
      const SlotNeed& need, TimePoint deadline,
      const std::function<bool()>& abandoned = nullptr);
  void Release(const std::shared_ptr<SlotLease>& lease, SlotOutcome outcome);

  // Passes on a backend server's announcement, received over HTTP, to the
  // dispatcher of its domain and the standby.
  void Announce(proto::Backend backend);

  // The functions below run on the control thread.
  bool OnEnvelope(const proto::Envelope& envelope, TimePoint now);
  void Tick(TimePoint now);
  // Withdraws this host as a dispatcher candidate, before a graceful stop.
  void Leave(TimePoint now);
  const Scheduler& scheduler() const { return scheduler_; }
  bool dispatching() const {
    return DispatcherHost(settings_.failure_domain) == settings_.host;
  }
  // Returns the hosts of a domain that pinged this host recently, and this host
  // itself if it belongs to the domain and is not leaving.
  std::vector<std::string> LiveDomainHosts(
      const std::string& failure_domain) const;
  std::string DispatcherHost(const std::string& failure_domain) const;

 private:
  struct PendingAcquire {
    proto::SlotRequest request;
    TimePoint deadline;
    // When to check for a new dispatcher, and when to repeat the request to the
    // same one.
    TimePoint dispatcher_check_at;
    TimePoint repeat_at;
    std::string dispatcher;
    bool done = false;
    Result<std::shared_ptr<SlotLease>> outcome = nullptr;
    std::condition_variable changed;
  };

  void StartAcquire(const std::shared_ptr<PendingAcquire>& pending);
  void SendSlotRequest(PendingAcquire& pending, TimePoint now);
  void Finish(const std::shared_ptr<PendingAcquire>& pending,
              Result<std::shared_ptr<SlotLease>> outcome);
  void OnSlotReply(const std::string& from, const proto::SlotReply& reply);
  void OnRevoke(const proto::SlotRevoke& revoke);
  void OnPing(const std::string& from, const proto::DomainPing& ping,
              TimePoint now);
  void PerformActions();
  void Perform(const GrantSlot& action);
  void Perform(const RefuseSlot& action);
  void Perform(const RevokeSlot& action);
  void Perform(const ForwardRequest& action);
  void SendPings(TimePoint now);
  void SendHeldSlots(TimePoint now);
  void SendLoadReport(TimePoint now);
  void PublishMetrics();

  const Settings& settings_;
  const uint64_t incarnation_;
  PeerSender& sender_;
  Metrics& metrics_;
  Post post_;
  Scheduler scheduler_;
  bool leaving_ = false;
  std::set<std::string> domains_;
  std::map<std::string, TimePoint> last_ping_at_;
  TimePoint ping_due_;
  TimePoint held_due_;
  TimePoint load_due_;
  // Used on the control thread only.
  std::map<uint64_t, std::shared_ptr<PendingAcquire>> pending_acquires_;
  uint64_t next_request_ = RandomCallNumber();

  std::mutex mutex_;
  struct HeldSlot {
    std::shared_ptr<SlotLease> lease;
    SlotNeed need;
  };
  std::map<std::pair<std::string, uint64_t>, HeldSlot> held_;
};

}  // namespace sequoialb
