#include "jobs/item_scheduler.h"

#include <algorithm>

#include "observe/log.h"
#include "quarantine/trial_grants.h"

namespace sequoialb {
namespace {

// Fronts report ten times a second. One that has not reported for this long has
// stopped or is cut off.
constexpr milliseconds kFrontTimeout{1'500};
// The free slots that a front has reported count for this long.
constexpr milliseconds kFreeSlotsMaxAge{300};
// A new leader has received reports from all fronts after this time.
constexpr milliseconds kReportCollectionTime{700};
// An offer that the front does not report within this time was lost.
constexpr milliseconds kOfferTimeout{600};
// Delay before a failed item is offered again, so that it runs on another
// server.
constexpr milliseconds kRetryDelay{300};
// A route has ended when it is missing from the same catalog for this long. A
// front may act on a catalog that another has replaced for as long as its
// authority lasts, which is less; what it sends after that has been confirmed.
constexpr milliseconds kRouteEndTime{10'000};
// Delay before a job without a route is offered again.
constexpr milliseconds kMissingRouteDelay{500};
// Sets of quarantines that hold items back, of which the control hosts are
// told.
constexpr size_t kMaxTrialsWanted = 32;
// Bits of a run's number that count the runs that one leader has offered.
constexpr unsigned kAttemptBits = 32;
// Weight of the newest run in the means.
constexpr double kNewestRunWeight = 0.1;
// Factor by which bursts of online requests lengthen an item's run: they take
// its slot for up to a third of the time.
constexpr double kInterruptionFactor = 1.5;

}  // namespace

void ItemScheduler::StartLeading(uint64_t term, TimePoint now) {
  next_attempt_ = (term << kAttemptBits) + 1;
  running_.clear();
  progress_.clear();
  not_before_.clear();
  fronts_.clear();
  missing_routes_.clear();
  trial_offered_at_.clear();
  catalog_waits_.Clear();
  route_waits_.Clear();
  no_offers_until_ = now + kReportCollectionTime;
}

const JobItemState* ItemScheduler::FindUnfinished(const Key& key) const {
  const JobState* job = jobs_.Find(key.first);
  if (job == nullptr || job->ended) {
    return nullptr;
  }
  const JobItemState* item = job->FindItem(key.second);
  return item == nullptr || item->finished ? nullptr : item;
}

bool ItemScheduler::IsCurrent(const std::string& front,
                              const proto::ItemOutcome& outcome) const {
  const auto running =
      running_.find({outcome.name().job(), outcome.name().item()});
  return running != running_.end() && running->second.front == front &&
         running->second.attempt == outcome.name().attempt();
}

void ItemScheduler::ReconcileRunning(const std::string& front,
                                     const proto::ItemReport& report,
                                     TimePoint now, proto::ItemOffers& answer) {
  std::set<Key> reported_keys;
  for (const proto::ItemName& name : report.in_hand()) {
    const Key key{name.job(), name.item()};
    reported_keys.insert(key);
    const auto known = running_.find(key);
    const bool assigned_elsewhere =
        known != running_.end() && (known->second.front != front ||
                                    known->second.attempt != name.attempt());
    const JobItemState* item = FindUnfinished(key);
    if (item == nullptr || assigned_elsewhere) {
      *answer.add_stop() = name;
      continue;
    }
    if (item->HasCounted(name.attempt())) {
      // The front does not know yet that the outcome has been recorded.
      continue;
    }
    if (known == running_.end()) {
      running_[key] = {front, name.attempt(), now, true};
    } else {
      known->second.reported = true;
    }
  }
  for (auto it = running_.begin(); it != running_.end();) {
    const Running& running = it->second;
    const bool lost =
        running.front == front && reported_keys.count(it->first) == 0 &&
        (running.reported || now - running.offered_at > kOfferTimeout);
    it = lost ? running_.erase(it) : std::next(it);
  }
}

void ItemScheduler::OnReport(const std::string& front,
                             const proto::ItemReport& report, TimePoint now,
                             proto::ItemOffers& answer) {
  ReconcileRunning(front, report, now, answer);
  size_t free_slots = 0;
  for (const auto& entry : report.room()) {
    free_slots += entry.items();
  }
  FrontState& state = fronts_[front];
  state = {now, free_slots, report.catalog_version()};
  if (now >= no_offers_until_ && free_slots > 0) {
    OfferItems(front, state, answer);
  }
}

int64_t ItemScheduler::DueUnixMs(const JobState& job) {
  return job.job.accepted_unix_ms() + job.job.due_ms();
}

Duration ItemScheduler::TimeNeeded(const Key& key) const {
  double remaining_fraction = 1;
  const auto progress = progress_.find(key);
  if (progress != progress_.end() && progress->second.has_last_event &&
      mean_events_ > 0) {
    const auto events_done = static_cast<double>(progress->second.last_event);
    remaining_fraction = std::clamp(1 - events_done / mean_events_, 0.05, 1.0);
  }
  return FromSeconds(mean_run_s_ * remaining_fraction * kInterruptionFactor);
}

std::set<ItemScheduler::QuarantineKey> ItemScheduler::Covering(
    const JobItemState& item) const {
  std::set<QuarantineKey> covering;
  if (quarantines_.empty()) {
    return covering;
  }
  for (const proto::Quarantine* quarantine :
       AllQuarantines(quarantines_, {item.item->shared_parts().begin(),
                                     item.item->shared_parts().end()})) {
    covering.insert(PartsOf(*quarantine));
  }
  return covering;
}

bool ItemScheduler::MayTry(const std::set<QuarantineKey>& covering,
                           const std::string& front, TimePoint now) const {
  return std::all_of(quarantines_.begin(), quarantines_.end(),
                     [&](const proto::Quarantine& quarantine) {
                       const QuarantineKey key = PartsOf(quarantine);
                       const auto offered = trial_offered_at_.find(key);
                       return covering.count(key) == 0 ||
                              (quarantine.trials() > 0 &&
                               quarantine.trial_host() == front &&
                               (offered == trial_offered_at_.end() ||
                                now - offered->second > kOfferTimeout));
                     });
}

bool ItemScheduler::IsWaiting(const JobState& job, const JobItemState& item,
                              TimePoint now) const {
  const Key key{job.job.id(), item.id()};
  const auto paused = not_before_.find(key);
  return !item.finished && !job.IsSpent(item) && running_.count(key) == 0 &&
         (paused == not_before_.end() || now >= paused->second);
}

std::vector<ItemScheduler::Candidate> ItemScheduler::WaitingByPriority(
    const std::string& front, uint64_t catalog_version, TimePoint now) const {
  std::vector<Candidate> waiting;
  const int64_t unix_now = UnixMs();
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!job.open() || job.job.catalog_version() > catalog_version) {
      continue;
    }
    const auto missing = missing_routes_.find(id);
    if (missing != missing_routes_.end() && now < missing->second.retry_at &&
        catalog_version <= missing->second.catalog_version) {
      continue;
    }
    for (const JobItemState& item : job.items) {
      if (!IsWaiting(job, item, now)) {
        continue;
      }
      std::set<QuarantineKey> covering = Covering(item);
      if (!MayTry(covering, front, now)) {
        continue;
      }
      const milliseconds due_left(DueUnixMs(job) - unix_now);
      waiting.push_back({&job, &item, due_left >= TimeNeeded({id, item.id()}),
                         DueUnixMs(job), std::move(covering)});
    }
  }
  // Other items may wait for the outcome of a trial.
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Candidate& a, const Candidate& b) {
                     if (a.covering.empty() != b.covering.empty()) {
                       return b.covering.empty();
                     }
                     return a.can_meet_deadline != b.can_meet_deadline
                                ? a.can_meet_deadline
                                : a.due_unix_ms < b.due_unix_ms;
                   });
  return waiting;
}

