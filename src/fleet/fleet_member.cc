#include "fleet/fleet_member.h"

#include <algorithm>

#include "fleet/boot_clock.h"
#include "fleet/heartbeat_policy.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

// Well below the 2 s within which a change has to reach every host.
constexpr milliseconds kHeartbeatInterval{250};
// Used until the first catalog has arrived.
constexpr milliseconds kInitialHeartbeatInterval{100};
// Six heartbeats without a reply.
constexpr milliseconds kContactTimeout{1'500};

}  // namespace

FleetMember::FleetMember(MemberOptions options, HostLinks& links,
                         Callbacks callbacks)
    : options_(std::move(options)),
      links_(links),
      callbacks_(std::move(callbacks)) {
  SetSeeds(options_.seeds);
}

void FleetMember::SetSeeds(const std::vector<Address>& seeds) {
  options_.seeds = seeds;
  for (const Address& seed : seeds) {
    links_.SetAddress(seed.ToString(), seed);
  }
}

// Returns the names of the known control hosts, and the addresses of those
// seeds that are not the address of a known control host.
std::set<std::string> FleetMember::HeartbeatTargets() const {
  std::set<std::string> targets;
  std::set<std::string> covered;
  for (const auto& [name, info] : hosts_) {
    if (info.control()) {
      targets.insert(name);
      covered.insert(info.peer_address());
    }
  }
  for (const Address& seed : options_.seeds) {
    if (covered.count(seed.ToString()) == 0) {
      targets.insert(seed.ToString());
    }
  }
  return targets;
}

void FleetMember::Tick(TimePoint now) {
  if (in_contact_ && !InContact(now)) {
    in_contact_ = false;
    LogWarn("control_lost", {{"leader", leader_host_}});
  }
  if (now < next_heartbeat_) {
    return;
  }
  last_heartbeat_ = now;
  next_heartbeat_ =
      now + (has_catalog_ ? kHeartbeatInterval : kInitialHeartbeatInterval);
  proto::FleetMessage message;
  proto::HostHello& hello = *message.mutable_hello();
  *hello.mutable_info() = options_.self;
  hello.set_has_catalog(has_catalog_);
  hello.set_catalog_version(catalog_version_);
  hello.set_wants_backends(options_.wants_backends);
  callbacks_.fill_hello(hello);
  const std::set<std::string> targets =
      SendsToAllControlHosts(heartbeats_++, confirmed_at_, now)
          ? HeartbeatTargets()
          : std::set<std::string>{leader_host_};
  for (const std::string& target : targets) {
    const auto known = control_hosts_.find(target);
    const ControlHostState state =
        known == control_hosts_.end() ? ControlHostState{} : known->second;
    hello.set_directory_hash(state.directory_hash);
    hello.set_directory_cursor(state.directory_cursor);
    hello.set_live_fronts_hash(last_confirmed_reply_.live_fronts_hash());
    hello.set_quarantines_hash(last_confirmed_reply_.quarantines_hash());
    crash_evidence_.Fill(state.crash_cursor, now, hello);
    hello.set_registry_incarnation(state.registry_incarnation);
    hello.set_registry_cursor(state.registry_cursor);
    // Set as late as possible, because the authority lease starts at this time.
    hello.set_sent_at_us(ToMicros(BootNow()));
    links_.Send(target, message);
  }
}

bool FleetMember::InContact(TimePoint now) const {
  return last_reply_ != TimePoint() && now - last_reply_ < kContactTimeout;
}

