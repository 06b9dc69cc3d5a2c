#include "fleet/fleet_host.h"

#include <sys/resource.h>

#include <algorithm>
#include <future>

#include "base/hash.h"
#include "fleet/assignment_policy.h"
#include "fleet/boot_clock.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr milliseconds kControlTickInterval{20};
constexpr milliseconds kItemReportInterval{100};
constexpr milliseconds kSummaryInterval{1'000};
// Changes of servers and fronts reach the traffic thread at once; servers that
// become unresponsive are found by this interval.
constexpr milliseconds kPublishInterval{500};
// The authority lease ends this long before a withdrawn API key must have
// stopped working, because clocks of different hosts run at different rates.
constexpr milliseconds kWithdrawalMargin{250};
// The load balancer checks readiness once a second and stops sending requests
// to a front after two failed checks.
constexpr milliseconds kBalancerDetectionTime{2'500};
// Part of stop_grace that is reserved for the process itself to exit.
constexpr milliseconds kExitMargin{700};
constexpr milliseconds kDrainPollInterval{50};
// Time that a host without a front allows for handing over.
constexpr milliseconds kHandoverTime{400};
constexpr size_t kMaxOperatorBodyBytes = 8U << 20U;

HttpServerLimits LimitsOf(const CallerLimits& limits) {
  return {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
          limits.idle_timeout};
}

// Returns how many descriptors the process may open: the least of the setting,
// if it is not 0, and the limit of the system.
uint64_t DescriptorLimit(uint64_t setting) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return setting;
  }
  return setting == 0 ? limit.rlim_cur
                      : std::min<uint64_t>(setting, limit.rlim_cur);
}

std::string WholeMs(Duration d) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

void LogSuspicions(const std::vector<SuspicionEvent>& events) {
  for (const SuspicionEvent& event : events) {
    if (event.change == SuspicionChange::kBegun) {
      LogInfo("crash_suspected",
              {{"backend", event.server.backend},
               {"address", event.server.address},
               {"broken",
                event.first_age
                    ? "answer begun " + WholeMs(*event.first_age) + " ms before"
                    : "answer not begun"}});
    } else {
      LogInfo(event.change == SuspicionChange::kRefuted ? "crash_refuted"
                                                        : "crash_unproven",
              {{"backend", event.server.backend},
               {"requests", std::to_string(event.requests)}});
    }
  }
}

}  // namespace

FleetHost::FleetHost(const FleetSettings& settings,
                     const GatewayProtocol& gateway,
                     const ControlProtocol& control)
    : settings_(settings),
      gateway_protocol_(gateway),
      control_protocol_(control),
      incarnation_(static_cast<uint64_t>(UnixMs())),
      files_(MakePosixFileSystem()) {}

Result<std::unique_ptr<FleetHost>> FleetHost::Start(
    const FleetSettings& settings, const GatewayProtocol& gateway,
    const ControlProtocol& control) {
  std::unique_ptr<FleetHost> host(new FleetHost(settings, gateway, control));
  const Status opened = host->Open();
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  FleetHost* raw = host.get();
  host->control_thread_ = std::thread([raw] { raw->RunControl(); });
  host->traffic_thread_ = std::thread([raw] { raw->loop_.Run(); });
  return host;
}

proto::HostInfo FleetHost::Describe() const {
  proto::HostInfo info;
  info.set_host(settings_.host);
  info.set_failure_domain(settings_.failure_domain);
  info.set_peer_address(
      settings_.advertised_peer.value_or(settings_.peer).ToString());
  info.set_control(settings_.control.has_value());
  info.set_control_address(settings_.control ? settings_.control->ToString()
                                             : "");
  info.set_store(settings_.store);
  info.set_front(settings_.front.has_value());
  info.set_first_start(settings_.first_start);
  info.set_incarnation(incarnation_);
  return info;
}