std::vector<proto::TrialWanted> ItemScheduler::TrialsWanted(
    TimePoint now) const {
  if (quarantines_.empty()) {
    return {};
  }
  std::set<std::set<QuarantineKey>> held_back;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!job.open()) {
      continue;
    }
    for (const JobItemState& item : job.items) {
      if (held_back.size() < kMaxTrialsWanted && IsWaiting(job, item, now)) {
        held_back.insert(Covering(item));
      }
    }
  }
  held_back.erase(std::set<QuarantineKey>());
  std::vector<proto::TrialWanted> wanted;
  for (const std::set<QuarantineKey>& covering : held_back) {
    proto::TrialWanted& trial = wanted.emplace_back(TrialOf(covering));
    for (const auto& [front, state] : fronts_) {
      if (state.free_slots > 0 && now - state.reported_at < kFreeSlotsMaxAge) {
        trial.add_fronts(front);
      }
    }
  }
  return wanted;
}

size_t ItemScheduler::FairOffers(const std::string& front, size_t waiting,
                                 TimePoint now) const {
  std::map<std::string, size_t> held;
  for (const auto& [key, running] : running_) {
    ++held[running.front];
  }
  const size_t fair =
      (running_.size() + waiting + fronts_.size() - 1) / fronts_.size();
  if (held[front] < fair) {
    return fair - held[front];
  }
  const bool others_have_room =
      std::any_of(fronts_.begin(), fronts_.end(), [&](const auto& entry) {
        return entry.second.free_slots > 0 && held[entry.first] < fair &&
               now - entry.second.reported_at < kFreeSlotsMaxAge;
      });
  return others_have_room ? 0 : 1;
}

