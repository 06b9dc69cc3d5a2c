// An operator repeats the request to replace a lost disk because the reply was
// lost; the repetition must succeed at each stage of the replacement.
#include "consensus/replacement.h"

#include <gtest/gtest.h>

namespace sequoialb {
namespace {

class ReplacementTest : public ::testing::Test {
 protected:
  void SetUp() override {
    for (const char* node : {"h1@old", "h2@1", "h3@1"}) {
      membership_.add_voters(node);
    }
  }

  Result<std::optional<proto::Membership>> PlanReplacement(
      const std::string& host) {
    return replacements_.Plan(host, "", membership_, new_nodes_,
                              [this](const std::string&) { return active_; });
  }

  proto::Membership membership_;
  Replacements::NewNodes new_nodes_;
  Replacements replacements_;
  bool active_ = true;
};

TEST_F(ReplacementTest, RepeatedRequestSucceedsDuringAndAfterReplacement) {
  EXPECT_EQ(PlanReplacement("h1").error().code, ErrorCode::kNotFound);
  new_nodes_["h1"] = "h1@new";
  const auto first = PlanReplacement("h1");
  ASSERT_TRUE(first.has_value());
  ASSERT_TRUE(first->has_value());
  EXPECT_EQ((*first)->learners(0), "h1@new");
  EXPECT_EQ((*first)->retiring(0), "h1@old");
  replacements_.MarkStarted("h1", "", "h1@new");

  membership_ = **first;
  new_nodes_.clear();
  auto again = PlanReplacement("h1");
  ASSERT_TRUE(again.has_value()) << again.error().detail;
  EXPECT_FALSE(again->has_value());

  // The new node is a voter, and the lost one has been removed.
  membership_.Clear();
  for (const char* node : {"h1@new", "h2@1", "h3@1"}) {
    membership_.add_voters(node);
  }
  again = PlanReplacement("h1");
  ASSERT_TRUE(again.has_value()) << again.error().detail;
  EXPECT_FALSE(again->has_value());
}

TEST_F(ReplacementTest, DiskLostAgainIsReplacedAgain) {
  replacements_.MarkStarted("h1", "", "h1@new");
  *membership_.mutable_voters(0) = "h1@new";
  // The host has not restarted with a new disk, so no node can replace it.
  active_ = false;
  EXPECT_EQ(PlanReplacement("h1").error().code, ErrorCode::kNotFound);
  new_nodes_["h1"] = "h1@newer";
  const auto next = PlanReplacement("h1");
  ASSERT_TRUE(next.has_value());
  ASSERT_TRUE(next->has_value());
  EXPECT_EQ((*next)->retiring(0), "h1@new");
}

TEST_F(ReplacementTest, RefusesHostWithoutVoter) {
  new_nodes_["h9"] = "h9@1";
  EXPECT_EQ(PlanReplacement("h9").error().code, ErrorCode::kNotFound);
}

}  // namespace
}  // namespace sequoialb
