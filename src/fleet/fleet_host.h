// Runs one host of a deployment whose hosts discover each other: two threads
// and the components of the roles (control host, store host, front) that the
// settings assign to the host.
//
// The control thread owns links, membership, consensus groups and batch state.
// The traffic thread owns all HTTP connections. The threads communicate only by
// tasks posted to each other. State that the control thread passes to the
// traffic thread is copied and replaced as a whole.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/task_queue.h"
#include "fleet/control_http_handler.h"
#include "fleet/control_protocol.h"
#include "fleet/control_service.h"
#include "fleet/fleet_member.h"
#include "fleet/fleet_settings.h"
#include "fleet/load_reporter.h"
#include "gateway/cold_limiter.h"
#include "gateway/gateway.h"
#include "gateway/rate_limiter.h"
#include "http/http_server.h"
#include "jobs/item_runner.h"
#include "jobs/job_client.h"
#include "jobs/job_handler.h"
#include "jobs/store_service.h"

namespace sequoialb {

class FleetHost {
 public:
  // Opens disk, links and listeners, and starts both threads.
  static Result<std::unique_ptr<FleetHost>> Start(
      const FleetSettings& settings, const GatewayProtocol& gateway,
      const ControlProtocol& control);
  ~FleetHost();

  // Applies changed seeds. All other settings stay as they were at start.
  void Reload(const FleetSettings& settings);

  // Prepares a graceful stop within the settings' stop_grace: finishes requests
  // in progress, returns batch items and transfers group leadership.
  void Drain();

 private:
  // Closes the servers for callers and operators if neither has a request in
  // progress. Returns false if one has, or if the traffic thread has not
  // answered by `limit`.
  bool CloseServersIfIdle(TimePoint limit);
  FleetHost(const FleetSettings& settings, const GatewayProtocol& gateway,
            const ControlProtocol& control);
  Status Open();
  // Creates the components of the roles in the settings.
  Status CreateRoleComponents();
  Status OpenListeners();
  proto::HostInfo Describe() const;
  FleetMember::Callbacks MemberCallbacks();

  // Run on the control thread, except PostControl, which any thread may call.
  void PostControl(std::function<void()> task);
  void RunControl();
  void TickControl(TimePoint now);
  void HandleMessage(const std::string& from,
                     const proto::FleetMessage& message);
  void PublishBackends(TimePoint now);
  ColdServer DescribeCold(const KnownBackend& known,
                          const std::vector<std::string>& fronts,
                          TimePoint now);
  bool ApplyCatalog(uint64_t version, const std::string& content);
  void FillHello(proto::HostHello& hello);
  bool HandleTokenMessage(const std::string& from,
                          const proto::FleetMessage& message, TimePoint now);

  // Run on the traffic thread.
  void OnFrontRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnReadyRequest(const std::shared_ptr<HttpExchange>& exchange);
  void ReportItems();
  void ReportLoad();
  // Passes the crashes of backend servers that the traffic thread has seen to
  // the control hosts.
  void ReportCrashes(TimePoint now);
  void ScheduleDispatch();
  // Takes which failure domains are evacuated. `backends` are the servers
  // there.
  void ApplyEvacuations(uint64_t version, const std::set<std::string>& domains,
                        std::map<std::string, std::string> backends);
  // Returns how many requests this front has in progress at servers of
  // evacuated failure domains.
  size_t EvacuatedRequests() const;

  // How a front treats the cold servers of one service.
  struct ColdService {
    Duration send_interval{0};
    milliseconds duration{0};
  };

  FleetSettings settings_;
  const GatewayProtocol& gateway_protocol_;
  const ControlProtocol& control_protocol_;
  uint64_t incarnation_;
  Metrics metrics_;
  std::unique_ptr<FileSystem> files_;

  std::unique_ptr<HostLinks> links_;
  std::unique_ptr<FleetMember> member_;
  std::unique_ptr<ControlService> control_;
  std::unique_ptr<StoreService> store_;
  std::unique_ptr<JobClient> job_client_;

  EventLoop loop_;
  std::unique_ptr<FrontShared> front_;
  std::unique_ptr<RateLimiter> rate_limiter_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<ItemRunner> item_runner_;
  std::unique_ptr<LoadReporter> load_reporter_;
  std::unique_ptr<JobHandler> job_handler_;
  std::unique_ptr<ControlHttpHandler> control_http_handler_;
  // Shared by all servers.
  std::shared_ptr<HttpResources> http_resources_;
  std::unique_ptr<HttpServer> front_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  bool dispatch_scheduled_ = false;
  // Set by the traffic thread and sent by the control thread.
  std::atomic<uint32_t> survivors_{0};
  // The control thread holds trials that this front wants.
  bool wants_trials_ = false;
  TimePoint next_summary_at_;
  // The version of the evacuations that the traffic thread has applied. Set by
  // the traffic thread and sent by the control thread.
  std::atomic<uint64_t> evacuations_applied_{0};
  // Used on the control thread.
  TimePoint next_publish_at_;
  // The services of the catalog that have a cold rate.
  std::map<std::string, ColdService> cold_services_;
  ColdOwners cold_owners_;
  std::vector<proto::TrialWanted> trials_wanted_;

  // Tasks posted to the control thread.
  TaskQueue control_tasks_;
  std::atomic<bool> stopping_{false};
  std::thread control_thread_;
  std::thread traffic_thread_;
};

}  // namespace sequoialb