void ItemScheduler::OfferItems(const std::string& front,
                               const FrontState& state,
                               proto::ItemOffers& answer) {
  const TimePoint now = state.reported_at;
  const std::vector<Candidate> waiting =
      WaitingByPriority(front, state.catalog_version, now);
  if (waiting.empty()) {
    return;
  }
  size_t offers = std::min({state.free_slots, waiting.size(),
                            FairOffers(front, waiting.size(), now)});
  if (!waiting.front().covering.empty()) {
    // No other front may make the trial, whatever this one's share of items is.
    offers = std::max<size_t>(offers, 1);
  }
  for (const Candidate& candidate : waiting) {
    if (offers == 0) {
      break;
    }
    // Only the first of the items that could make a trial makes it.
    if (MayTry(candidate.covering, front, now)) {
      AddOffer(front, candidate, now, answer);
      --offers;
    }
  }
}

void ItemScheduler::AddOffer(const std::string& front, const Candidate& next,
                             TimePoint now, proto::ItemOffers& answer) {
  const Key key{next.job->job.id(), next.item->id()};
  proto::ItemOffer& offer = *answer.add_offers();
  offer.set_job(key.first);
  offer.set_account(next.job->job.account());
  offer.set_route_host(next.job->job.route_host());
  offer.set_route_prefix(next.job->job.route_prefix());
  offer.set_route_name(next.job->job.route_name());
  *offer.mutable_item() = *next.item->item;
  offer.set_due_left_ms(next.due_unix_ms - UnixMs());
  offer.set_attempt(next_attempt_++);
  offer.set_catalog_version(next.job->job.catalog_version());
  // The short rest of an item would show too little in a trial.
  const auto progress = progress_.find(key);
  if (progress != progress_.end() && next.covering.empty()) {
    offer.set_output(progress->second.output);
    offer.set_last_event(progress->second.last_event);
    offer.set_has_last_event(progress->second.has_last_event);
  }
  if (progress != progress_.end()) {
    offer.set_stalled_runs(progress->second.stalled_runs);
  }
  offer.set_trial(!next.covering.empty());
  for (const QuarantineKey& quarantine : next.covering) {
    trial_offered_at_[quarantine] = now;
  }
  running_[key] = {front, offer.attempt(), now, false};
}

void ItemScheduler::OnCompleted(const proto::ItemOutcome& outcome,
                                TimePoint now) {
  const Key key{outcome.name().job(), outcome.name().item()};
  const auto running = running_.find(key);
  if (running == running_.end() || !outcome.has_last_event()) {
    return;
  }
  Duration run_time = now - running->second.offered_at;
  const auto progress = progress_.find(key);
  if (progress != progress_.end()) {
    run_time += progress->second.run_time;
  }
  const auto events = static_cast<double>(outcome.last_event());
  const bool first = mean_run_s_ == 0;
  const double weight = first ? 1 : kNewestRunWeight;
  mean_run_s_ += weight * (ToSeconds(run_time) - mean_run_s_);
  mean_events_ += weight * (events - mean_events_);
}

