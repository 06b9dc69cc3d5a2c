// Runs the control thread of one host and the services on it: peer links,
// consensus, session, rate limits, dispatch and blobs.
//
// The control thread owns all shared state: links, consensus, leases, rates and
// dispatch. Traffic threads read the configuration as an immutable value;
// everything else they hand to the control thread as a task and wait for its
// result.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/error.h"
#include "base/task_queue.h"
#include "batches/blob_service.h"
#include "config/config_view.h"
#include "consensus/replica.h"
#include "dispatch/dispatch_service.h"
#include "membership/session_client.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "peer/leader_client.h"
#include "peer/peer_transport.h"
#include "rates/rate_service.h"
#include "settings/settings.h"

namespace sequoialb {

// The state of a host as it is reported to operators.
struct HostStatus {
  std::string leader;
  bool replica = false;
  bool leads = false;
  bool in_view = false;
  bool dispatching = false;
  uint64_t config_index = 0;
  uint64_t view_epoch = 0;
  uint64_t settled_epoch = 0;
  int64_t fresh_ms = 0;
  uint64_t log_applied = 0;
};

class Host {
 public:
  // Handlers for work that the leader assigns to this host, and for stopping a
  // batch.
  struct WorkHandlers {
    std::function<void(const proto::Assignment&)> on_assignment;
    std::function<void(const std::string& lot_id)> on_stop_batch;
  };

  // Opens the disk and the peer links, and starts the control thread.
  static Result<std::unique_ptr<Host>> Start(const Settings& settings);
  ~Host();

  // Proposes a command to the leader and waits for its outcome. kNoQuorum means
  // that it is unknown whether the command was recorded. Errors of the command
  // itself are in the result.
  Result<proto::CommandResult> Propose(proto::Command command,
                                       TimePoint deadline);
  // Reads the current replicated state.
  Result<proto::QueryReply> Query(proto::Query query, TimePoint deadline);

  // Sets the handlers for assigned work. Call once, before the first request is
  // accepted.
  void SetWorkHandlers(WorkHandlers handlers);

  ConfigHolder& config() { return config_; }
  RateService& rates() { return *rates_; }
  DispatchService& dispatch() { return *dispatch_; }
  BlobService& blobs() { return *blobs_; }
  Metrics& metrics() { return metrics_; }
  SpanStore& spans() { return spans_; }
  const Settings& settings() const { return settings_; }
  uint64_t incarnation() const { return incarnation_; }

  // The time at which this process must stop acting on its session; TimePoint()
  // when the host is not in the view.
  TimePoint SessionLeaseUntil();

  HostStatus Status();
  // The dispatcher's table of backend servers; empty when this host does not
  // dispatch.
  std::vector<BackendState> Backends();

  // Blocks all traffic with the given hosts and unblocks the others; test-only.
  void SetBlockedHosts(const std::set<std::string>& hosts);
  std::set<std::string> BlockedHosts();

  // Gives up leadership and dispatch, as the first step of a graceful stop.
  void Leave();
  // Ends the session, as the last step of a graceful stop, so that other hosts
  // take over the remaining work.
  void LeaveSession();
  bool leaving() const { return leaving_.load(); }

  // Runs a task on the control thread.
  void Post(std::function<void()> task);

 private:
  explicit Host(const Settings& settings);
  tl::expected<void, Error> Open();
  void Run();
  void Handle(const proto::Envelope& envelope);
  void Tick(TimePoint now);
  void TickRates();
  template <typename T>
  T RunOnControlThread(const std::function<T()>& read);

  const Settings settings_;
  const uint64_t incarnation_;
  Metrics metrics_;
  SpanStore spans_;
  std::unique_ptr<FileSystem> files_;
  ConfigHolder config_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<LeaderClient> leader_;
  std::unique_ptr<SessionClient> session_;
  std::unique_ptr<RateService> rates_;
  std::unique_ptr<DispatchService> dispatch_;
  std::unique_ptr<BlobService> blobs_;
  std::unique_ptr<Replica> replica_;
  WorkHandlers handlers_;
  TimePoint reconcile_due_;

  TaskQueue posted_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> leaving_{false};
  std::thread thread_;
};

}  // namespace sequoialb
