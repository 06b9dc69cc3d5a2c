// Tests how a control host founds the control group and the store group, by the
// heartbeats that it receives, and how it carries out orders of evacuation.
#include "fleet/control_service.h"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include <thread>

#include "../fakes/memory_files.h"
#include "fleet/boot_clock.h"
#include "fleet/fleet_member.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

Address FreeAddress() {
  Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1", 0));
  return {"127.0.0.1", free.address().port()};
}

class ControlServiceTest : public ::testing::Test {
 protected:
  void SetUp() override {
    SetLogLevel("error");
    listen_ = FreeAddress();
    self_.set_host("c1");
    self_.set_failure_domain("d1");
    self_.set_peer_address(listen_.ToString());
    self_.set_control(true);
    auto links = HostLinks::Open(self_, listen_, metrics_);
    ASSERT_TRUE(links.has_value());
    links_ = std::move(*links);
  }

  // Starts the process; a running one ends without a founding.
  void Start(bool first_start, const std::vector<Address>& seeds) {
    control_.reset();
    ControlOptions options;
    options.self = self_;
    options.data_folder = "data";
    options.seeds = seeds;
    options.first_start = first_start;
    options.decode_catalog = [](const std::string&) {
      Catalog catalog;
      Account& account = catalog.accounts.emplace_back();
      account.name = "acct";
      account.rate = 100;
      account.burst = 100;
      return Result<Catalog>(std::move(catalog));
    };
    auto opened = ControlService::Open(std::move(options), files_, *links_,
                                       metrics_, now_);
    ASSERT_TRUE(opened.has_value());
    control_ = std::move(*opened);
  }

  // Delivers a heartbeat of a host.
  void Hear(proto::HostInfo info) {
    proto::HostHello hello;
    *hello.mutable_info() = std::move(info);
    control_->OnHello(hello.info().host(), hello, now_);
  }

  void HearSelf() {
    proto::HostInfo info = self_;
    control_->FillInfo(info);
    Hear(info);
  }

  static proto::HostInfo Seed(const std::string& host, const Address& address,
                              bool first_start) {
    proto::HostInfo info;
    info.set_host(host);
    info.set_node(host + "@1");
    info.set_peer_address(address.ToString());
    info.set_control(true);
    info.set_first_start(first_start);
    return info;
  }

  // Returns a control host whose group has these voters.
  static proto::HostInfo Member(const std::string& host, const Address& address,
                                const std::vector<std::string>& voters) {
    proto::HostInfo info = Seed(host, address, false);
    info.mutable_group()->set_member(true);
    for (const std::string& voter : voters) {
      info.mutable_group()->mutable_membership()->add_voters(voter);
    }
    return info;
  }

  static proto::HostInfo Store(const std::string& host, bool first_start) {
    proto::HostInfo info;
    info.set_host(host);
    info.set_node(host + "@1");
    info.set_peer_address("127.0.0.1:1");
    info.set_store(true);
    info.set_first_start(first_start);
    return info;
  }

  void Run(milliseconds duration) {
    for (milliseconds t{0}; t < duration; t += milliseconds(20)) {
      now_ += milliseconds(20);
      control_->Tick(now_);
      control_->Flush(now_);
    }
  }

  // Delivers a vote of c2 for this host.
  void Vote(uint64_t term, bool pre_vote) {
    proto::RaftMessage message;
    message.set_from_node("c2@1");
    message.set_to_node(control_->node());
    message.mutable_vote_reply()->set_term(term);
    message.mutable_vote_reply()->set_granted(true);
    message.mutable_vote_reply()->set_pre_vote(pre_vote);
    control_->OnRaftMessage(message, now_);
    control_->Flush(now_);
  }

  // Delivers c2's confirmation of all that this leader has sent so far.
  void Confirm(uint64_t term, uint64_t last_index) {
    proto::RaftMessage message;
    message.set_from_node("c2@1");
    message.set_to_node(control_->node());
    message.mutable_append_reply()->set_term(term);
    message.mutable_append_reply()->set_success(true);
    message.mutable_append_reply()->set_match_index(last_index);
    message.mutable_append_reply()->set_round(1'000'000);
    control_->OnRaftMessage(message, now_);
    control_->Flush(now_);
  }

