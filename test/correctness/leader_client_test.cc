// Tests that a host takes a reply of the leader only for the call that it
// answers.
#include "peer/leader_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "../fakes/last_message.h"

namespace sequoialb {
namespace {

using fakes::LastMessage;

class LeaderClientTest : public ::testing::Test {
 protected:
  const TimePoint now_ = Clock::now();
  LastMessage sender_;
  LeaderClient before_{sender_, {"h1"}, 1};
  LeaderClient after_{sender_, {"h1"}, 1};
};

// A reply from before a restart would show a record that was never written.
TEST_F(LeaderClientTest, AReplyToTheProcessBeforeARestartProvesNoRecord) {
  before_.Propose({}, now_ + seconds(5), now_, [](const auto&) {});
  proto::ProposeReply late;
  late.set_request_id(sender_.last.propose().request_id());
  bool answered = false;
  after_.Propose({}, now_ + seconds(5), now_,
                 [&answered](const auto&) { answered = true; });
  after_.OnProposeReply("h1", late, now_);
  EXPECT_FALSE(answered);
  proto::ProposeReply reply;
  reply.set_request_id(sender_.last.propose().request_id());
  after_.OnProposeReply("h1", reply, now_);
  EXPECT_TRUE(answered);
}

TEST_F(LeaderClientTest, AReplyToTheProcessBeforeARestartAnswersNoQuery) {
  before_.SendQuery({}, now_ + seconds(5), now_, [](const auto&) {});
  proto::QueryReply late;
  late.set_request_id(sender_.last.query().request_id());
  bool answered = false;
  after_.SendQuery({}, now_ + seconds(5), now_,
                   [&answered](const auto&) { answered = true; });
  after_.OnQueryReply("h1", late, now_);
  EXPECT_FALSE(answered);
}

}  // namespace
}  // namespace sequoialb
