#include "jobs/item_board.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {
namespace {

// Fronts report ten times a second; one unheard for this long is gone or cut
// off.
constexpr milliseconds kFrontSilent{1'500};
// All fronts have reported to a new leader by then.
constexpr milliseconds kListenTime{700};
// An offer that the front does not report by then was lost.
constexpr milliseconds kOfferLost{600};
// An item that failed waits this long, so that it meets another server.
constexpr milliseconds kFailurePause{300};
// Weight of the newest run in the means.
constexpr double kNewest = 0.1;
// What bursts of online requests add to the time that an item runs: they take
// its slot for up to a third of the time.
constexpr double kInterruptions = 1.5;

}  // namespace

void ItemBoard::Lead(TimePoint now) {
  running_.clear();
  progress_.clear();
  not_before_.clear();
  fronts_.clear();
  listen_until_ = now + kListenTime;
}

const KeptItem* ItemBoard::Wanted(const Key& key) const {
  const KeptJob* job = jobs_.Find(key.first);
  if (job == nullptr || job->ended) {
    return nullptr;
  }
  const auto position = job->by_id.find(key.second);
  if (position == job->by_id.end()) {
    return nullptr;
  }
  const KeptItem& item = job->items[position->second];
  return item.listed ? nullptr : &item;
}

void ItemBoard::TakeReported(const std::string& front,
                             const proto::ItemReport& report, TimePoint now,
                             proto::ItemOffers& answer) {
  std::set<Key> named;
  for (const proto::ItemName& name : report.in_hand()) {
    const Key key{name.job(), name.item()};
    named.insert(key);
    const auto held = running_.find(key);
    const bool elsewhere =
        held != running_.end() &&
        (held->second.front != front || held->second.attempt != name.attempt());
    if (Wanted(key) == nullptr || elsewhere) {
      *answer.add_stop() = name;
      continue;
    }
    if (held == running_.end()) {
      running_[key] = {front, name.attempt(), now, true};
      next_attempt_ = std::max(next_attempt_, name.attempt() + 1);
    } else {
      held->second.reported = true;
    }
  }
  for (auto it = running_.begin(); it != running_.end();) {
    const Running& running = it->second;
    const bool lost = running.front == front && named.count(it->first) == 0 &&
                      (running.reported || now - running.given_at > kOfferLost);
    it = lost ? running_.erase(it) : std::next(it);
  }
}

void ItemBoard::OnReport(const std::string& front,
                         const proto::ItemReport& report, TimePoint now,
                         proto::ItemOffers& answer) {
  fronts_[front] = now;
  TakeReported(front, report, now, answer);
  size_t room = 0;
  for (const auto& entry : report.room()) {
    room += entry.items();
  }
  if (now >= listen_until_ && room > 0) {
    Offer(front, room, now, answer);
  }
}

int64_t ItemBoard::DueAt(const KeptJob& job) {
  return job.job.accepted_unix_ms() + job.job.due_ms();
}

Duration ItemBoard::TimeNeeded(const Key& key) const {
  double left = 1;
  const auto progress = progress_.find(key);
  if (progress != progress_.end() && progress->second.has_last_event &&
      typical_events_ > 0) {
    const auto done = static_cast<double>(progress->second.last_event);
    left = std::clamp(1 - done / typical_events_, 0.05, 1.0);
  }
  return FromSeconds(typical_run_s_ * left * kInterruptions);
}

std::vector<ItemBoard::Candidate> ItemBoard::Waiting(TimePoint now) const {
  std::vector<Candidate> waiting;
  const int64_t unix_now = UnixMs();
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!job.open()) {
      continue;
    }
    for (const KeptItem& item : job.items) {
      const Key key{id, item.id()};
      const auto paused = not_before_.find(key);
      if (item.listed || running_.count(key) > 0 ||
          (paused != not_before_.end() && now < paused->second)) {
        continue;
      }
      const milliseconds due_left(DueAt(job) - unix_now);
      waiting.push_back({&job, &item, due_left >= TimeNeeded(key), DueAt(job)});
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.winnable != b.winnable ? a.winnable
                                                     : a.due_at < b.due_at;
                   });
  return waiting;
}

