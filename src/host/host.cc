#include "host/host.h"

#include <future>

#include "base/check.h"
#include "base/hash.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kTickInterval{20};
constexpr seconds kReconcileInterval{1};

}  // namespace

Host::Host(const Settings& settings)
    : settings_(settings),
      incarnation_(static_cast<uint64_t>(UnixMs())),
      spans_(settings.host),
      files_(MakePosixFileSystem()) {}

Result<std::unique_ptr<Host>> Host::Start(const Settings& settings) {
  std::unique_ptr<Host> host(new Host(settings));
  const tl::expected<void, Error> opened = host->Open();
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  host->thread_ = std::thread([&h = *host] { h.Run(); });
  return host;
}

tl::expected<void, Error> Host::Open() {
  if (posted_.fd() < 0) {
    return Fail(ErrorCode::kIo, "eventfd failed");
  }
  auto transport = PeerTransport::Open(settings_, incarnation_, metrics_);
  if (!transport) {
    return tl::unexpected<Error>(transport.error());
  }
  transport_ = std::move(*transport);
  const auto post = [this](std::function<void()> task) {
    Post(std::move(task));
  };
  leader_ = std::make_unique<LeaderClient>(
      *transport_, settings_.replica_hosts(), Hash64(settings_.host));
  session_ = std::make_unique<SessionClient>(*transport_, *leader_, config_,
                                             incarnation_);
  rates_ = std::make_unique<RateService>(
      settings_.host, settings_.policies.rates, settings_.hosts.size(), config_,
      *transport_, metrics_, [this] { Post([this] { TickRates(); }); });
  dispatch_ = std::make_unique<DispatchService>(settings_, incarnation_,
                                                *transport_, metrics_, post);
  std::unique_ptr<BlobStore> store;
  if (settings_.self().replica) {
    auto replica = Replica::Open(settings_, *files_, *transport_, metrics_,
                                 post, Clock::now());
    if (!replica) {
      return tl::unexpected<Error>(replica.error());
    }
    replica_ = std::move(*replica);
    auto opened = BlobStore::Open(*files_, settings_.data_folder + "/blobs");
    if (!opened) {
      return tl::unexpected<Error>(opened.error());
    }
    store = std::move(*opened);
  }
  blobs_ = std::make_unique<BlobService>(settings_, std::move(store),
                                         *transport_, metrics_, post);
  return {};
}

Host::~Host() {
  stopping_ = true;
  Post([] {});
  if (thread_.joinable()) {
    thread_.join();
  }
  replica_.reset();
  blobs_.reset();
}

void Host::Post(std::function<void()> task) { posted_.Add(std::move(task)); }

void Host::Run() {
  TimePoint tick_due = Clock::now();
  while (!stopping_) {
    std::vector<zmq::pollitem_t> items;
    items.push_back({nullptr, posted_.fd(), ZMQ_POLLIN, 0});
    transport_->AddPollItems(items);
    const TimePoint before = Clock::now();
    // Round up: a wait of a fraction of a millisecond would be a busy loop.
    const int64_t wait_ms =
        transport_->HasLocalMessages() ? 0 : RemainingMs(tick_due, before) + 1;
    zmq::poll(items, milliseconds(wait_ms));
    const TimePoint now = Clock::now();
    // Run timers before handling messages: if the process was paused, they end
    // leases that expired meanwhile and must not be acted on.
    if (now >= tick_due) {
      tick_due = now + kTickInterval;
      Tick(now);
    }
    transport_->Drain(
        [this](const proto::Envelope& envelope) { Handle(envelope); });
    posted_.RunAll();
    if (replica_ != nullptr) {
      replica_->Flush(Clock::now());
    }
  }
}

void Host::Tick(TimePoint now) {
  if (replica_ != nullptr) {
    replica_->Tick(now);
    if (now >= reconcile_due_) {
      reconcile_due_ = now + kReconcileInterval;
      blobs_->Reconcile(replica_->ledger().batches().ReferencedBlobs(),
                        replica_->ledger().applied_index(), now);
    }
  }
  session_->Tick(now, blobs_->missing());
  leader_->Tick(now);
  TickRates();
  dispatch_->Tick(now);
  blobs_->Tick(now);
}

void Host::TickRates() {
  rates_->Tick(Clock::now(),
               session_->in_view() ? session_->lease_until() : TimePoint());
}

