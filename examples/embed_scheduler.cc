// Embeds the dispatcher alone: two servers, three requests, no network. Prints
// who is served and what happens to batch work when an online request arrives.
#include <iostream>

#include "dispatch/scheduler.h"

namespace {

using namespace sequoialb;  // NOLINT(google-build-using-namespace)

proto::Backend MakeServer(const std::string& id) {
  proto::Backend server;
  server.set_id(id);
  server.set_service("demo");
  server.add_models("m");
  server.set_slots(2);
  return server;
}

PendingRequest MakeAsk(uint64_t id, bool batch, TimePoint now) {
  PendingRequest ask;
  ask.request.set_service("demo");
  ask.request.set_model("m");
  ask.request.set_request_id(id);
  ask.request.set_origin("this program");
  ask.request.set_account("someone");
  ask.request.set_batch(batch);
  ask.deadline = now + seconds(1);
  return ask;
}

struct Printer {
  void operator()(const GrantSlot& grant) const {
    std::cout << "request " << grant.request_id << " runs on "
              << grant.backend.id() << " with slot " << grant.slot << "\n";
  }
  void operator()(const RefuseSlot& refusal) const {
    std::cout << "request " << refusal.request_id
              << " is refused: " << refusal.error.detail << "\n";
  }
  void operator()(const RevokeSlot& revocation) const {
    std::cout << "slot " << revocation.slot << " is revoked\n";
  }
  void operator()(const ForwardRequest& forward) const {
    std::cout << "a request goes to " << forward.failure_domain << "\n";
  }
};

}  // namespace

int main() {
  const TimePoint now = Clock::now();
  Scheduler scheduler(SchedulerOptions{}, 1);
  scheduler.OnAnnounce(MakeServer("server-1"), now);
  scheduler.OnAnnounce(MakeServer("server-2"), now);
  for (uint64_t id = 1; id <= 2; ++id) {
    scheduler.OnRequest(MakeAsk(id, true, now), now);
  }
  for (uint64_t id = 3; id <= 5; ++id) {
    scheduler.OnRequest(MakeAsk(id, false, now), now);
  }
  for (const DispatchAction& action : scheduler.TakeActions()) {
    std::visit(Printer{}, action);
  }
  return 0;
}