Status FleetHost::Open() {
  auto links = HostLinks::Open(Describe(), settings_.peer, metrics_);
  if (!links) {
    return tl::unexpected<Error>(links.error());
  }
  links_ = std::move(*links);
  Status roles_created = CreateRoleComponents();
  if (!roles_created) {
    return roles_created;
  }
  return OpenListeners();
}

Status FleetHost::CreateRoleComponents() {
  const TimePoint now = BootNow();
  const milliseconds authority_lease = settings_.withdrawal - kWithdrawalMargin;
  if (settings_.control) {
    ControlOptions options;
    options.self = Describe();
    options.data_folder = settings_.data_folder;
    options.seeds = settings_.seed_peers();
    options.first_start = settings_.first_start;
    options.tolerated_losses = settings_.tolerated_losses;
    options.decode_catalog = [this](const std::string& content) {
      return control_protocol_.DecodeCatalog(content);
    };
    auto control =
        ControlService::Open(options, *files_, *links_, metrics_, now);
    if (!control) {
      return tl::unexpected<Error>(control.error());
    }
    control_ = std::move(*control);
    control_http_handler_ = std::make_unique<ControlHttpHandler>(
        loop_, control_protocol_, *control_,
        [this](std::function<void()> task) { PostControl(std::move(task)); });
  }
  if (settings_.store) {
    auto store = StoreService::Open(Describe(), settings_.data_folder,
                                    settings_.tolerated_losses, *files_,
                                    *links_, metrics_, now);
    if (!store) {
      return tl::unexpected<Error>(store.error());
    }
    store_ = std::move(*store);
  }
  MemberOptions options;
  options.self = Describe();
  options.seeds = settings_.seed_peers();
  options.authority_lease = authority_lease;
  options.wants_backends =
      settings_.front.has_value() || settings_.control.has_value();
  member_ = std::make_unique<FleetMember>(options, *links_, MemberCallbacks());
  if (settings_.front) {
    job_client_ = std::make_unique<JobClient>(*links_, *member_);
    front_ = std::make_unique<FrontShared>(loop_, metrics_, gateway_protocol_);
    front_->trials.SetSelf(settings_.host, incarnation_);
    front_->pool.LearnSpeeds(settings_.learn_server_speed);
    item_runner_ = std::make_unique<ItemRunner>(
        *front_, incarnation_, [this](const proto::ItemOutcome& outcome) {
          PostControl(
              [this, outcome] { job_client_->AddOutcome(outcome, BootNow()); });
          ScheduleDispatch();
        });
    job_handler_ = std::make_unique<JobHandler>(
        *front_, [this](proto::JobCall call, TimePoint deadline,
                        const JobHandler::Done& done) {
          const auto left = deadline - loop_.now();
          PostControl([this, call = std::move(call), left, done] {
            const TimePoint start = BootNow();
            job_client_->Call(call, start + left, start,
                              [this, done](const proto::JobAnswer& answer) {
                                loop_.Post([done, answer] { done(answer); });
                              });
          });
        });
    rate_limiter_ = std::make_unique<RateLimiter>(
        loop_, metrics_, [this](const proto::TokenRequest& request) {
          PostControl([this, request] {
            proto::FleetMessage message;
            *message.mutable_token_request() = request;
            links_->Send(member_->leader_host(), message);
          });
        });
    Gateway::Hooks hooks;
    hooks.stop_item = [this](const std::string& backend) {
      return item_runner_->StopOneAt(backend);
    };
    hooks.slot_freed = [this] { ScheduleDispatch(); };
    hooks.submit_job = [this](const std::shared_ptr<HttpExchange>& exchange,
                              const Route& route, const Account& account) {
      job_handler_->Submit(exchange, route, account);
    };
    gateway_ =
        std::make_unique<Gateway>(*front_, *rate_limiter_, std::move(hooks));
    loop_.RunAt(loop_.now() + kItemReportInterval, [this] { ReportItems(); });
    proto::LiveFront self;
    self.set_host(settings_.host);
    self.set_failure_domain(settings_.failure_domain);
    load_reporter_ = std::make_unique<LoadReporter>(
        front_->pool, std::move(self),
        [this](const std::vector<std::string>& hosts,
               const proto::FrontLoad& report) {
          PostControl([this, hosts, report] {
            proto::FleetMessage message;
            *message.mutable_front_load() = report;
            for (const std::string& host : hosts) {
              links_->Send(host, message);
            }
          });
        });
    loop_.RunAt(loop_.now() + LoadReporter::kInterval,
                [this] { ReportLoad(); });
  }
  return {};
}

