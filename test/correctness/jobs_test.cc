// Tests of the job table and the item scheduler: accepted jobs are retained,
// results keep their positions, and an item is assigned to one front at a time.
#include <gtest/gtest.h>

#include "../fakes/state_copy.h"
#include "jobs/item_scheduler.h"
#include "jobs/job_clock.h"
#include "jobs/job_route.h"
#include "jobs/job_table.h"
#include "jobs/job_waits.h"

namespace sequoialb {
namespace {

TimePoint At(int64_t ms) {
  return TimePoint(seconds(1'000)) + milliseconds(ms);
}

proto::JobRecord Job(const std::string& id, int items, uint64_t tokens = 10,
                     int64_t due_ms = 18'000) {
  proto::JobRecord job;
  job.set_id(id);
  job.set_account("acct");
  job.set_route_host("h");
  job.set_attempts(3);
  job.set_due_ms(due_ms);
  job.set_token_cap(100);
  for (int i = 0; i < items; ++i) {
    proto::JobItem& item = *job.add_items();
    item.set_id(id + "-" + std::to_string(i));
    item.set_body("body " + std::to_string(i));
    item.set_tokens(tokens);
  }
  return job;
}

std::string Submit(const proto::JobRecord& job, int64_t clock_ms = 0) {
  proto::StoreCommand command;
  command.set_clock_ms(clock_ms);
  *command.mutable_submit() = job;
  return command.SerializeAsString();
}

std::string Done(const std::string& job, const std::string& item,
                 const std::string& output, bool dead = false) {
  proto::StoreCommand command;
  command.mutable_done()->set_job(job);
  command.mutable_done()->set_item(item);
  command.mutable_done()->set_output(output);
  command.mutable_done()->set_dead(dead);
  return command.SerializeAsString();
}

std::string Failed(const proto::ItemName& run) {
  proto::StoreCommand command;
  command.mutable_failed()->set_job(run.job());
  command.mutable_failed()->set_item(run.item());
  command.mutable_failed()->set_attempt(run.attempt());
  return command.SerializeAsString();
}

TEST(JobTable, ResubmittingAJobHasNoEffect) {
  JobTable table;
  EXPECT_TRUE(table.Apply(Submit(Job("j", 2))).has_value());
  EXPECT_TRUE(table.Apply(Submit(Job("j", 2))).has_value());
  EXPECT_EQ(table.jobs().size(), 1U);
  proto::JobRecord other = Job("j", 2);
  other.set_account("other");
  EXPECT_EQ(table.Apply(Submit(other)).error().code, ErrorCode::kConflict);
}

TEST(JobTable, CapsTheWaitingTokensOfAnAccount) {
  JobTable table;
  EXPECT_TRUE(table.Apply(Submit(Job("a", 6))).has_value());
  EXPECT_EQ(table.Apply(Submit(Job("b", 5))).error().code,
            ErrorCode::kRateLimited);
  EXPECT_EQ(table.Find("b"), nullptr);
  EXPECT_TRUE(table.Apply(Done("a", "a-0", "x")).has_value());
  EXPECT_TRUE(table.Apply(Submit(Job("b", 5))).has_value());
  // Resubmitting an accepted job is never refused.
  EXPECT_TRUE(table.Apply(Submit(Job("a", 6))).has_value());
}

// Guards against jobs that are refused for what waits on another route of their
// host.
TEST(JobTable, EachRouteHasItsOwnCap) {
  JobTable table;
  const auto on_route = [](const std::string& id, const std::string& prefix) {
    proto::JobRecord job = Job(id, 10);
    job.set_route_prefix(prefix);
    job.set_route_name(prefix);
    return Submit(job);
  };
  EXPECT_TRUE(table.Apply(on_route("j1", "/a/")).has_value());
  EXPECT_TRUE(table.Apply(on_route("j2", "/b/")).has_value());
  EXPECT_FALSE(table.Apply(on_route("j3", "/a/")).has_value());
  // A job of an earlier version counts on every route, and every job for it.
  EXPECT_FALSE(table.Apply(Submit(Job("j4", 1))).has_value());
  JobTable earlier;
  EXPECT_TRUE(earlier.Apply(Submit(Job("j1", 10))).has_value());
  EXPECT_FALSE(earlier.Apply(on_route("j2", "/a/")).has_value());
}

// Guards against items that a new route takes to its service.
class JobRouteTest : public ::testing::Test {
 protected:
  void Add(const std::string& name, const std::string& prefix,
           RouteKind kind = RouteKind::kBatch) {
    Route& route = catalog_.routes.emplace_back();
    route.name = name;
    route.host = "h";
    route.path_prefix = prefix;
    route.kind = kind;
  }
  // Returns the name and prefix of the job's route, or "none".
  std::string Find(const std::string& name, const std::string& prefix,
                   const std::string& item_path = "/a/3/x") {
    const CatalogIndex index(catalog_);
    const Route* route = FindJobRoute(index, {"h", prefix, name}, item_path);
    return route == nullptr ? "none" : route->name + " " + route->path_prefix;
  }

  Catalog catalog_;
};

TEST_F(JobRouteTest, IsTheOneThatAcceptedTheJob) {
  Add("batch", "/a/");
  Add("stream", "/a/3/", RouteKind::kStream);
  Add("other", "/a/3/x/");
  EXPECT_EQ(Find("batch", "/a/"), "batch /a/");
  EXPECT_EQ(Find("batch", "/a/", "/elsewhere"), "batch /a/");
}

TEST_F(JobRouteTest, KeepsItsIdentityWhenItIsChanged) {
  Add("renamed", "/a/");
  EXPECT_EQ(Find("batch", "/a/"), "renamed /a/");
  catalog_ = Catalog();
  Add("batch", "/b/");
  Add("stream", "/a/3/", RouteKind::kStream);
  EXPECT_EQ(Find("batch", "/a/"), "batch /b/");
}

TEST_F(JobRouteTest, EndsThoughAnotherHasThePathsOfItsItems) {
  Add("other", "/a/3/");
  Add("batch", "/c/", RouteKind::kStream);
  EXPECT_EQ(Find("batch", "/a/"), "none");
}

TEST_F(JobRouteTest, OfAnEarlierVersionIsABatchRoute) {
  Add("stream", "/a/3/", RouteKind::kStream);
  EXPECT_EQ(Find("", ""), "none");
  Add("batch", "/a/");
  EXPECT_EQ(Find("", ""), "batch /a/");
  EXPECT_EQ(Find("", "", "/elsewhere"), "none");
}

TEST(JobTable, AResultKeepsItsPositionAndContent) {
  JobTable table;
  ASSERT_TRUE(table.Apply(Submit(Job("j", 3))).has_value());
  ASSERT_TRUE(table.Apply(Done("j", "j-2", "two")).has_value());
  ASSERT_TRUE(table.Apply(Done("j", "j-0", "", true)).has_value());
  ASSERT_TRUE(table.Apply(Done("j", "j-2", "other")).has_value());
  ASSERT_TRUE(table.Apply(Done("j", "j-0", "late")).has_value());
  const JobState& job = *table.Find("j");
  ASSERT_EQ(job.result_order, (std::vector<uint32_t>{2, 0}));
  EXPECT_EQ(job.items[2].output(), "two");
  EXPECT_TRUE(job.items[0].failed_permanently);
  EXPECT_EQ(job.items[1].item->body(), "body 1");
  JobTable loaded;
  fakes::CopyState(table, loaded);
  EXPECT_EQ(loaded.Find("j")->result_order, job.result_order);
  EXPECT_EQ(loaded.Find("j")->items[2].output(), "two");
  EXPECT_EQ(fakes::SavedParts(loaded), fakes::SavedParts(table));
}

// A snapshot is written by another thread while further commands are applied.
// Guards against closed jobs that pile up where more jobs are accepted a second
// than are dropped.
TEST(JobTable, ClosedJobsAreDroppedAsFastAsJobsAreAccepted) {
  JobTable table;
  for (int i = 0; i < 20; ++i) {
    proto::JobRecord job = Job("j" + std::to_string(i), 1);
    job.set_token_cap(0);
    job.set_keep_ms(500);
    ASSERT_TRUE(table.Apply(Submit(job, 1'000)).has_value());
  }
  EXPECT_TRUE(table.ClosedJobsToDrop(5'000, 64).empty()) << "all are open";
  for (int i = 0; i < 15; ++i) {
    const std::string id = "j" + std::to_string(i);
    ASSERT_TRUE(table.Apply(Done(id, id + "-0", "x")).has_value());
  }
  EXPECT_TRUE(table.ClosedJobsToDrop(1'500, 64).empty());
  EXPECT_EQ(table.ClosedJobsToDrop(1'501, 64).size(), 15U);
  EXPECT_EQ(table.ClosedJobsToDrop(1'501, 8).size(), 8U);
}

TEST(JobTable, ASavedStateExcludesLaterCommands) {
  JobTable table;
  ASSERT_TRUE(table.Apply(Submit(Job("j", 2))).has_value());
  const StateParts frozen = table.Save();
  ASSERT_TRUE(table.Apply(Done("j", "j-1", "later")).has_value());
  ASSERT_TRUE(table.Apply(Submit(Job("k", 1))).has_value());
  JobTable loaded;
  while (auto part = frozen()) {
    ASSERT_TRUE(loaded.LoadPart(*part).has_value());
  }
  EXPECT_EQ(loaded.jobs().size(), 1U);
  EXPECT_FALSE(loaded.Find("j")->items[1].finished);
  EXPECT_EQ(loaded.Find("j")->items[1].item->body(), "body 1");
}

class ItemSchedulerTest : public ::testing::Test {
 protected:
  void SetUp() override { scheduler_.StartLeading(1, At(0)); }
  proto::ItemOffers Report(const std::string& front, TimePoint now,
                           uint32_t free_slots,
                           const std::vector<proto::ItemName>& in_hand = {},
                           uint64_t catalog_version = 0) {
    proto::ItemReport report;
    report.set_catalog_version(catalog_version);
    for (const auto& name : in_hand) {
      *report.add_in_hand() = name;
    }
    if (free_slots > 0) {
      report.add_room()->set_items(free_slots);
    }
    proto::ItemOffers offers;
    scheduler_.OnReport(front, report, now, offers);
    return offers;
  }
  static proto::ItemName NameOf(const proto::ItemOffer& offer) {
    proto::ItemName name;
    name.set_job(offer.job());
    name.set_item(offer.item().id());
    name.set_attempt(offer.attempt());
    return name;
  }
  void Accept(const proto::JobRecord& job) {
    ASSERT_TRUE(table_.Apply(Submit(job)).has_value());
  }

  JobTable table_;
  ItemScheduler scheduler_{table_};
};

TEST_F(ItemSchedulerTest, QuarantinedItemsWait) {
  proto::JobRecord job = Job("j", 2);
  job.mutable_items(0)->add_shared_parts("aa");
  job.mutable_items(0)->add_shared_parts("dead");
  job.mutable_items(1)->add_shared_parts("aa");
  ASSERT_TRUE(table_.Apply(Submit(job)).has_value());
  Quarantines quarantines;
  quarantines.Add()->add_parts("dead");
  scheduler_.SetQuarantines(quarantines);
  const proto::ItemOffers offers = Report("front", At(1'000), 8);
  ASSERT_EQ(offers.offers_size(), 1);
  EXPECT_EQ(offers.offers(0).item().id(), "j-1");
  scheduler_.SetQuarantines({});
  EXPECT_EQ(Report("front", At(1'100), 8).offers_size(), 1);
}

// Guards against an item that a front with an older catalog gets, which does
// not know the job's route and ends the item.
TEST_F(ItemSchedulerTest, AFrontWithAnOlderCatalogGetsNoItems) {
  proto::JobRecord job = Job("j", 2);
  job.set_catalog_version(7);
  Accept(job);
  EXPECT_EQ(Report("behind", At(800), 5, {}, 6).offers_size(), 0);
  const auto offers = Report("current", At(810), 1, {}, 7);
  ASSERT_EQ(offers.offers_size(), 1);
  EXPECT_EQ(offers.offers(0).catalog_version(), 7U);
  EXPECT_EQ(Report("newer", At(820), 1, {}, 9).offers_size(), 1);
}

TEST_F(ItemSchedulerTest, ANewLeaderCollectsReportsBeforeItOffersItems) {
  Accept(Job("j", 1));
  EXPECT_EQ(Report("f1", At(100), 5).offers_size(), 0);
  EXPECT_EQ(Report("f1", At(800), 5).offers_size(), 1);
}

TEST_F(ItemSchedulerTest, AnItemThatRunsIsNotStartedAgainByANewLeader) {
  Accept(Job("j", 1));
  proto::ItemName running;
  running.set_job("j");
  running.set_item("j-0");
  running.set_attempt(7);
  Report("f1", At(100), 0, {running});
  EXPECT_EQ(Report("f2", At(800), 5).offers_size(), 0);
}

TEST_F(ItemSchedulerTest, OffersItemsByDueTimeUpToTheFreeSlots) {
  Accept(Job("late", 2, 10, 30'000));
  Accept(Job("soon", 2, 10, 5'000));
  const auto offers = Report("f1", At(800), 3);
  ASSERT_EQ(offers.offers_size(), 3);
  EXPECT_EQ(offers.offers(0).job(), "soon");
  EXPECT_EQ(offers.offers(1).job(), "soon");
  EXPECT_EQ(offers.offers(2).job(), "late");
  // The remaining item is offered to another front, only once.
  EXPECT_EQ(Report("f2", At(810), 3).offers_size(), 1);
}

// Jobs of ten items arrive at a deployment of many fronts, each with six free
// slots. If the first fronts to report took all they have slots for, the next
// burst of online requests would stop items at those and find free slots at the
// others.
TEST_F(ItemSchedulerTest, ItemsAreSpreadOverTheFronts) {
  constexpr int kFronts = 66;
  constexpr uint32_t kFreeSlots = 6;
  std::map<std::string, std::vector<proto::ItemName>> held;
  const auto report_all = [&](int64_t ms) {
    for (int i = 0; i < kFronts; ++i) {
      const std::string front = "f" + std::to_string(i);
      auto& items = held[front];
      const auto free = kFreeSlots - static_cast<uint32_t>(items.size());
      const auto offers = Report(front, At(ms), free, items);
      for (const auto& offer : offers.offers()) {
        items.push_back(NameOf(offer));
      }
    }
  };
  report_all(100);
  for (int job = 0; job < 13; ++job) {
    proto::JobRecord record = Job("j" + std::to_string(job), 10);
    record.set_token_cap(0);
    Accept(record);
    report_all(800 + job * 100);
  }
  size_t running = 0;
  size_t most = 0;
  for (const auto& [front, items] : held) {
    running += items.size();
    most = std::max(most, items.size());
  }
  EXPECT_EQ(running, 130U);
  EXPECT_LE(most, 3U);
}

// Under overload, more items are due than can run. Those that can still meet
// their due time are offered before those that cannot.
TEST_F(ItemSchedulerTest, UnderOverloadItemsThatCanMeetTheirDeadlineGoFirst) {
  Accept(Job("finished", 1));
  const auto first = Report("f1", At(800), 1);
  ASSERT_EQ(first.offers_size(), 1);
  proto::ItemOutcome complete;
  *complete.mutable_name() = NameOf(first.offers(0));
  complete.set_last_event(192);
  complete.set_has_last_event(true);
  // A run takes 5 s, with interruptions 7.5 s.
  scheduler_.OnCompleted(complete, At(5'800));
  ASSERT_TRUE(table_.Apply(Done("finished", "finished-0", "x")).has_value());
  scheduler_.Remove("finished", "finished-0");
  proto::JobRecord too_late = Job("late", 1, 10, 3'000);
  proto::JobRecord on_time = Job("on-time", 1, 10, 12'000);
  too_late.set_accepted_unix_ms(UnixMs());
  on_time.set_accepted_unix_ms(UnixMs());
  Accept(too_late);
  Accept(on_time);
  const auto offers = Report("f1", At(6'000), 2);
  ASSERT_EQ(offers.offers_size(), 2);
  EXPECT_EQ(offers.offers(0).job(), "on-time");
  EXPECT_EQ(offers.offers(1).job(), "late");
}

TEST_F(ItemSchedulerTest, AnUnresponsiveFrontLosesItsItems) {
  Accept(Job("j", 1));
  ASSERT_EQ(Report("f1", At(800), 1).offers_size(), 1);
  scheduler_.Tick(At(2'000));
  EXPECT_EQ(Report("f2", At(2'000), 1).offers_size(), 0);
  scheduler_.Tick(At(2'400));
  const auto offers = Report("f2", At(2'400), 1);
  ASSERT_EQ(offers.offers_size(), 1);
  // The first front is asked to stop the item when it reports again.
  proto::ItemName old = NameOf(offers.offers(0));
  old.set_attempt(old.attempt() - 1);
  EXPECT_EQ(Report("f1", At(2'500), 0, {old}).stop_size(), 1);
}

TEST_F(ItemSchedulerTest, ALostOfferIsMadeAgain) {
  Accept(Job("j", 1));
  ASSERT_EQ(Report("f1", At(800), 1).offers_size(), 1);
  EXPECT_EQ(Report("f1", At(900), 1).offers_size(), 0);
  EXPECT_EQ(Report("f1", At(1'500), 1).offers_size(), 1);
}

// A burst takes an item's slot; the item later resumes where it stopped.
TEST_F(ItemSchedulerTest, AReturnedItemKeepsItsProgress) {
  Accept(Job("j", 1));
  const auto first = Report("f1", At(800), 1);
  proto::ItemOutcome outcome;
  *outcome.mutable_name() = NameOf(first.offers(0));
  outcome.set_output("one\ntwo");
  outcome.set_last_event(2);
  outcome.set_has_last_event(true);
  scheduler_.OnReturned("f1", outcome, At(900));
  const auto second = Report("f2", At(1'000), 1);
  ASSERT_EQ(second.offers_size(), 1);
  EXPECT_EQ(second.offers(0).output(), "one\ntwo");
  EXPECT_EQ(second.offers(0).last_event(), 2U);
  EXPECT_GT(second.offers(0).attempt(), first.offers(0).attempt());
}

// Guards against an item that each front gives up after the same time: the next
// one must wait longer, until the item makes progress.
TEST_F(ItemSchedulerTest, OffersSayHowOftenAnItemHasStalled) {
  Accept(Job("j", 1));
  proto::ItemOutcome outcome;
  const auto stall = [&](int at_ms, std::optional<uint64_t> last_event) {
    const auto report = Report("f1", At(at_ms), 1);
    ASSERT_EQ(report.offers_size(), 1);
    *outcome.mutable_name() = NameOf(report.offers(0));
    outcome.set_stalled(true);
    outcome.set_has_last_event(last_event.has_value());
    outcome.set_last_event(last_event.value_or(0));
    scheduler_.OnReturned("f1", outcome, At(at_ms + 50));
  };
  const auto stalled_runs = [&](int at_ms) {
    const auto report = Report("f2", At(at_ms), 1);
    EXPECT_EQ(report.offers_size(), 1);
    const auto offer = report.offers(0);
    outcome.Clear();
    *outcome.mutable_name() = NameOf(offer);
    outcome.set_has_last_event(offer.has_last_event());
    outcome.set_last_event(offer.last_event());
    scheduler_.OnReturned("f2", outcome, At(at_ms + 50));
    return offer.stalled_runs();
  };
  EXPECT_EQ(stalled_runs(800), 0U);
  stall(900, std::nullopt);
  stall(1'000, std::nullopt);
  EXPECT_EQ(stalled_runs(1'100), 2U);
  stall(1'200, 7);
  EXPECT_EQ(stalled_runs(1'300), 1U);
}

// An item that fails on every run is not offered after its last attempt.
TEST_F(ItemSchedulerTest, AnItemThatAlwaysFailsEndsAfterItsAttempts) {
  Accept(Job("j", 1));
  int64_t now = 800;
  for (int run = 1; run <= 3; ++run) {
    const auto offers = Report("f1", At(now), 1);
    ASSERT_EQ(offers.offers_size(), 1) << run;
    EXPECT_FALSE(table_.Find("j")->IsSpent(table_.Find("j")->items[0]));
    proto::ItemOutcome outcome;
    *outcome.mutable_name() = NameOf(offers.offers(0));
    ASSERT_TRUE(table_.Apply(Failed(outcome.name())).has_value());
    scheduler_.OnFailed("f1", outcome, At(now));
    now += 400;
  }
  EXPECT_TRUE(table_.Find("j")->IsSpent(table_.Find("j")->items[0]));
  EXPECT_EQ(Report("f1", At(now), 1).offers_size(), 0);
}

// The acknowledgement of a failure is lost and the front sends it again. It
// must be counted once, or the item would be given up before its last attempt.
TEST_F(ItemSchedulerTest, AFailureThatIsSentAgainCountsOnce) {
  Accept(Job("j", 1));
  const auto offers = Report("f1", At(800), 1);
  ASSERT_EQ(offers.offers_size(), 1);
  proto::ItemOutcome outcome;
  *outcome.mutable_name() = NameOf(offers.offers(0));
  const std::string failed = Failed(outcome.name());
  EXPECT_TRUE(table_.Apply(failed).has_value());
  scheduler_.OnFailed("f1", outcome, At(810));
  EXPECT_EQ(table_.Apply(failed).error().code, ErrorCode::kConflict);
  // The front's report makes the failed run neither current nor stops it.
  EXPECT_EQ(Report("f1", At(820), 0, {outcome.name()}).stop_size(), 0);
  EXPECT_EQ(scheduler_.running(), 0U);
  // Nor does a late failure of an earlier run count against the next one.
  const auto again = Report("f1", At(1'200), 1);
  ASSERT_EQ(again.offers_size(), 1);
  EXPECT_EQ(table_.Apply(failed).error().code, ErrorCode::kConflict);
  scheduler_.OnFailed("f1", outcome, At(1'210));
  scheduler_.OnFailed("f2", outcome, At(1'210));
  EXPECT_EQ(scheduler_.running(), 1U);
  EXPECT_EQ(table_.Find("j")->items[0].failures, 1U);
  // The count and the runs that it covers are part of the saved state.
  JobTable loaded;
  fakes::CopyState(table_, loaded);
  EXPECT_EQ(loaded.Apply(failed).error().code, ErrorCode::kConflict);
  EXPECT_EQ(loaded.Find("j")->items[0].failures, 1U);
}

// Guards against time limits that a wall clock or a change of the leader
// shortens: the group's clock neither goes back nor counts time twice.
TEST(JobWaitsTest, EachWaitBeginsAndEndsOnce) {
  JobWaits waits;
  const auto begun = waits.Update({"a", "b"});
  ASSERT_EQ(begun.size(), 2U);
  EXPECT_TRUE(begun[0].begins);
  EXPECT_TRUE(waits.Update({"a", "b"}).empty());
  const auto ended = waits.Update({"b"});
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].job, "a");
  EXPECT_FALSE(ended[0].begins);
}

TEST(JobClockTest, ContinuesFromTheCommittedValue) {
  JobTable table;
  JobClock first;
  first.Start(table.clock_ms(), At(0));
  ASSERT_TRUE(
      table.Apply(Submit(Job("j", 1), first.NowMs(At(5'000)))).has_value());
  EXPECT_EQ(table.Find("j")->job.accepted_clock_ms(), 5'000);
  // The next leader takes over 20 s later and has a steady clock of its own.
  JobClock second;
  second.Start(table.clock_ms(), At(90'000));
  EXPECT_EQ(second.NowMs(At(90'000)), 5'000);
  EXPECT_EQ(second.NowMs(At(91'000)), 6'000);
  // An older command that arrives later does not set the clock back.
  proto::StoreCommand late;
  late.set_clock_ms(4'000);
  ASSERT_TRUE(table.Apply(late.SerializeAsString()).has_value());
  EXPECT_EQ(table.clock_ms(), 5'000);
  JobTable loaded;
  fakes::CopyState(table, loaded);
  EXPECT_EQ(loaded.clock_ms(), 5'000);
  EXPECT_EQ(loaded.Find("j")->job.accepted_clock_ms(), 5'000);
  // A state without jobs keeps the clock: a member that lost it would accept
  // the next job at an earlier time than the others.
  proto::StoreCommand drop;
  drop.set_drop_job("j");
  ASSERT_TRUE(table.Apply(drop.SerializeAsString()).has_value());
  fakes::CopyState(table, loaded);
  EXPECT_TRUE(loaded.jobs().empty());
  EXPECT_EQ(loaded.clock_ms(), 5'000);
}

// Logs written by earlier versions count failures without naming the runs.
TEST(JobTable, AFailureThatNamesNoRunSetsTheCount) {
  JobTable table;
  ASSERT_TRUE(table.Apply(Submit(Job("j", 1))).has_value());
  proto::StoreCommand command;
  command.mutable_failed()->set_job("j");
  command.mutable_failed()->set_item("j-0");
  command.mutable_failed()->set_failures(2);
  ASSERT_TRUE(table.Apply(command.SerializeAsString()).has_value());
  ASSERT_TRUE(table.Apply(command.SerializeAsString()).has_value());
  EXPECT_EQ(table.Find("j")->items[0].failures, 2U);
}

TEST_F(ItemSchedulerTest, AnEndedJobStops) {
  Accept(Job("j", 2));
  const auto offers = Report("f1", At(800), 1);
  proto::StoreCommand end;
  end.set_end_job("j");
  ASSERT_TRUE(table_.Apply(end.SerializeAsString()).has_value());
  const auto after = Report("f1", At(900), 5, {NameOf(offers.offers(0))});
  EXPECT_EQ(after.stop_size(), 1);
  EXPECT_EQ(after.offers_size(), 0);
}

}  // namespace
}  // namespace sequoialb
