// Tests what the leader sends to hosts when the configuration changes.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../fakes/memory_files.h"
#include "base/task_queue.h"
#include "consensus/replica.h"

namespace sequoialb {
namespace {

class Recorder : public PeerSender {
 public:
  void Send(const std::string& /*host*/, proto::Envelope envelope) override {
    sent.push_back(std::move(envelope));
  }

  std::vector<proto::Envelope> sent;
};

class ConfigPushTest : public ::testing::Test {
 protected:
  ConfigPushTest() {
    settings_.host = "h1";
    settings_.data_folder = "data";
    settings_.hosts.push_back(HostEntry{"h1", "d1", {}, {}, true, ""});
    auto replica = Replica::Open(
        settings_, files_, sender_, metrics_,
        [this](std::function<void()> task) { posted_.Add(std::move(task)); },
        Clock::now());
    replica_ = std::move(*replica);
  }

  // Runs the replica until `done` or for 10 s.
  bool RunUntil(const std::function<bool()>& done) {
    const TimePoint limit = Clock::now() + seconds(10);
    while (!done() && Clock::now() < limit) {
      replica_->Tick(Clock::now());
      posted_.RunAll();
      replica_->Flush(Clock::now());
      std::this_thread::sleep_for(milliseconds(1));
    }
    return done();
  }

  // Returns the position of the first sent message that fits, or -1.
  int Position(const std::function<bool(const proto::Envelope&)>& fits) const {
    for (size_t i = 0; i < sender_.sent.size(); ++i) {
      if (fits(sender_.sent[i])) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  // Sends one heartbeat and waits until the leader has confirmed it.
  void Join() {
    proto::Envelope heartbeat;
    heartbeat.mutable_heartbeat()->set_sent_at(kSentAt);
    heartbeat.mutable_heartbeat()->set_incarnation(1);
    ASSERT_TRUE(RunUntil([&] {
      replica_->OnEnvelope(heartbeat, Clock::now());
      return Position([](const proto::Envelope& e) {
               return e.heartbeat_reply().confirmed();
             }) >= 0;
    }));
  }

  void GiveKey(const std::string& name) {
    sender_.sent.clear();
    proto::Envelope envelope;
    proto::Propose& propose = *envelope.mutable_propose();
    propose.set_request_id(++request_);
    proto::KeyRecord& key =
        *propose.mutable_command()->mutable_give_key()->mutable_key();
    key.set_key_id(name);
    key.set_key_sha256(name);
    key.set_account("arda");
    replica_->OnEnvelope(envelope, Clock::now());
    ASSERT_TRUE(RunUntil([this] { return Answer() >= 0; }));
  }

  int Answer() const {
    return Position(
        [](const proto::Envelope& e) { return e.has_propose_reply(); });
  }

  int PushOf(const std::string& name) const {
    return Position([&name](const proto::Envelope& e) {
      for (const proto::KeyRecord& key : e.heartbeat_reply().config().keys()) {
        if (key.key_id() == name) {
          return e.heartbeat_reply().sent_at() == kSentAt;
        }
      }
      return false;
    });
  }

  static constexpr uint64_t kSentAt = 77;

  Settings settings_;
  fakes::MemoryFiles files_;
  Recorder sender_;
  Metrics metrics_;
  TaskQueue posted_;
  std::unique_ptr<Replica> replica_;
  uint64_t request_ = 0;
};

// Guards against a host that has answered the operator and still refuses the
// new key (bad-input: bad_key on a single host).
TEST_F(ConfigPushTest, AChangeIsPushedBeforeItIsAnswered) {
  Join();
  GiveKey("k1");
  ASSERT_GE(PushOf("k1"), 0);
  EXPECT_LT(PushOf("k1"), Answer());
}

// Guards against a host that lost the first push and takes the second for
// everything that it lacks.
TEST_F(ConfigPushTest, APushRepeatsWhatTheHostHasNotReported) {
  Join();
  GiveKey("k1");
  GiveKey("k2");
  EXPECT_GE(PushOf("k1"), 0);
  EXPECT_GE(PushOf("k2"), 0);
}

}  // namespace
}  // namespace sequoialb