void FleetMember::OnReply(const std::string& from,
                          const proto::HelloReply& reply, TimePoint now) {
  last_reply_ = now;
  if (!in_contact_) {
    in_contact_ = true;
    LogInfo("control_found", {{"host", from}});
    callbacks_.on_contact(now);
  }
  ControlHostState& state = control_hosts_[from];
  const bool same_process =
      state.registry_incarnation == reply.registry_incarnation();
  // A restarted control host has lost the earlier reports.
  state.crash_cursor = same_process ? reply.crash_cursor() : 0;
  state.registry_incarnation = reply.registry_incarnation();
  state.registry_cursor = reply.registry_cursor();
  // A reply that was overtaken by a later one must not replace newer contents
  // that the later one has marked as known.
  const TimePoint asked_at = FromMicros(reply.sent_at_us());
  const bool overtaken = asked_at < state.asked_at;
  if (!overtaken) {
    state.asked_at = asked_at;
    state.directory_cursor = reply.directory_cursor();
    if (reply.directory_hash() != state.directory_hash) {
      state.directory_hash = reply.directory_hash();
      UpdateHosts(reply);
    }
  }
  bool changed = false;
  if (reply.confirmed()) {
    leader_host_ = from;
    confirmed_at_ = now;
    *last_confirmed_reply_.mutable_store_founders() = reply.store_founders();
    *last_confirmed_reply_.mutable_retiring_hosts() = reply.retiring_hosts();
    if (!overtaken) {
      last_confirmed_reply_.set_sent_at_us(reply.sent_at_us());
      *last_confirmed_reply_.mutable_live_stores() = reply.live_stores();
    }
    if (!reply.live_fronts_unchanged() && !overtaken) {
      changed =
          reply.live_fronts_hash() != last_confirmed_reply_.live_fronts_hash();
      *last_confirmed_reply_.mutable_live_fronts() = reply.live_fronts();
      last_confirmed_reply_.set_live_fronts_hash(reply.live_fronts_hash());
    }
    if (!overtaken) {
      UpdateQuarantines(reply);
    }
    changed = UpdateEvacuations(reply) || changed;
  }
  for (const proto::BackendRecord& record : reply.backends()) {
    if (backends_.Merge(record, now)) {
      changed = true;
      LogInfo("backend_changed",
              {{"backend", record.id()},
               {"address", record.address()},
               {"leaving", record.leaving() ? "yes" : "no"},
               {"gone", record.gone() ? "yes" : "no"},
               {"sequence", std::to_string(record.sequence())},
               {"told_by", from}});
    }
  }
  if (changed) {
    callbacks_.on_backends();
  }
  ExtendAuthorityLease(reply);
}

bool FleetMember::UpdateEvacuations(const proto::HelloReply& reply) {
  if (reply.evacuations_version() <=
      last_confirmed_reply_.evacuations_version()) {
    return false;
  }
  *last_confirmed_reply_.mutable_evacuated_domains() =
      reply.evacuated_domains();
  last_confirmed_reply_.set_evacuations_version(reply.evacuations_version());
  return true;
}

void FleetMember::UpdateQuarantines(const proto::HelloReply& reply) {
  if (TakeQuarantines(reply, last_confirmed_reply_)) {
    callbacks_.on_quarantines(last_confirmed_reply_.quarantines());
  }
  std::set<std::string> watched(reply.watched_parts().begin(),
                                reply.watched_parts().end());
  if (watched != watched_parts_) {
    watched_parts_ = std::move(watched);
    callbacks_.on_watched_parts(watched_parts_);
  }
}

void FleetMember::ReportCrashes(const std::vector<CrashRecord>& crashes,
                                const SoundParts& sound, TimePoint now) {
  for (const CrashRecord& crash : crashes) {
    crash_evidence_.AddCrash(crash);
  }
  crash_evidence_.AddSound(sound, now);
  if (!crashes.empty()) {
    HeartbeatSoon();
  }
}

void FleetMember::UpdateHosts(const proto::HelloReply& reply) {
  for (const proto::HostInfo& info : reply.hosts()) {
    const auto address = ParseAddress(info.peer_address());
    if (!address) {
      LogWarn("host_without_address", {{"host", info.host()}});
      continue;
    }
    if (info.host() == options_.self.host()) {
      continue;
    }
    proto::HostInfo& known = hosts_[info.host()];
    // A confirmed leader decides which incarnation of a host is the later one;
    // other control hosts must not replace a later incarnation by an earlier.
    if (reply.confirmed() || known.incarnation() <= info.incarnation()) {
      known = info;
      links_.SetAddress(info.host(), *address);
    }
  }
}

void FleetMember::ExtendAuthorityLease(const proto::HelloReply& reply) {
  const bool newer =
      reply.has_catalog() &&
      (!has_catalog_ || reply.catalog_version() > catalog_version_);
  if (newer && !reply.catalog().empty() &&
      callbacks_.on_catalog(reply.catalog_version(), reply.catalog())) {
    has_catalog_ = true;
    catalog_version_ = reply.catalog_version();
  }
  const bool current =
      has_catalog_ && reply.catalog_version() <= catalog_version_;
  const bool evacuations_applied = reply.evacuations_version() <=
                                   last_confirmed_reply_.evacuations_version();
  if (!reply.confirmed() || !current || !evacuations_applied) {
    return;
  }
  const TimePoint until =
      FromMicros(reply.sent_at_us()) + options_.authority_lease;
  if (until > authority_until_) {
    authority_until_ = until;
    callbacks_.on_authority_lease(until);
  }
}

}  // namespace sequoialb
