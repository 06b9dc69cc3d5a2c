#include "gateway/cold_limiter.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

// The requests of half the bound are spread over a little more than a second,
// so that differences of some milliseconds in transit do not put one more of
// them into a second: one round trip between failure domains is up to 8 ms, and
// connecting takes another.
constexpr milliseconds kSpreadSecond{1'030};
// An announcement received within this time after a lost connection may have
// been sent before it: several times the latency between failure domains.
constexpr milliseconds kAnnouncementDelay{100};
// An entry is removed when its server has not been listed for this long.
// Registries remove servers after the same time.
constexpr milliseconds kForgottenAfter{60'000};

std::string Ms(Duration d) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

}  // namespace

Duration ColdSendInterval(double rate, double excess, double slack) {
  if (rate <= 0) {
    return Duration(0);
  }
  const double half = std::floor((rate * excess + slack) / 2);
  return std::max(FromSeconds(1 / rate),
                  FromSeconds(ToSeconds(kSpreadSecond) / std::max(1.0, half)));
}

void ColdServer::Shift(Duration offset) {
  if (cold_until) {
    *cold_until += offset;
  }
  if (owner_since) {
    *owner_since += offset;
  }
  announced_at += offset;
  as_of += offset;
}

void ColdOwners::SetLiveFronts(uint64_t list_hash, TimePoint now) {
  if (list_hash_ == list_hash) {
    return;
  }
  list_hash_ = list_hash;
  list_changed_at_ = now;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool old = now - it->second.used_at > kForgottenAfter;
    it = old ? entries_.erase(it) : std::next(it);
  }
}

ColdOwners::Owner ColdOwners::OwnerOf(const std::string& backend,
                                      const std::vector<std::string>& fronts,
                                      TimePoint now) {
  Entry& entry = entries_[backend];
  entry.used_at = now;
  uint64_t fronts_hash = 0;
  for (const std::string& front : fronts) {
    fronts_hash = Hash64(front, fronts_hash);
  }
  if (entry.fronts_hash == fronts_hash) {
    return entry.owner;
  }
  std::string owner = RendezvousOwner(backend, fronts);
  if (!entry.fronts_hash) {
    // The owner of a new server is known since the list of fronts is.
    entry.owner = {std::move(owner), list_changed_at_};
  } else if (owner != entry.owner.front) {
    entry.owner = {std::move(owner), now};
  }
  entry.fronts_hash = fronts_hash;
  return entry.owner;
}

void ColdLimiter::Update(const std::string& backend, int64_t started_unix_ms,
                         const ColdServer& server) {
  const TimePoint now = server.as_of;
  Expire(now);
  if (server.send_interval == Duration(0)) {
    entries_.erase(backend);
    return;
  }
  const bool known = entries_.count(backend) > 0;
  Entry& entry = entries_[backend];
  const bool was_cold = IsCold(entry, now);
  const bool restarted = known && entry.started_unix_ms != started_unix_ms;
  if (restarted) {
    entry.restart_until = now + server.duration;
    entry.lost_until = TimePoint();
  }
  if (server.announced_at > entry.lost_at + kAnnouncementDelay) {
    entry.lost_until = TimePoint();
  }
  entry.started_unix_ms = started_unix_ms;
  entry.server = server;
  entry.cold_until = std::max(server.cold_until.value_or(entry.restart_until),
                              entry.lost_until);
  const bool cold = IsCold(entry, now);
  if (cold && known && (restarted || !was_cold)) {
    entry.held_until = now + kColdTakeoverWait;
  }
  if (cold != entry.reported_cold || (cold && restarted)) {
    entry.reported_cold = cold;
    LogInfo(cold ? "backend_cold" : "backend_warm",
            {{"backend", backend},
             {"cold_ms", Ms(std::max(Duration(0), entry.cold_until - now))},
             {"restarted", restarted ? "yes" : "no"},
             {"sends", server.owner_since ? "yes" : "no"},
             {"interval_ms", Ms(server.send_interval)}});
  }
}

void ColdLimiter::RecordConnectionLost(const std::string& backend,
                                       TimePoint now) {
  const auto found = entries_.find(backend);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (!IsCold(entry, now)) {
    entry.held_until = now + kColdTakeoverWait;
    LogInfo("backend_maybe_cold",
            {{"backend", backend}, {"reason", "a connection to it was lost"}});
  }
  entry.lost_at = now;
  entry.lost_until = now + entry.server.duration;
  entry.cold_until = std::max(entry.cold_until, entry.lost_until);
}

void ColdLimiter::RecordSent(const std::string& backend, TimePoint now) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    found->second.sent_at = now;
    sent_ += IsCold(found->second, now) ? 1 : 0;
  }
}

bool ColdLimiter::MaySend(const Entry& entry, TimePoint now) {
  if (!IsCold(entry, now)) {
    return true;
  }
  return entry.server.owner_since &&
         now >= *entry.server.owner_since + kColdTakeoverWait &&
         now >= entry.held_until &&
         (!entry.sent_at || now >= *entry.sent_at + entry.server.send_interval);
}

bool ColdLimiter::IsCold(const std::string& backend, TimePoint now) const {
  const auto found = entries_.find(backend);
  return found != entries_.end() && IsCold(found->second, now);
}

bool ColdLimiter::MaySend(const std::string& backend, TimePoint now) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() || MaySend(found->second, now);
}

size_t ColdLimiter::ColdServers(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [now](const auto& entry) { return IsCold(entry.second, now); }));
}

size_t ColdLimiter::HeldServers(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [now](const auto& entry) { return !MaySend(entry.second, now); }));
}

void ColdLimiter::Expire(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool old = now - it->second.server.as_of > kForgottenAfter;
    it = old ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace sequoialb