Status FleetHost::OpenListeners() {
  const auto open = [this](const std::optional<Address>& address,
                           HttpServerLimits limits, HttpHandler handler,
                           std::unique_ptr<HttpServer>& server) -> Status {
    if (!address) {
      return {};
    }
    auto opened = HttpServer::Open(loop_, *address, limits, std::move(handler),
                                   metrics_, http_resources_);
    if (!opened) {
      return tl::unexpected<Error>(opened.error());
    }
    server = std::move(*opened);
    return {};
  };
  const BudgetLimits budget = LimitsForProcess(
      settings_.memory_limit_mb, DescriptorLimit(settings_.max_descriptors));
  http_resources_ = std::make_shared<HttpResources>(budget);
  LogInfo("client_limits",
          {{"held_bytes", std::to_string(budget.bytes)},
           {"connections", std::to_string(budget.connections)}});
  HttpServerLimits operator_limits;
  operator_limits.clients = ClientKind::kOperator;
  operator_limits.max_body_bytes = kMaxOperatorBodyBytes;
  Status status = open(
      settings_.front, {}, [this](const auto& e) { OnFrontRequest(e); },
      front_server_);
  if (status) {
    status = open(
        settings_.ready, {}, [this](const auto& e) { OnReadyRequest(e); },
        ready_server_);
  }
  if (status) {
    status = open(
        settings_.control, operator_limits,
        [this](const auto& e) { control_http_handler_->OnRequest(e); },
        control_server_);
  }
  if (status) {
    status = open(
        settings_.metrics, {},
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          HttpHeaders headers;
          headers.Add("Content-Type", "text/plain; version=0.0.4");
          exchange->Respond(200, headers, metrics_.Render());
        },
        metrics_server_);
  }
  return status;
}

FleetMember::Callbacks FleetHost::MemberCallbacks() {
  FleetMember::Callbacks callbacks;
  callbacks.on_catalog = [this](uint64_t version, const std::string& content) {
    return ApplyCatalog(version, content);
  };
  callbacks.on_authority_lease = [this](TimePoint until) {
    loop_.Post([this, until] {
      if (front_ != nullptr) {
        front_->view.authority.lease_until = until;
      }
    });
  };
  callbacks.on_contact = [this](TimePoint at) {
    loop_.Post([this, at] {
      if (front_ != nullptr) {
        front_->view.authority.contact_at = at;
      }
    });
  };
  callbacks.on_backends = [this] { PublishBackends(BootNow()); };
  callbacks.on_quarantines = [this](const Quarantines& quarantines) {
    loop_.Post([this, quarantines] {
      if (front_ != nullptr) {
        front_->view.quarantines = quarantines;
        LogInfo("quarantines_taken",
                {{"count", std::to_string(quarantines.size())}});
        gateway_->EndQuarantined();
      }
    });
  };
  callbacks.on_watched_parts = [this](const std::set<std::string>& parts) {
    loop_.Post([this, parts] {
      if (front_ != nullptr) {
        front_->crashes.SetWatched(parts);
      }
    });
  };
  callbacks.fill_hello = [this](proto::HostHello& hello) { FillHello(hello); };
  return callbacks;
}

