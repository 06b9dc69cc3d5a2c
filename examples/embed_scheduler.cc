// Shows how to embed the dispatcher without a network: two backend servers with
// two slots each, two batch requests and three online requests. Prints which
// requests get a slot and what happens to the batch requests when the online
// requests arrive.
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

PendingRequest MakeRequest(uint64_t id, bool batch, TimePoint now) {
  PendingRequest pending;
  pending.request.set_service("demo");
  pending.request.set_model("m");
  pending.request.set_request_id(id);
  pending.request.set_origin("this program");
  pending.request.set_account("someone");
  pending.request.set_batch(batch);
  pending.deadline = now + seconds(1);
  return pending;
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
    std::cout << "a request is forwarded to failure domain "
              << forward.failure_domain << "\n";
  }
};

}  // namespace

int main() {
  const TimePoint now = Clock::now();
  Scheduler scheduler(SchedulerOptions{}, 1);
  scheduler.OnAnnounce(MakeServer("server-1"), now);
  scheduler.OnAnnounce(MakeServer("server-2"), now);
  for (uint64_t id = 1; id <= 2; ++id) {
    scheduler.OnRequest(MakeRequest(id, true, now), now);
  }
  for (uint64_t id = 3; id <= 5; ++id) {
    scheduler.OnRequest(MakeRequest(id, false, now), now);
  }
  for (const DispatchAction& action : scheduler.TakeActions()) {
    std::visit(Printer{}, action);
  }
  return 0;
}