void ItemBoard::Offer(const std::string& front, size_t room, TimePoint now,
                      proto::ItemOffers& answer) {
  for (const Candidate& next : Waiting(now)) {
    if (room-- == 0) {
      return;
    }
    AddOffer(front, next, now, answer);
  }
}

void ItemBoard::AddOffer(const std::string& front, const Candidate& next,
                         TimePoint now, proto::ItemOffers& answer) {
  const Key key{next.job->job.id(), next.item->id()};
  proto::ItemOffer& offer = *answer.add_offers();
  offer.set_job(key.first);
  offer.set_account(next.job->job.account());
  offer.set_route_host(next.job->job.route_host());
  *offer.mutable_item() = *next.item->item;
  offer.set_due_left_ms(next.due_at - UnixMs());
  offer.set_attempt(next_attempt_++);
  const auto progress = progress_.find(key);
  if (progress != progress_.end()) {
    offer.set_output(progress->second.output);
    offer.set_last_event(progress->second.last_event);
    offer.set_has_last_event(progress->second.has_last_event);
  }
  running_[key] = {front, offer.attempt(), now, false};
}

void ItemBoard::Completed(const proto::ItemOutcome& outcome, TimePoint now) {
  const Key key{outcome.name().job(), outcome.name().item()};
  const auto running = running_.find(key);
  if (running == running_.end() || !outcome.has_last_event()) {
    return;
  }
  Duration active = now - running->second.given_at;
  const auto progress = progress_.find(key);
  if (progress != progress_.end()) {
    active += progress->second.active;
  }
  const auto events = static_cast<double>(outcome.last_event());
  const bool first = typical_run_s_ == 0;
  const double weight = first ? 1 : kNewest;
  typical_run_s_ += weight * (ToSeconds(active) - typical_run_s_);
  typical_events_ += weight * (events - typical_events_);
}

void ItemBoard::Returned(const std::string& front,
                         const proto::ItemOutcome& outcome, TimePoint now) {
  const Key key{outcome.name().job(), outcome.name().item()};
  const auto running = running_.find(key);
  if (running == running_.end() || running->second.front != front ||
      running->second.attempt != outcome.name().attempt()) {
    return;
  }
  const Duration active = now - running->second.given_at;
  running_.erase(running);
  not_before_[key] = now;
  if (outcome.has_last_event()) {
    Progress& progress = progress_[key];
    progress = {outcome.output(), outcome.last_event(), true,
                progress.active + active};
  }
}

ItemBoard::Verdict ItemBoard::Failed(const proto::ItemOutcome& outcome,
                                     TimePoint now) {
  const Key key{outcome.name().job(), outcome.name().item()};
  running_.erase(key);
  not_before_[key] = now + kFailurePause;
  const KeptItem* item = Wanted(key);
  const KeptJob* job = jobs_.Find(key.first);
  if (item == nullptr || job == nullptr) {
    return Verdict::kRunAgain;
  }
  return item->failures + 1 >= job->job.attempts() ? Verdict::kDead
                                                   : Verdict::kRunAgain;
}

void ItemBoard::Forget(const std::string& job, const std::string& item) {
  const Key key{job, item};
  running_.erase(key);
  progress_.erase(key);
  not_before_.erase(key);
}

void ItemBoard::Tick(TimePoint now) {
  for (auto it = fronts_.begin(); it != fronts_.end();) {
    if (now - it->second <= kFrontSilent) {
      ++it;
      continue;
    }
    const std::string front = it->first;
    size_t taken = 0;
    for (auto item = running_.begin(); item != running_.end();) {
      const bool held = item->second.front == front;
      taken += held ? 1 : 0;
      item = held ? running_.erase(item) : std::next(item);
    }
    LogInfo("front_silent",
            {{"front", front}, {"items_taken", std::to_string(taken)}});
    it = fronts_.erase(it);
  }
}

}  // namespace sequoialb
