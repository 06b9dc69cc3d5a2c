// Tests commands of the ledger that arrive again, late, or from another attempt
// than the one whose effect they would be taken for.
#include "ledger/ledger.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

namespace sequoialb {
namespace {

class LedgerTest : public ::testing::Test {
 protected:
  proto::CommandResult Apply(const proto::Command& command) {
    return ledger_.Apply(++index_, command);
  }

  void CreateBatch(uint32_t lines) {
    proto::Command file;
    file.mutable_add_file()->mutable_file()->set_id("f");
    file.mutable_add_file()->mutable_file()->set_account("a");
    file.mutable_add_file()->mutable_file()->set_lines(lines);
    Apply(file);
    proto::Command batch;
    proto::LotRecord& record = *batch.mutable_create_lot()->mutable_lot();
    record.set_id("b");
    record.set_account("a");
    record.set_input_file("f");
    record.set_owner("h1");
    record.set_owner_incarnation(1);
    Apply(batch);
  }

  proto::CommandResult Progress(const std::string& blob,
                                std::initializer_list<uint32_t> done) {
    proto::Command command;
    proto::LotProgress& progress = *command.mutable_lot_progress();
    progress.set_lot_id("b");
    progress.set_generation(1);
    progress.mutable_output()->set_sha256(blob);
    for (const uint32_t item : done) {
      progress.add_done(item);
    }
    return Apply(command);
  }

  proto::CommandResult Accept() {
    proto::Command command;
    proto::ItemRecord& item = *command.mutable_accept_item()->mutable_item();
    item.set_id("i");
    item.set_owner("h1");
    item.set_owner_incarnation(1);
    return Apply(command);
  }

  proto::CommandResult MarkSent(const std::string& attempt) {
    proto::Command command;
    command.mutable_mark_sent()->set_item_id("i");
    command.mutable_mark_sent()->set_generation(1);
    command.mutable_mark_sent()->set_attempt(attempt);
    return Apply(command);
  }

  proto::CommandResult Complete(const std::string& attempt,
                                const std::string& value) {
    proto::Command command;
    proto::CompleteItem& complete = *command.mutable_complete_item();
    complete.set_item_id("i");
    complete.set_generation(1);
    complete.set_attempt(attempt);
    complete.set_state(proto::ITEM_DONE);
    complete.set_result(value);
    return Apply(command);
  }

  proto::CommandResult TakeOver() {
    proto::Command command;
    proto::TakeOver& take_over = *command.mutable_take_over();
    take_over.add_item_ids("i");
    take_over.set_from("h1");
    take_over.set_from_incarnation(1);
    take_over.set_owner("h2");
    take_over.set_owner_incarnation(2);
    return Apply(command);
  }

  Ledger ledger_;
  uint64_t index_ = 0;
};

// Two lines that are no JSON have the same result line, so two groups may have
// the same blob.
TEST_F(LedgerTest, AGroupWithTheResultsOfAnotherGroupIsNotTakenForItsRepeat) {
  CreateBatch(2);
  EXPECT_FALSE(Progress("same", {0}).repeated());
  const proto::CommandResult second = Progress("same", {1});
  EXPECT_EQ(second.error_name(), "");
  EXPECT_FALSE(second.repeated());
  const BatchTable::Batch batch = ledger_.batches().FindBatch("b");
  EXPECT_EQ(batch->done(), 2);
  EXPECT_EQ(batch->output_size(), 2);
  EXPECT_EQ(batch->state(), proto::LOT_COMPLETED);
}

TEST_F(LedgerTest, AGroupThatArrivesAgainCountsOnce) {
  CreateBatch(3);
  Progress("one", {0});
  Progress("two", {1});
  EXPECT_TRUE(Progress("two", {1}).repeated());
  EXPECT_EQ(Progress("two", {1, 2}).error_name(), "conflict");
  EXPECT_EQ(Progress("one", {1}).error_name(), "conflict");
  const BatchTable::Batch batch = ledger_.batches().FindBatch("b");
  EXPECT_EQ(batch->done(), 2);
  EXPECT_EQ(batch->output_size(), 2);
  EXPECT_EQ(batch->state(), proto::LOT_RUNNING);
}

TEST_F(LedgerTest, AnAcceptanceThatArrivesAgainIsNotMarkedAsRepeated) {
  EXPECT_FALSE(Accept().repeated());
  EXPECT_FALSE(Accept().repeated());
}

// The first owner would run the item beside the second, with the generation of
// the second.
TEST_F(LedgerTest, AnItemTakenOverIsNotAcceptedForItsFirstOwner) {
  Accept();
  TakeOver();
  const proto::CommandResult result = Accept();
  EXPECT_TRUE(result.repeated());
  EXPECT_EQ(result.item().owner(), "h2");
}

TEST_F(LedgerTest, AnItemThatHasEndedIsNotAcceptedAgain) {
  Accept();
  Complete("", "done");
  EXPECT_TRUE(Accept().repeated());
}

// An assignment that arrives late starts a second attempt while the result of
// the first waits to be recorded.
TEST_F(LedgerTest, AnItemSentByOneAttemptIsNotSentByAnother) {
  Accept();
  EXPECT_EQ(MarkSent("first").error_name(), "");
  EXPECT_EQ(MarkSent("first").error_name(), "");
  EXPECT_EQ(MarkSent("second").error_name(), "conflict");
}

TEST_F(LedgerTest, AnAttemptThatWasNotSentDoesNotEndAnItemThatWas) {
  Accept();
  MarkSent("first");
  EXPECT_EQ(Complete("second", "not run").error_name(), "conflict");
  EXPECT_EQ(Complete("first", "done").error_name(), "");
  EXPECT_EQ(ledger_.items().Find("i")->result(), "done");
}

}  // namespace
}  // namespace sequoialb