bool FleetHost::ApplyCatalog(uint64_t version, const std::string& content) {
  if (!settings_.front) {
    return true;
  }
  auto catalog = control_protocol_.DecodeCatalog(content);
  if (!catalog) {
    LogError("catalog_unreadable", {{"version", std::to_string(version)},
                                    {"reason", catalog.error().detail}});
    return false;
  }
  LogInfo("catalog_taken",
          {{"version", std::to_string(version)},
           {"routes", std::to_string(catalog->routes.size())},
           {"accounts", std::to_string(catalog->accounts.size())}});
  cold_services_.clear();
  for (const CatalogService& service : catalog->services) {
    const Duration interval = ColdSendInterval(
        service.cold_rate, settings_.cold_excess, settings_.cold_slack);
    if (interval > Duration(0)) {
      cold_services_[service.name] = {interval, service.cold_duration};
    }
  }
  auto index = std::make_shared<const CatalogIndex>(std::move(*catalog));
  loop_.Post([this, index] {
    front_->view.catalog = index;
    front_server_->SetLimits(LimitsOf(index->catalog().limits));
  });
  PublishBackends(BootNow());
  return true;
}

void FleetHost::FillHello(proto::HostHello& hello) {
  proto::HostInfo& info = *hello.mutable_info();
  if (control_ != nullptr) {
    control_->FillInfo(info);
  } else if (store_ != nullptr) {
    info.set_node(store_->node());
    *info.mutable_group() = store_->status();
  }
  if (settings_.front) {
    hello.set_survivors(survivors_);
    hello.set_evacuations_version(evacuations_applied_);
  }
  for (const proto::TrialWanted& wanted : trials_wanted_) {
    *hello.add_trials_wanted() = wanted;
  }
  if (store_ != nullptr) {
    for (proto::TrialWanted& wanted : store_->TrialsWanted(BootNow())) {
      *hello.add_trials_wanted() = std::move(wanted);
    }
  }
}

// Returns what is known of a server's cold period. `fronts` may be assigned to
// the servers of its failure domain.
ColdServer FleetHost::DescribeCold(const KnownBackend& known,
                                   const std::vector<std::string>& fronts,
                                   TimePoint now) {
  const proto::BackendRecord& record = known.record;
  ColdServer cold;
  cold.as_of = now;
  const auto service = cold_services_.find(record.service());
  if (service == cold_services_.end()) {
    return cold;
  }
  cold.send_interval = service->second.send_interval;
  cold.duration = service->second.duration;
  cold.announced_at = known.last_contact;
  if (record.has_cold_left_ms()) {
    cold.cold_until = known.last_contact + milliseconds(record.cold_left_ms());
  }
  const ColdOwners::Owner owner =
      cold_owners_.OwnerOf(record.id(), fronts, now);
  if (owner.front == settings_.host) {
    cold.owner_since = owner.since;
  }
  return cold;
}

