// One host of a deployment that finds its members by itself: its two threads
// and the duties that its settings give it.
//
// The control thread owns links, membership, agreement and batch state. The
// traffic thread owns all HTTP connections. They share nothing but messages
// posted to each other; what the traffic thread goes by it gets as whole
// values.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/task_queue.h"
#include "fleet/control_http_handler.h"
#include "fleet/control_protocol.h"
#include "fleet/control_service.h"
#include "fleet/fleet_member.h"
#include "fleet/fleet_settings.h"
#include "gateway/gateway.h"
#include "gateway/rate_limiter.h"
#include "http/http_server.h"
#include "jobs/item_runner.h"
#include "jobs/job_client.h"
#include "jobs/job_entry.h"
#include "jobs/store_service.h"

namespace sequoialb {

class FleetHost {
 public:
  // Opens disk, links and listeners, and starts both threads.
  static Result<std::unique_ptr<FleetHost>> Start(
      const FleetSettings& settings, const GatewayProtocol& gateway,
      const ControlProtocol& control);
  ~FleetHost();

  // Takes seeds that changed; nothing else changes while running.
  void Reload(const FleetSettings& settings);

  // Finishes what is under way and hands over, within the settings' grace.
  void Drain();

 private:
  FleetHost(const FleetSettings& settings, const GatewayProtocol& gateway,
            const ControlProtocol& control);
  Status Open();
  Status OpenDuties();
  Status OpenListeners();
  proto::HostInfo Describe() const;
  FleetMember::Callbacks MemberCallbacks();

  // The control thread.
  void PostControl(std::function<void()> task);
  void RunControl();
  void TickControl(TimePoint now);
  void Handle(const std::string& from, const proto::FleetMessage& message);
  void PublishBackends(TimePoint now);
  bool TakeCatalog(uint64_t version, const std::string& content);
  void FillHello(proto::HostHello& hello);
  bool HandleRates(const std::string& from, const proto::FleetMessage& message,
                   TimePoint now);

  // The traffic thread.
  void OnFrontRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnReadyRequest(const std::shared_ptr<HttpExchange>& exchange);
  void ReportItems();
  void ReportLoad();
  void PumpSoon();

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
  std::unique_ptr<JobClient> jobs_;

  EventLoop loop_;
  std::unique_ptr<FrontShared> front_;
  std::unique_ptr<RateLimiter> rates_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<ItemRunner> items_;
  std::unique_ptr<JobEntry> job_entry_;
  std::unique_ptr<ControlHttpHandler> control_entry_;
  std::unique_ptr<HttpServer> front_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  bool pump_armed_ = false;
  std::map<std::string, uint32_t> told_load_;
  uint32_t told_waiting_ = 0;
  TimePoint told_at_;
  uint64_t words_told_ = 0;
  TimePoint summary_due_;

  // Tasks for the control thread.
  TaskQueue posted_;
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> busy_{0};
  std::thread control_thread_;
  std::thread traffic_thread_;
};

}  // namespace sequoialb