void Host::Handle(const proto::Envelope& envelope) {
  const TimePoint now = Clock::now();
  switch (envelope.body_case()) {
    case proto::Envelope::kProposeReply:
      leader_->OnProposeReply(envelope.from(), envelope.propose_reply(), now);
      return;
    case proto::Envelope::kQueryReply:
      leader_->OnQueryReply(envelope.from(), envelope.query_reply(), now);
      return;
    case proto::Envelope::kHeartbeatReply:
      session_->OnReply(envelope.from(), envelope.heartbeat_reply(), now);
      return;
    case proto::Envelope::kTokenRequest:
      rates_->OnRequest(envelope.from(), envelope.token_request(), now);
      return;
    case proto::Envelope::kTokenReply:
      rates_->OnReply(envelope.token_reply(), now);
      return;
    case proto::Envelope::kTokenRecall:
      rates_->OnRecall(envelope.token_recall(), now);
      return;
    case proto::Envelope::kAssignment:
      if (handlers_.on_assignment) {
        handlers_.on_assignment(envelope.assignment());
      }
      return;
    case proto::Envelope::kStopLot:
      if (handlers_.on_stop_batch) {
        handlers_.on_stop_batch(envelope.stop_lot().lot_id());
      }
      return;
    default:
      break;
  }
  if (dispatch_->OnEnvelope(envelope, now) ||
      blobs_->OnEnvelope(envelope, now)) {
    return;
  }
  if (replica_ != nullptr && replica_->OnEnvelope(envelope, now)) {
    return;
  }
  // A host without a replica replies that it is not the leader, so that the
  // requester tries another host.
  if (envelope.has_propose()) {
    proto::Envelope reply;
    reply.mutable_propose_reply()->set_request_id(
        envelope.propose().request_id());
    reply.mutable_propose_reply()->set_not_leader(true);
    transport_->Send(envelope.from(), std::move(reply));
  }
}

Result<proto::CommandResult> Host::Propose(proto::Command command,
                                           TimePoint deadline) {
  auto done = std::make_shared<std::promise<Result<proto::CommandResult>>>();
  std::future<Result<proto::CommandResult>> outcome = done->get_future();
  Post([this, done, deadline, command = std::move(command)]() mutable {
    leader_->Propose(std::move(command), deadline, Clock::now(),
                     [done](Result<proto::CommandResult> result) {
                       done->set_value(std::move(result));
                     });
  });
  return outcome.get();
}

Result<proto::QueryReply> Host::Query(proto::Query query, TimePoint deadline) {
  auto done = std::make_shared<std::promise<Result<proto::QueryReply>>>();
  std::future<Result<proto::QueryReply>> outcome = done->get_future();
  Post([this, done, deadline, query = std::move(query)]() mutable {
    leader_->SendQuery(std::move(query), deadline, Clock::now(),
                       [done](Result<proto::QueryReply> result) {
                         done->set_value(std::move(result));
                       });
  });
  return outcome.get();
}

void Host::SetWorkHandlers(WorkHandlers handlers) {
  Post([this, handlers = std::move(handlers)] { handlers_ = handlers; });
}

template <typename T>
T Host::RunOnControlThread(const std::function<T()>& read) {
  auto done = std::make_shared<std::promise<T>>();
  std::future<T> value = done->get_future();
  Post([done, read] { done->set_value(read()); });
  return value.get();
}

TimePoint Host::SessionLeaseUntil() {
  return RunOnControlThread<TimePoint>([this] {
    return session_->in_view() ? session_->lease_until() : TimePoint();
  });
}

HostStatus Host::Status() {
  return RunOnControlThread<HostStatus>([this] {
    HostStatus status;
    const ConfigPointer config = config_.current();
    const TimePoint now = Clock::now();
    status.leader = leader_->leader();
    status.replica = replica_ != nullptr;
    status.leads = replica_ != nullptr && replica_->leads();
    status.in_view = session_->in_view() && now < session_->lease_until();
    status.dispatching = dispatch_->dispatching();
    status.config_index = config->index;
    status.view_epoch = config->view.epoch();
    status.settled_epoch = config->view.settled_epoch();
    status.fresh_ms = RemainingMs(config_.fresh_until(), now);
    status.log_applied =
        replica_ != nullptr ? replica_->ledger().applied_index() : 0;
    return status;
  });
}

std::vector<BackendState> Host::Backends() {
  return RunOnControlThread<std::vector<BackendState>>([this] {
    std::vector<BackendState> states;
    if (!dispatch_->dispatching()) {
      return states;
    }
    for (const auto& [id, state] : dispatch_->scheduler().backends().all()) {
      states.push_back(state);
    }
    return states;
  });
}

void Host::SetBlockedHosts(const std::set<std::string>& hosts) {
  RunOnControlThread<bool>([this, &hosts] {
    transport_->SetBlockedHosts(hosts);
    return true;
  });
}

std::set<std::string> Host::BlockedHosts() {
  return RunOnControlThread<std::set<std::string>>(
      [this] { return transport_->blocked_hosts(); });
}

void Host::Leave() {
  leaving_ = true;
  RunOnControlThread<bool>([this] {
    const TimePoint now = Clock::now();
    dispatch_->Leave(now);
    if (replica_ != nullptr) {
      replica_->StepDown(now);
    }
    return true;
  });
  LogInfo("leaving");
}

void Host::LeaveSession() {
  RunOnControlThread<bool>([this] {
    session_->Leave(Clock::now());
    return true;
  });
}

}  // namespace sequoialb