// Passes the backend servers that accept work to the traffic thread, with
// whether this front is the assigned front of each (assignment_policy.h). Those
// of evacuated failure domains are left out. While a server of a service with a
// cold rate is cold, its owner is its assigned front.
void FleetHost::PublishBackends(TimePoint now) {
  if (front_ == nullptr || member_ == nullptr) {
    return;
  }
  next_publish_at_ = now + kPublishInterval;
  const proto::HelloReply& confirmed = member_->last_confirmed_reply();
  const std::set<std::string> evacuated(confirmed.evacuated_domains().begin(),
                                        confirmed.evacuated_domains().end());
  const auto servers = member_->backends().Usable(now, member_->InContact(now));
  std::set<std::string> server_domains;
  for (const KnownBackend* known : servers) {
    server_domains.insert(known->record.failure_domain());
  }
  const auto fronts = AssignableFronts(
      {confirmed.live_fronts().begin(), confirmed.live_fronts().end()},
      server_domains, evacuated);
  const bool self_evacuated = evacuated.count(settings_.failure_domain) > 0;
  cold_owners_.SetLiveFronts(
      Hash64(std::to_string(confirmed.evacuations_version()),
             confirmed.live_fronts_hash()),
      now);
  std::vector<UsableBackend> usable;
  std::map<std::string, std::string> evacuated_backends;
  std::map<std::string, size_t> backends_per_domain;
  for (const KnownBackend* known : servers) {
    const proto::BackendRecord& record = known->record;
    const auto address = ParseAddress(record.address());
    if (!address || record.slots() == 0) {
      continue;
    }
    const auto candidate_fronts = fronts.find(record.failure_domain());
    if (candidate_fronts == fronts.end()) {
      evacuated_backends[record.id()] = record.address();
      continue;
    }
    const std::vector<std::string>& candidates = candidate_fronts->second;
    const size_t index = backends_per_domain[record.failure_domain()]++;
    UsableBackend backend;
    backend.id = record.id();
    backend.service = record.service();
    backend.address = *address;
    backend.assigned = !candidates.empty() &&
                       candidates[index % candidates.size()] == settings_.host;
    // A front of an evacuated domain has no servers nearby and uses its
    // assigned ones like local ones: it does not stop batch items to avoid
    // them.
    backend.local = record.failure_domain() == settings_.failure_domain ||
                    (self_evacuated && backend.assigned);
    backend.slots = record.slots();
    backend.cold = record.cold_left_ms() > 0;
    backend.started_unix_ms = record.started_unix_ms();
    backend.cold_server = DescribeCold(*known, candidates, now);
    if (backend.cold_server.cold_until.value_or(now) > now) {
      backend.assigned = backend.cold_server.owner_since.has_value();
    }
    usable.push_back(std::move(backend));
  }
  loop_.Post([this, usable, evacuated, evacuated_backends,
              count = static_cast<size_t>(confirmed.live_fronts_size()),
              live = confirmed.live_fronts(),
              version = confirmed.evacuations_version()] {
    load_reporter_->SetFronts(live);
    // The two threads use different clocks.
    const Duration offset = loop_.now() - BootNow();
    std::vector<UsableBackend> servers = usable;
    for (UsableBackend& server : servers) {
      server.cold_server.Shift(offset);
    }
    front_->SetUsable(servers);
    ApplyEvacuations(version, evacuated, evacuated_backends);
    rate_limiter_->SetFronts(count);
    front_->pool.SetPeers(count > 0 ? count - 1 : 0);
    ScheduleDispatch();
  });
}

void FleetHost::ApplyEvacuations(uint64_t version,
                                 const std::set<std::string>& domains,
                                 std::map<std::string, std::string> backends) {
  if (version == evacuations_applied_) {
    // A server that has become unresponsive since may still run requests.
    front_->evacuated.merge(backends);
    return;
  }
  front_->evacuated = std::move(backends);
  std::string names;
  for (const std::string& domain : domains) {
    names.append(names.empty() ? "" : " ").append(domain);
  }
  LogInfo("evacuation_applied",
          {{"version", std::to_string(version)},
           {"domains", names},
           {"backends", std::to_string(front_->evacuated.size())},
           {"requests_left", std::to_string(EvacuatedRequests())}});
  metrics_.gauge("sequoialb_evacuated_domains_applied")
      .Set(static_cast<double>(domains.size()));
  evacuations_applied_ = version;
  PostControl([this] { member_->HeartbeatSoon(); });
}

size_t FleetHost::EvacuatedRequests() const {
  size_t requests = 0;
  for (const auto& [backend, own] : front_->pool.OwnRequests()) {
    requests += front_->evacuated.count(backend) > 0 ? own : 0;
  }
  return requests;
}

void FleetHost::PostControl(std::function<void()> task) {
  control_tasks_.Add(std::move(task));
}

