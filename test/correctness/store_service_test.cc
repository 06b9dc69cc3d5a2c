// Tests how a store host joins its group, by the messages that it receives.
#include "jobs/store_service.h"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include "../fakes/memory_files.h"
#include "fleet/boot_clock.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

const TimePoint kNow = TimePoint(seconds(1'000));

class StoreServiceTest : public ::testing::Test {
 protected:
  void SetUp() override {
    SetLogLevel("error");
    Address listen{"127.0.0.1", 0};
    {
      Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1", 0));
      listen.port = free.address().port();
    }
    self_.set_host("h1");
    self_.set_failure_domain("d1");
    self_.set_peer_address(listen.ToString());
    self_.set_store(true);
    auto links = HostLinks::Open(self_, listen, metrics_);
    ASSERT_TRUE(links.has_value());
    links_ = std::move(*links);
    auto opened =
        StoreService::Open(self_, "data", 1, files_, *links_, metrics_, kNow);
    ASSERT_TRUE(opened.has_value());
    store_ = std::move(*opened);
  }

  // Returns an append request of a leader of term 4.
  proto::RaftMessage Append() const {
    proto::RaftMessage message;
    message.set_from_node("h2@1");
    message.set_to_node(store_->node());
    auto& request = *message.mutable_append_request();
    request.set_term(4);
    proto::LogEntry& entry = *request.add_entries();
    entry.set_index(1);
    entry.set_term(4);
    return message;
  }

  proto::HelloReply ConfirmedReply(
      const std::vector<std::string>& initial_members) const {
    proto::HelloReply reply;
    reply.set_confirmed(true);
    for (const std::string& node : initial_members) {
      reply.add_store_founders(node);
    }
    return reply;
  }

  proto::HostInfo self_;
  Metrics metrics_;
  fakes::MemoryFiles files_;
  std::unique_ptr<HostLinks> links_;
  std::unique_ptr<StoreService> store_;
};

// An initial member may be suspended while its group is bootstrapped, and then
// receives the leader's messages before it learns that it is an initial member.
// Its own bootstrap would discard a log accepted until then, and with it votes
// and entries that other members rely on.
TEST_F(StoreServiceTest, AnInitialMemberAcceptsNoLogBeforeBootstrap) {
  store_->OnGroupMessage(Append(), kNow);
  store_->Flush(kNow);
  EXPECT_EQ(store_->status().term(), 0U);
  store_->OnFleetUpdate({}, ConfirmedReply({store_->node(), "h2@1", "h3@1"}),
                        kNow);
  EXPECT_TRUE(store_->status().member());
  store_->OnGroupMessage(Append(), kNow);
  store_->Flush(kNow);
  EXPECT_EQ(store_->status().term(), 4U);
  // A repeated reply leaves the log and the term unchanged.
  store_->OnFleetUpdate({}, ConfirmedReply({store_->node(), "h2@1", "h3@1"}),
                        kNow);
  EXPECT_EQ(store_->status().term(), 4U);
}

// A host whose disk was lost is not an initial member and gets the log from the
// leader.
TEST_F(StoreServiceTest, ANewDiskAcceptsTheLogOnceItKnowsTheInitialMembers) {
  store_->OnFleetUpdate({}, ConfirmedReply({"h1@lost", "h2@1", "h3@1"}), kNow);
  EXPECT_FALSE(store_->status().member());
  store_->OnGroupMessage(Append(), kNow);
  store_->Flush(kNow);
  EXPECT_EQ(store_->status().term(), 4U);
}

// Guards against a store group that replaces its first lost member and no later
// one: hosts that are no members send nothing to the group's leader, which took
// those that it had known for seconds for lost.
TEST_F(StoreServiceTest, AHostThatWaitedLongBecomesAMember) {
  TimePoint now = kNow;
  const auto pass = [&](milliseconds time, const proto::HelloReply& reply,
                        const std::map<std::string, proto::HostInfo>& hosts) {
    const TimePoint until = now + time;
    while (now < until) {
      now += milliseconds(50);
      proto::HelloReply fresh = reply;
      fresh.set_sent_at_us(ToMicros(now));
      store_->OnFleetUpdate(hosts, fresh, now);
      store_->Tick(now);
      store_->Flush(now);
    }
  };
  std::map<std::string, proto::HostInfo> hosts;
  proto::HostInfo& waiting = hosts["h4"];
  waiting.set_host("h4");
  waiting.set_node("h4@1");
  waiting.set_failure_domain("d4");
  waiting.set_store(true);
  proto::HelloReply reply = ConfirmedReply({"h1@other"});
  reply.add_live_stores("h4");
  pass(seconds(20), reply, hosts);
  reply = ConfirmedReply({store_->node()});
  reply.add_live_stores("h4");
  pass(seconds(4), reply, hosts);
  ASSERT_TRUE(store_->status().leads());
  EXPECT_EQ(store_->status().membership().learners_size(), 1);
}

}  // namespace
}  // namespace sequoialb
