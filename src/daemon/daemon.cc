#include "daemon/daemon.h"

#include <thread>

#include "entry/entry_context.h"
#include "entry/entry_server.h"
#include "entry/reassigned_work_runner.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kPollInterval{20};
// The time that a load balancer needs to notice that the host is not ready.
constexpr milliseconds kNotReadyDelay{1'000};
// Lets the last heartbeat, which ends the session, reach the leader.
constexpr milliseconds kSessionEndDelay{300};
constexpr seconds kMaxDrainTime{120};

void WaitForRequests(EntryContext& context) {
  const TimePoint limit = Clock::now() + kMaxDrainTime;
  while (Clock::now() < limit &&
         (context.gate.in_flight() > 0 || context.items.unrecorded() > 0)) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

Status RunDaemon(const Settings& settings,
                 const std::function<void()>& wait_for_stop) {
  auto host = Host::Start(settings);
  if (!host) {
    return tl::unexpected<Error>(host.error());
  }
  EntryContext context(**host);
  ReassignedWorkRunner reassigned_work(context);
  auto server = EntryServer::Start(context);
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  LogInfo("serving", {{"http", settings.http.ToString()},
                      {"failure_domain", settings.failure_domain}});
  wait_for_stop();
  LogInfo("stopping", {{"requests", std::to_string(context.gate.in_flight())}});
  context.gate.Close();
  (*host)->Leave();
  std::this_thread::sleep_for(kNotReadyDelay);
  WaitForRequests(context);
  context.batches.Drain();
  reassigned_work.Stop();
  (*host)->LeaveSession();
  std::this_thread::sleep_for(kSessionEndDelay);
  (*server)->Stop();
  LogInfo("stopped");
  return {};
}

}  // namespace sequoialb