void FleetHost::RunControl() {
  TimePoint tick_due = BootNow();
  while (!stopping_) {
    std::vector<zmq::pollitem_t> items;
    items.push_back({nullptr, control_tasks_.fd(), ZMQ_POLLIN, 0});
    links_->AddPollItems(items);
    const int64_t wait_ms =
        links_->HasMessagesToSelf() ? 0 : RemainingMs(tick_due, BootNow()) + 1;
    zmq::poll(items, milliseconds(wait_ms));
    const TimePoint now = BootNow();
    // Timers run before messages are handled: after a pause of the process,
    // they expire state that must not be acted on any more.
    if (now >= tick_due) {
      tick_due = now + kControlTickInterval;
      TickControl(now);
    }
    links_->Drain(
        [this](const std::string& from, const proto::FleetMessage& message) {
          HandleMessage(from, message);
        });
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      control_tasks_.RunAll();
    }
    if (control_ != nullptr) {
      control_->Flush(BootNow());
    }
    if (store_ != nullptr) {
      store_->Flush(BootNow());
    }
  }
}

void FleetHost::TickControl(TimePoint now) {
  member_->Tick(now);
  if (control_ != nullptr) {
    control_->Tick(now);
  }
  if (store_ != nullptr) {
    store_->OnFleetUpdate(member_->hosts(), member_->last_confirmed_reply(),
                          now);
    store_->Tick(now);
  }
  if (job_client_ != nullptr) {
    job_client_->Tick(now);
  }
}

void FleetHost::HandleMessage(const std::string& from,
                              const proto::FleetMessage& message) {
  // The clock is read after the message has arrived: leadership that is
  // confirmed at `now` or later was already held when the message was sent.
  const TimePoint now = BootNow();
  switch (message.kind_case()) {
    case proto::FleetMessage::kHelloReply:
      member_->OnReply(from, message.hello_reply(), now);
      if (control_ != nullptr && from != settings_.host) {
        control_->OnReply(from, message.hello_reply(), now);
      }
      return;
    case proto::FleetMessage::kHello:
      if (control_ != nullptr) {
        control_->OnHello(from, message.hello(), now);
      }
      return;
    case proto::FleetMessage::kGroup:
      if (control_ != nullptr && message.group().group() == "control") {
        control_->OnRaftMessage(message.group().raft(), now);
      } else if (store_ != nullptr && message.group().group() == "store") {
        store_->OnGroupMessage(message.group().raft(), now);
      }
      return;
    case proto::FleetMessage::kControlCall:
      if (control_ != nullptr) {
        control_->OnCall(from, message.control_call(), now);
      }
      return;
    case proto::FleetMessage::kControlAnswer:
      if (control_ != nullptr) {
        control_->OnAnswer(message.control_answer());
      }
      return;
    case proto::FleetMessage::kBackend:
      if (control_ != nullptr) {
        control_->OnBackendRecord(message.backend(), now);
      }
      return;
    case proto::FleetMessage::kJobCall:
      if (store_ != nullptr) {
        store_->OnCall(from, message.job_call(), now);
      }
      return;
    case proto::FleetMessage::kItemReport:
      if (store_ != nullptr) {
        store_->OnReport(from, message.item_report(), now);
      }
      return;
    case proto::FleetMessage::kItemOutcome:
      if (store_ != nullptr) {
        store_->OnOutcome(from, message.item_outcome(), now);
      }
      return;
    case proto::FleetMessage::kJobAnswer:
      if (job_client_ != nullptr) {
        job_client_->OnAnswer(message.job_answer(), now);
      }
      return;
    case proto::FleetMessage::kItemOffers:
      if (job_client_ != nullptr) {
        job_client_->OnOffers(from, message.item_offers(), now);
        loop_.Post([this, offers = message.item_offers()] {
          for (const proto::ItemName& name : offers.stop()) {
            item_runner_->Stop(name);
          }
          for (const proto::ItemOffer& offer : offers.offers()) {
            item_runner_->AcceptOffer(offer);
          }
        });
      }
      return;
    case proto::FleetMessage::kFrontLoad:
      if (front_ != nullptr) {
        loop_.Post([this, from, report = message.front_load()] {
          load_reporter_->OnReport(from, report, loop_.now());
        });
      }
      return;
    case proto::FleetMessage::kItemTaken:
      if (job_client_ != nullptr) {
        job_client_->OnOutcomeTaken(message.item_taken());
      }
      return;
    default:
      if (!HandleTokenMessage(from, message, now)) {
        LogWarn("message_of_unknown_kind", {{"from", from}});
      }
  }
}