void ItemScheduler::OnReturned(const std::string& front,
                               const proto::ItemOutcome& outcome,
                               TimePoint now) {
  if (!IsCurrent(front, outcome)) {
    return;
  }
  const Key key{outcome.name().job(), outcome.name().item()};
  const Duration run_time = now - running_.at(key).offered_at;
  running_.erase(key);
  not_before_[key] = now;
  if (!outcome.has_last_event() && !outcome.stalled()) {
    return;
  }
  Progress& progress = progress_[key];
  const bool advanced =
      outcome.has_last_event() &&
      (!progress.has_last_event || outcome.last_event() > progress.last_event);
  progress.stalled_runs =
      (advanced ? 0 : progress.stalled_runs) + (outcome.stalled() ? 1 : 0);
  progress.run_time += run_time;
  if (outcome.has_last_event()) {
    progress.output = outcome.output();
    progress.last_event = outcome.last_event();
    progress.has_last_event = true;
  }
}

void ItemScheduler::OnFailed(const std::string& front,
                             const proto::ItemOutcome& outcome, TimePoint now) {
  if (IsCurrent(front, outcome)) {
    const Key key{outcome.name().job(), outcome.name().item()};
    running_.erase(key);
    not_before_[key] = now + kRetryDelay;
  }
}

bool ItemScheduler::OnRouteMissing(const std::string& front,
                                   const proto::ItemOutcome& outcome,
                                   TimePoint now) {
  if (IsCurrent(front, outcome)) {
    running_.erase({outcome.name().job(), outcome.name().item()});
  }
  MissingRoute& missing = missing_routes_[outcome.name().job()];
  if (outcome.catalog_version() > missing.catalog_version) {
    missing = {outcome.catalog_version(), now, now};
  }
  const bool ended = outcome.catalog_version() == missing.catalog_version &&
                     now - missing.since >= kRouteEndTime;
  missing.retry_at = ended ? now : now + kMissingRouteDelay;
  return ended;
}

void ItemScheduler::Remove(const std::string& job, const std::string& item) {
  const Key key{job, item};
  running_.erase(key);
  progress_.erase(key);
  not_before_.erase(key);
}

void ItemScheduler::LogWaits(TimePoint now) {
  // The catalogs of the fronts are known once they have reported.
  if (now < no_offers_until_ || fronts_.empty()) {
    return;
  }
  uint64_t newest = 0;
  for (const auto& [front, state] : fronts_) {
    newest = std::max(newest, state.catalog_version);
  }
  std::set<std::string> without_catalog;
  std::set<std::string> without_route;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (job.open() && job.job.catalog_version() > newest) {
      without_catalog.insert(id);
    }
  }
  for (const auto& [id, missing] : missing_routes_) {
    without_route.insert(id);
  }
  const auto log = [newest](const std::vector<JobWaits::Change>& changes,
                            const char* reason) {
    for (const JobWaits::Change& change : changes) {
      LogInfo(change.begins ? "job_waits" : "job_waits_no_more",
              {{"job", change.job},
               {"reason", reason},
               {"newest_catalog", std::to_string(newest)}});
    }
  };
  log(catalog_waits_.Update(std::move(without_catalog)), "catalog");
  log(route_waits_.Update(std::move(without_route)), "route");
}

void ItemScheduler::Tick(TimePoint now) {
  for (auto it = missing_routes_.begin(); it != missing_routes_.end();) {
    const JobState* job = jobs_.Find(it->first);
    const bool open = job != nullptr && job->open();
    it = open ? std::next(it) : missing_routes_.erase(it);
  }
  for (auto it = fronts_.begin(); it != fronts_.end();) {
    if (now - it->second.reported_at <= kFrontTimeout) {
      ++it;
      continue;
    }
    const std::string front = it->first;
    size_t taken = 0;
    for (auto item = running_.begin(); item != running_.end();) {
      const bool on_front = item->second.front == front;
      taken += on_front ? 1 : 0;
      item = on_front ? running_.erase(item) : std::next(item);
    }
    LogInfo("front_silent",
            {{"front", front}, {"items_taken", std::to_string(taken)}});
    it = fronts_.erase(it);
  }
  LogWaits(now);
}

}  // namespace sequoialb
