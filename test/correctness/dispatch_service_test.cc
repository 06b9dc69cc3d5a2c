// Tests slot requests from a host to its dispatcher when messages are lost.
#include "dispatch/dispatch_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>

namespace sequoialb {
namespace {

// Records what the service sends.
class RecordingSender : public PeerSender {
 public:
  void Send(const std::string& host, proto::Envelope envelope) override {
    sent.emplace_back(host, std::move(envelope));
  }

  size_t RequestsTo(const std::string& host) const {
    return static_cast<size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const auto& entry) {
          return entry.first == host && entry.second.has_slot_request();
        }));
  }

  std::vector<std::pair<std::string, proto::Envelope>> sent;
};

class DispatchServiceTest : public ::testing::Test {
 protected:
  DispatchServiceTest() {
    settings_.host = "h4";
    settings_.failure_domain = "d1";
    for (const char* host : {"h4", "h1"}) {
      HostEntry entry;
      entry.host = host;
      entry.failure_domain = "d1";
      settings_.hosts.push_back(entry);
    }
  }

  // Delivers a ping from the other host of the domain.
  void Ping(TimePoint now) {
    proto::Envelope ping;
    ping.set_from("h1");
    ping.mutable_ping()->set_incarnation(1);
    service_.OnEnvelope(ping, now);
  }

  void AnswerRequest(uint64_t request, TimePoint now) {
    proto::Envelope reply;
    reply.set_from("h1");
    reply.mutable_slot_reply()->set_request_id(request);
    reply.mutable_slot_reply()->set_slot(7);
    reply.mutable_slot_reply()->mutable_backend()->set_id("e1");
    service_.OnEnvelope(reply, now);
  }

  // Waits until another thread has posted a task, and runs it.
  void RunPosted() {
    posted_.get_future().get()();
    posted_ = {};
  }

  Settings settings_;
  RecordingSender sender_;
  Metrics metrics_;
  std::promise<std::function<void()>> posted_;
  DispatchService service_{settings_, 1, sender_, metrics_,
                           [this](std::function<void()> task) {
                             posted_.set_value(std::move(task));
                           }};
};

// A slot request, or its forwarding to another domain, is lost when it is sent
// to a host that has just failed, and no error is reported. The host must
// repeat the request well before the shortest usual limit for a first token.
TEST_F(DispatchServiceTest, ALostSlotRequestIsRepeatedBeforeItsDeadline) {
  const milliseconds limit(1'200);
  const TimePoint start = Clock::now();
  Ping(start);
  ASSERT_EQ(service_.DispatcherHost("d1"), "h1");
  SlotNeed need;
  need.service = "s";
  auto acquired = std::async(std::launch::async, [&] {
    return service_.Acquire(need, start + limit);
  });
  RunPosted();
  ASSERT_EQ(sender_.RequestsTo("h1"), 1U);
  const uint64_t request =
      sender_.sent.back().second.slot_request().request_id();
  // Virtual time: the requesting host still receives the other host's pings.
  TimePoint now = Clock::now();
  while (now < start + limit && sender_.RequestsTo("h1") < 2) {
    now += milliseconds(20);
    Ping(now);
    service_.Tick(now);
  }
  EXPECT_EQ(sender_.RequestsTo("h1"), 2U);
  AnswerRequest(request, now);
  const auto lease = acquired.get();
  ASSERT_TRUE(lease) << lease.error().detail;
  EXPECT_EQ((*lease)->backend().id(), "e1");
}

// The slot in such a reply was granted to a process that no longer runs.
TEST_F(DispatchServiceTest, AReplyToTheProcessBeforeARestartGrantsNoSlot) {
  DispatchService before{settings_, 1, sender_, metrics_,
                         [this](std::function<void()> task) {
                           posted_.set_value(std::move(task));
                         }};
  const TimePoint now = Clock::now();
  Ping(now);
  const auto acquire = [&](DispatchService& service) {
    return std::async(std::launch::async, [&service, now] {
      SlotNeed need;
      need.service = "s";
      return service.Acquire(need, now + seconds(5));
    });
  };
  proto::Envelope ping;
  ping.set_from("h1");
  ping.mutable_ping()->set_incarnation(1);
  before.OnEnvelope(ping, now);
  auto first = acquire(before);
  RunPosted();
  proto::Envelope late;
  late.set_from("h1");
  late.mutable_slot_reply()->set_request_id(
      sender_.sent.back().second.slot_request().request_id());
  late.mutable_slot_reply()->set_slot(6);
  auto second = acquire(service_);
  RunPosted();
  const uint64_t request =
      sender_.sent.back().second.slot_request().request_id();
  service_.OnEnvelope(late, now);
  EXPECT_EQ(second.wait_for(milliseconds(100)), std::future_status::timeout);
  EXPECT_EQ(sender_.sent.back().second.slot_release().slot(), 6U);
  AnswerRequest(request, now);
  const auto lease = second.get();
  ASSERT_TRUE(lease);
  EXPECT_EQ((*lease)->slot(), 7U);
  before.OnEnvelope(late, now);
  EXPECT_TRUE(first.get());
}

}  // namespace
}  // namespace sequoialb