bool FleetHost::HandleTokenMessage(const std::string& from,
                                   const proto::FleetMessage& message,
                                   TimePoint now) {
  switch (message.kind_case()) {
    case proto::FleetMessage::kTokenRequest:
      if (control_ != nullptr) {
        control_->OnTokenRequest(from, message.token_request(), now);
      }
      return true;
    case proto::FleetMessage::kTokenReply:
      if (rate_limiter_ != nullptr) {
        loop_.Post([this, reply = message.token_reply()] {
          rate_limiter_->OnReply(reply);
        });
      }
      return true;
    case proto::FleetMessage::kTokenRecall:
      if (rate_limiter_ != nullptr) {
        loop_.Post([this, recall = message.token_recall()] {
          rate_limiter_->OnRecall(recall);
        });
      }
      return true;
    default:
      return false;
  }
}

void FleetHost::ScheduleDispatch() {
  if (dispatch_scheduled_) {
    return;
  }
  dispatch_scheduled_ = true;
  loop_.RunAt(loop_.now(), [this] {
    dispatch_scheduled_ = false;
    gateway_->DispatchQueued();
    item_runner_->StartWaiting();
  });
}

void FleetHost::ReportItems() {
  loop_.RunAt(loop_.now() + kItemReportInterval, [this] { ReportItems(); });
  item_runner_->StartWaiting();
  proto::ItemReport report;
  item_runner_->Report(report);
  metrics_.gauge("sequoialb_evacuated_requests")
      .Set(static_cast<double>(EvacuatedRequests()));
  if (loop_.now() >= next_summary_at_) {
    next_summary_at_ = loop_.now() + kSummaryInterval;
    front_->UpdateMetrics();
    LogInfo("front_load",
            {{"pool", front_->pool.Summary(loop_.now())},
             {"items_held", std::to_string(report.in_hand_size())},
             {"waiting", std::to_string(gateway_->waiting())}});
    const BackendPool::SpeedCounts counts = front_->pool.CountSpeeds();
    metrics_.gauge("sequoialb_limited_servers")
        .Set(static_cast<double>(counts.limited));
    metrics_.gauge("sequoialb_slow_servers")
        .Set(static_cast<double>(counts.slow));
  }
  PostControl([this, report] {
    const TimePoint boot_now = BootNow();
    job_client_->SendReport(report, boot_now);
    if (boot_now >= next_publish_at_) {
      PublishBackends(boot_now);
    }
  });
}

void FleetHost::ReportLoad() {
  const TimePoint now = loop_.now();
  loop_.RunAt(now + LoadReporter::kInterval, [this] { ReportLoad(); });
  gateway_->CheckStalls();
  item_runner_->CheckStalls();
  for (const std::string& backend : front_->pool.ItemsToStop(now)) {
    item_runner_->StopOneAt(backend);
  }
  load_reporter_->Tick(static_cast<uint32_t>(gateway_->waiting()), now);
  ReportCrashes(now);
  std::vector<proto::TrialWanted> wanted = front_->trials.Wanted(now);
  if (!wanted.empty() || wants_trials_) {
    wants_trials_ = !wanted.empty();
    PostControl([this, wanted] { trials_wanted_ = wanted; });
  }
  survivors_ = front_->survivors.Sum(now);
}