  // Requests tokens of an account from this host, and returns how many it
  // granted.
  uint32_t RequestTokens(uint64_t request_id) {
    proto::TokenRequest request;
    request.set_request_id(request_id);
    request.set_account("acct");
    request.set_want(1);
    control_->OnTokenRequest(self_.host(), request, now_);
    uint32_t granted = 0;
    links_->Drain([&](const std::string&, const proto::FleetMessage& message) {
      granted += message.token_reply().granted();
    });
    return granted;
  }

  // Makes this host the leader of a control group of its own, for long enough
  // that it knows all hosts.
  void Lead() {
    Start(true, {listen_});
    HearSelf();
    Run(milliseconds(3'500));
    ASSERT_TRUE(control_->status().leads());
    answers_.clear();
  }

  // Delivers the heartbeat of a front that has applied a version of the
  // evacuations, and returns the reply, which arrives over the front's links.
  proto::HelloReply HearFront(const std::string& host, uint64_t version,
                              bool wants_backends = false) {
    Front& front = fronts_[host];
    if (front.links == nullptr) {
      const Address address = FreeAddress();
      front.info.set_host(host);
      front.info.set_failure_domain("d2");
      front.info.set_peer_address(address.ToString());
      front.info.set_front(true);
      auto links = HostLinks::Open(front.info, address, metrics_);
      EXPECT_TRUE(links.has_value());
      front.links = std::move(*links);
    }
    proto::HostHello hello;
    hello.set_evacuations_version(version);
    hello.set_wants_backends(wants_backends);
    *hello.mutable_info() = front.info;
    std::optional<proto::HelloReply> reply;
    const auto limit = std::chrono::steady_clock::now() + kReplyTimeout;
    while (!reply && std::chrono::steady_clock::now() < limit) {
      // Replies are dropped until the link is connected, so the heartbeat is
      // sent again. Its time tells the reply from that to an earlier heartbeat.
      hello.set_sent_at_us(ToMicros(now_) - ++heartbeats_);
      control_->OnHello(host, hello, now_);
      std::this_thread::sleep_for(milliseconds(5));
      front.links->Drain(
          [&](const std::string&, const proto::FleetMessage& message) {
            if (message.hello_reply().sent_at_us() == hello.sent_at_us()) {
              reply = message.hello_reply();
            }
          });
    }
    EXPECT_TRUE(reply.has_value());
    return reply.value_or(proto::HelloReply());
  }

  static proto::ControlCall OrderOf(const std::string& domain, bool evacuated) {
    proto::ControlCall call;
    call.mutable_set_evacuation()->set_failure_domain(domain);
    call.mutable_set_evacuation()->set_evacuated(evacuated);
    return call;
  }

  // Executes an operator's order; answers_ gets the answer.
  void Order(const std::string& domain, bool evacuated) {
    control_->Call(OrderOf(domain, evacuated), now_,
                   [this](const proto::ControlAnswer& answer) {
                     answers_.push_back(answer.error_name());
                   });
    control_->Flush(now_);
  }

  // Delivers an order that another control host has forwarded, and returns the
  // names of the errors in the answers that it gets at once or a little later.
  std::vector<std::string> Forward(const proto::ControlCall& call) {
    control_->OnCall(self_.host(), call, now_);
    control_->Flush(now_);
    Run(milliseconds(40));
    std::vector<std::string> errors;
    links_->Drain([&](const std::string&, const proto::FleetMessage& message) {
      if (message.has_control_answer()) {
        errors.push_back(message.control_answer().error_name());
      }
    });
    return errors;
  }

  static std::vector<std::string> Domains(const proto::HelloReply& reply) {
    return {reply.evacuated_domains().begin(), reply.evacuated_domains().end()};
  }

  static constexpr seconds kReplyTimeout{10};
  struct Front {
    proto::HostInfo info;
    std::unique_ptr<HostLinks> links;
  };
  std::map<std::string, Front> fronts_;
  int64_t heartbeats_ = 0;
  // The names of the errors in the answers to orders; empty for success.
  std::vector<std::string> answers_;
  TimePoint now_ = TimePoint(seconds(1'000));
  Address listen_;
  Address second_{"127.0.0.1", 1};
  Address third_{"127.0.0.1", 2};
  proto::HostInfo self_;
  Metrics metrics_;
  fakes::MemoryFiles files_;
  std::unique_ptr<HostLinks> links_;
  std::unique_ptr<ControlService> control_;
};

// Guards against a control group that is never founded because the process of
// one seed ended in between, for example on a full disk.
TEST_F(ControlServiceTest, AnInterruptedFoundingIsTakenUpAgain) {
  Start(true, {listen_, second_, third_});
  Run(milliseconds(100));
  Start(false, {listen_, second_, third_});
  HearSelf();
  Hear(Seed("c2", second_, true));
  Run(milliseconds(100));
  EXPECT_FALSE(control_->status().member()) << "a seed has not reported";
  Hear(Seed("c3", third_, true));
  Run(milliseconds(100));
  ASSERT_TRUE(control_->status().member());
  EXPECT_EQ(control_->status().membership().voters_size(), 3);
}

// Guards against a voter that never becomes a candidate because its process
// ended before it had stored the group's founders.
TEST_F(ControlServiceTest, AFounderThatRestartedAdoptsTheGroup) {
  Start(true, {listen_, second_, third_});
  const std::string node = control_->node();
  Start(false, {listen_, second_, third_});
  HearSelf();
  Hear(Member("c3", third_, {node, "c2@1", "c3@1"}));
  Run(milliseconds(100));
  EXPECT_TRUE(control_->status().member()) << "the second seed is not heard of";
  // The founders are on the disk.
  Start(false, {});
  EXPECT_TRUE(control_->status().member());
}

// Guards against a second group beside the first.
TEST_F(ControlServiceTest, ADiskThatHoldsALogIsNeverFoundedAgain) {
  Start(true, {listen_, second_, third_});
  HearSelf();
  Hear(Member("c2", second_, {"c1@lost", "c2@1", "c3@1"}));
  Run(milliseconds(100));
  proto::RaftMessage message;
  message.set_from_node("c2@1");
  message.set_to_node(control_->node());
  message.mutable_append_request()->set_term(4);
  control_->OnRaftMessage(message, now_);
  Run(milliseconds(100));
  ASSERT_EQ(control_->status().term(), 4U);
  Start(false, {listen_, second_, third_});
  HearSelf();
  Hear(Seed("c2", second_, true));
  Hear(Seed("c3", third_, true));
  Run(milliseconds(100));
  EXPECT_FALSE(control_->status().member());
  EXPECT_EQ(control_->status().term(), 4U);
}

// A host whose disk was lost founds nothing.
TEST_F(ControlServiceTest, ANewDiskOfALaterStartFoundsNoGroup) {
  Start(false, {listen_, second_, third_});
  HearSelf();
  Hear(Seed("c2", second_, true));
  Hear(Seed("c3", third_, true));
  Run(milliseconds(100));
  EXPECT_FALSE(control_->status().member());
}

// Guards against a store group that is never founded because the processes of
// the store hosts restarted before it was: batch jobs were refused for ever.
TEST_F(ControlServiceTest, StoresThatRestartedBeforeTheirFoundingAreFounded) {
  Start(true, {listen_});
  HearSelf();
  Run(milliseconds(2'000));
  ASSERT_TRUE(control_->status().leads());
  for (const char* host : {"s1", "s2", "s3"}) {
    Hear(Store(host, false));
  }
  Run(milliseconds(4'000));
  EXPECT_EQ(control_->initial_store_members(),
            (std::vector<std::string>{"s1@1", "s2@1", "s3@1"}));
}

// A disk of another group's member is no founder.
TEST_F(ControlServiceTest, AStoreThatHoldsALogIsNoFounder) {
  Start(true, {listen_});
  HearSelf();
  Run(milliseconds(2'000));
  proto::HostInfo used = Store("s1", false);
  used.mutable_group()->set_term(2);
  Hear(used);
  Run(milliseconds(4'000));
  EXPECT_TRUE(control_->initial_store_members().empty());
  Hear(Store("s2", false));
  Run(milliseconds(4'000));
  EXPECT_EQ(control_->initial_store_members(),
            (std::vector<std::string>{"s2@1"}));
}

// Guards against a term in which no host owns the rate limits, so that every
// request of a limited account waits for an owner: the leader had ticked while
// it was a candidate of that term.
TEST_F(ControlServiceTest, ALeaderThatTickedAsACandidateOwnsTheRateLimits) {
  Start(true, {listen_, second_, third_});
  HearSelf();
  Hear(Member("c2", second_, {control_->node(), "c2@1", "c3@1"}));
  Run(milliseconds(1'000));
  Vote(1, true);
  Run(milliseconds(40));
  ASSERT_EQ(control_->status().term(), 1U);
  ASSERT_FALSE(control_->status().leads());
  Vote(1, false);
  ASSERT_TRUE(control_->status().leads());
  Confirm(1, 1);
  proto::ControlCall call;
  call.mutable_put_catalog()->set_version(1);
  call.mutable_put_catalog()->set_content("catalog");
  control_->Call(call, now_, [](const proto::ControlAnswer&) {});
  control_->Flush(now_);
  uint32_t granted = 0;
  for (uint64_t request = 1; request <= 100; ++request) {
    Confirm(1, 2);
    Run(milliseconds(20));
    granted += RequestTokens(request);
  }
  EXPECT_GT(granted, 0U);
}

const std::vector<std::string> kSuccess{""};

// Guards against an acknowledgement while a front in contact still sends to the
// evacuated servers.
TEST_F(ControlServiceTest, AnEvacuationIsAcknowledgedOnceAllFrontsApplyIt) {
  Lead();
  HearFront("f1", 0);
  HearFront("f2", 0);
  Run(milliseconds(40));
  Order("d2", true);
  Run(milliseconds(100));
  EXPECT_TRUE(answers_.empty());
  const proto::HelloReply reply = HearFront("f1", 0);
  EXPECT_TRUE(reply.confirmed());
  EXPECT_EQ(Domains(reply), std::vector<std::string>{"d2"});
  EXPECT_EQ(reply.evacuations_version(), 1U);
  HearFront("f1", 1);
  Run(milliseconds(40));
  EXPECT_TRUE(answers_.empty()) << "f2 has not reported";
  HearFront("f2", 1);
  Run(milliseconds(40));
  EXPECT_EQ(answers_, kSuccess);
}

// Guards against an order that is not acknowledged for a front that is cut off,
// and against a front that serves by its lease after it must have stopped.
TEST_F(ControlServiceTest, AFrontThatIsCutOffStopsByItsLease) {
  constexpr milliseconds kMustHaveStopped{5'000};
  Lead();
  TimePoint lease_until;
  MemberOptions options;
  options.self.set_host("f1");
  // The lease of the default settings.
  options.authority_lease = milliseconds(4'750);
  FleetMember::Callbacks callbacks;
  callbacks.on_catalog = [](uint64_t, const std::string&) { return true; };
  callbacks.on_contact = [](TimePoint) {};
  callbacks.on_backends = [] {};
  callbacks.on_authority_lease = [&](TimePoint until) { lease_until = until; };
  callbacks.on_quarantines = [](const Quarantines&) {};
  callbacks.on_watched_parts = [](const std::set<std::string>&) {};
  FleetMember front(options, *links_, callbacks);
  proto::ControlCall put;
  put.mutable_put_catalog()->set_version(1);
  put.mutable_put_catalog()->set_content("catalog");
  control_->Call(put, now_, [](const proto::ControlAnswer&) {});
  control_->Flush(now_);
  Run(milliseconds(20));
  front.OnReply(self_.host(), HearFront("f1", 0), now_);
  ASSERT_NE(lease_until, TimePoint());
  ASSERT_LE(lease_until, now_ + options.authority_lease);
  Order("d2", true);
  const TimePoint ordered_at = now_;
  while (answers_.empty() && now_ < ordered_at + seconds(2)) {
    Run(milliseconds(20));
  }
  ASSERT_EQ(answers_, kSuccess);
  EXPECT_GE(now_ - ordered_at, EvacuationAcks::kMaxWait);
  EXPECT_LE(now_ - ordered_at, EvacuationAcks::kMaxWait + milliseconds(60));
  EXPECT_LE(lease_until, now_ + kMustHaveStopped);
  // Sent again, the order is not waited for anew.
  answers_.clear();
  HearFront("f1", 0);
  Order("d2", true);
  Run(milliseconds(40));
  EXPECT_EQ(answers_, kSuccess);
}

// Guards against an order whose acknowledgement is put off by each later order,
// so that operators who evacuate and revoke in turn get none while a front does
// not report.
TEST_F(ControlServiceTest, ALaterOrderDoesNotDelayAnAcknowledgement) {
  Lead();
  HearFront("f1", 0);
  Run(milliseconds(40));
  Order("d2", true);
  const TimePoint ordered_at = now_;
  Run(milliseconds(600));
  EXPECT_TRUE(answers_.empty());
  HearFront("f1", 0);
  Order("d2", false);
  while (answers_.empty() && now_ < ordered_at + seconds(2)) {
    Run(milliseconds(20));
  }
  EXPECT_EQ(answers_, kSuccess);
  EXPECT_LE(now_ - ordered_at, EvacuationAcks::kMaxWait + milliseconds(60));
}

// Guards against an order for a misspelled domain that seems to have succeeded,
// and against a refusal by a host that has just started and knows no domains.
TEST_F(ControlServiceTest, AnUnknownFailureDomainIsRefused) {
  Lead();
  proto::BackendRecord record;
  record.set_id("b1");
  record.set_failure_domain("d9");
  record.set_address("127.0.0.1:1");
  control_->Announce(record, now_);
  for (const char* domain : {"d", "d99"}) {
    for (const bool evacuated : {true, false}) {
      Order(domain, evacuated);
    }
  }
  const std::string not_found(ErrorName(ErrorCode::kNotFound));
  EXPECT_EQ(answers_, std::vector<std::string>(4, not_found));
  EXPECT_EQ(HearFront("f1", 0).evacuations_version(), 0U);
  answers_.clear();
  for (const char* domain : {"d1", "d2", "d9"}) {
    // The domains of this host, of f1 and of the backend server.
    Order(domain, true);
  }
  HearFront("f1", 3);
  Run(milliseconds(40));
  EXPECT_EQ(answers_, std::vector<std::string>(3, ""));

  Start(false, {listen_});
  answers_.clear();
  HearSelf();
  Run(milliseconds(1'000));
  ASSERT_TRUE(control_->status().leads());
  Order("d7", true);
  Run(milliseconds(100));
  EXPECT_TRUE(answers_.empty()) << "the host may not have heard of d7 yet";
}

// Guards against a deregistration that is acknowledged and ends an earlier
// start of the server: this host was paused when another control host forwarded
// the later one.
TEST_F(ControlServiceTest, ADeregistrationEndsTheStartThatAnotherHostReports) {
  Lead();
  proto::BackendRecord record;
  record.set_id("b1");
  record.set_started_unix_ms(100);
  control_->Announce(record, now_);
  proto::HelloReply reply;
  record.set_started_unix_ms(200);
  *reply.add_backends() = record;
  control_->OnReply("c2", reply, now_);
  control_->DeregisterBackend("b1", now_);
  const proto::HelloReply told = HearFront("f1", 0, true);
  ASSERT_EQ(told.backends_size(), 1);
  EXPECT_TRUE(told.backends(0).gone());
  EXPECT_EQ(told.backends(0).started_unix_ms(), 200);
}

// Guards against an operator that gives up: a leader that has just started, or
// gone on after a pause, answered that a store host is unknown or that too few
// would remain, because no heartbeat of the others had arrived since then.
TEST_F(ControlServiceTest, ARetirementIsNotRefusedByAnIncompleteDirectory) {
  const auto retire = [this] {
    proto::ControlCall call;
    call.set_retire_host("s1");
    control_->Call(call, now_, [this](const proto::ControlAnswer& answer) {
      answers_.push_back(answer.error_name());
    });
    control_->Flush(now_);
  };
  const auto hear_stores = [this](const std::vector<const char*>& names) {
    for (const char* host : names) {
      Hear(Store(host, false));
    }
  };
  Lead();
  hear_stores({"s1", "s2", "s3", "s4"});
  now_ += seconds(6);
  Run(milliseconds(2'000));
  ASSERT_TRUE(control_->status().leads());
  hear_stores({"s1", "s2"});
  retire();
  Run(milliseconds(100));
  EXPECT_TRUE(answers_.empty()) << answers_[0];
  hear_stores({"s1", "s2", "s3", "s4"});
  retire();
  Run(milliseconds(100));
  EXPECT_EQ(answers_, std::vector<std::string>{""});
  answers_.clear();

  Start(false, {listen_});
  HearSelf();
  Run(milliseconds(1'000));
  ASSERT_TRUE(control_->status().leads());
  retire();
  EXPECT_EQ(answers_, std::vector<std::string>{""}) << "it is known already";
}

TEST_F(ControlServiceTest, ARetirementIsRefusedByACompleteDirectory) {
  Lead();
  for (const char* host : {"s1", "s2", "s3"}) {
    Hear(Store(host, false));
  }
  for (const char* host : {"s1", "s9"}) {
    proto::ControlCall call;
    call.set_retire_host(host);
    control_->Call(call, now_, [this](const proto::ControlAnswer& answer) {
      answers_.push_back(answer.error_name());
    });
  }
  EXPECT_EQ(answers_, (std::vector<std::string>{
                          std::string(ErrorName(ErrorCode::kConflict)),
                          std::string(ErrorName(ErrorCode::kNotFound))}));
}

// Guards against an acknowledged order that is lost with a power failure.
TEST_F(ControlServiceTest, OrdersOfEvacuationSurviveARestart) {
  Lead();
  HearFront("f1", 0);
  Order("d2", true);
  Order("d1", true);
  Order("d1", false);
  HearFront("f1", 3);
  Run(milliseconds(40));
  ASSERT_EQ(answers_, std::vector<std::string>(3, ""));
  Start(false, {listen_});
  HearSelf();
  Run(milliseconds(1'000));
  const proto::HelloReply reply = HearFront("f1", 0);
  ASSERT_TRUE(reply.confirmed());
  EXPECT_EQ(Domains(reply), std::vector<std::string>{"d2"});
  EXPECT_EQ(reply.evacuations_version(), 3U);
}

// Both orders are in progress at once: the one that is committed last counts,
// and both are acknowledged.
TEST_F(ControlServiceTest, OfTwoOrdersAtOnceTheLaterCounts) {
  Lead();
  for (const bool last : {true, false}) {
    answers_.clear();
    HearFront("f1", 100);
    for (const bool evacuated : {!last, last}) {
      control_->Call(OrderOf("d1", evacuated), now_,
                     [this](const proto::ControlAnswer& answer) {
                       answers_.push_back(answer.error_name());
                     });
    }
    control_->Flush(now_);
    Run(milliseconds(40));
    EXPECT_EQ(answers_, std::vector<std::string>(2, ""));
    EXPECT_EQ(Domains(HearFront("f1", 100)).size(), last ? 1U : 0U);
  }
}

// Guards against an order that reaches the leader again, or late, and undoes
// the opposite order that has been acknowledged meanwhile.
TEST_F(ControlServiceTest, AForwardedOrderIsNotExecutedAgainOrLate) {
  Lead();
  HearFront("f1", 100);
  proto::ControlCall first = OrderOf("d1", true);
  first.set_call(7);
  EXPECT_EQ(Forward(first), kSuccess);
  Order("d1", false);
  Run(milliseconds(40));
  ASSERT_EQ(answers_, kSuccess);
  // Its answer was lost.
  EXPECT_EQ(Forward(first), kSuccess);
  EXPECT_TRUE(Domains(HearFront("f1", 100)).empty());
  // Another host sent this one before the first and was cut off meanwhile.
  proto::ControlCall late = OrderOf("d1", true);
  late.set_call(8);
  EXPECT_EQ(Forward(late), std::vector<std::string>{
                               std::string(ErrorName(ErrorCode::kNoQuorum))});
  EXPECT_TRUE(Domains(HearFront("f1", 100)).empty());
  // Its operator still waits, so it is sent again by what the host knows now.
  late.set_evacuations_version(2);
  EXPECT_EQ(Forward(late), kSuccess);
  EXPECT_EQ(Domains(HearFront("f1", 100)), std::vector<std::string>{"d1"});
}

}  // namespace
}  // namespace sequoialb