void FleetHost::ReportCrashes(TimePoint now) {
  front_->ProbeSuspects();
  std::vector<CrashRecord> crashes = front_->crashes.TakeCrashes(now);
  LogSuspicions(front_->crashes.TakeEvents());
  SoundParts sound = front_->crashes.TakeSound(now);
  if (crashes.empty() && sound.empty()) {
    return;
  }
  // The two threads use different clocks.
  const Duration offset = BootNow() - now;
  for (CrashRecord& crash : crashes) {
    LogInfo("backend_crashed",
            {{"backend", crash.backend},
             {"proof", std::string(NameOf(crash.proof))},
             {"started_unix_ms", std::to_string(crash.started_unix_ms)},
             {"requests", std::to_string(crash.requests.size())},
             {"youngest_ms", WholeMs(crash.youngest)},
             {"oldest_ms", WholeMs(crash.oldest)}});
    crash.at += offset;
  }
  for (auto& [part, answers] : sound) {
    answers.at += offset;
    if (answers.whole_at != TimePoint()) {
      answers.whole_at += offset;
    }
  }
  PostControl([this, crashes, sound] {
    member_->ReportCrashes(crashes, sound, BootNow());
  });
}

void FleetHost::OnFrontRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const auto job = gateway_protocol_.DecodeJobRequest(exchange->head());
  if (job) {
    job_handler_->OnRequest(exchange, *job);
    return;
  }
  gateway_->OnRequest(exchange);
}

void FleetHost::OnReadyRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const bool ready = front_->view.has_authority() && !front_->view.draining();
  exchange->Respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
}

void FleetHost::Reload(const FleetSettings& settings) {
  LogInfo("settings_reloaded",
          {{"seeds", std::to_string(settings.seeds.size())}});
  PostControl([this, settings] { member_->SetSeeds(settings.seed_peers()); });
}

bool FleetHost::CloseServersIfIdle(TimePoint limit) {
  const auto closed = std::make_shared<std::promise<bool>>();
  std::future<bool> outcome = closed->get_future();
  // Runs on the traffic thread, so that no request can arrive between the check
  // and the end of the process.
  loop_.Post([this, closed] {
    const bool front_closed =
        front_server_ == nullptr || front_server_->CloseIfIdle();
    const bool control_closed =
        control_server_ == nullptr || control_server_->CloseIfIdle();
    closed->set_value(front_closed && control_closed);
  });
  return outcome.wait_until(limit) == std::future_status::ready &&
         outcome.get();
}

void FleetHost::Drain() {
  const TimePoint begin = Clock::now();
  const TimePoint limit = begin + settings_.stop_grace - kExitMargin;
  PostControl([this] {
    member_->Leave();
    if (control_ != nullptr) {
      control_->StepDown(BootNow());
    }
    if (store_ != nullptr) {
      store_->StepDown(BootNow());
    }
  });
  const milliseconds detection =
      front_ == nullptr ? kHandoverTime : kBalancerDetectionTime;
  loop_.Post([this, begin, limit, detection] {
    size_t busy = 0;
    for (HttpServer* server : {front_server_.get(), control_server_.get()}) {
      if (server != nullptr) {
        busy += server->busy();
        server->Drain(begin + detection);
      }
    }
    if (front_ != nullptr) {
      front_->view.drain = DrainSchedule{begin + detection, limit};
      item_runner_->StopAll();
    }
    LogInfo("draining", {{"busy", std::to_string(busy)}});
  });
  std::this_thread::sleep_until(std::min(begin + detection, limit));
  bool closed = CloseServersIfIdle(limit);
  while (!closed && Clock::now() < limit) {
    std::this_thread::sleep_for(kDrainPollInterval);
    closed = CloseServersIfIdle(limit);
  }
  LogInfo("drained", {{"requests_left", closed ? "no" : "yes"}});
}

FleetHost::~FleetHost() {
  stopping_ = true;
  PostControl([] {});
  loop_.Stop();
  if (control_thread_.joinable()) {
    control_thread_.join();
  }
  if (traffic_thread_.joinable()) {
    traffic_thread_.join();
  }
  front_server_.reset();
  ready_server_.reset();
  control_server_.reset();
  metrics_server_.reset();
}

}  // namespace sequoialb
