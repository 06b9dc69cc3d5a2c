// Membership of one host in the deployment: sends a heartbeat to every control
// host several times a second. The replies contain the other hosts, the current
// catalog, the backend servers and the live fronts, whose number determines the
// host's share of the rate limits while the rates' owner does not answer. They
// also extend the host's authority lease.
//
// The authority lease is the right to act on the catalog. It starts when the
// host sends a heartbeat, provided that the leader, with its quorum confirmed,
// answers that heartbeat with no newer catalog than the host has. On a host
// that is partitioned or was suspended, the lease expires by itself, so a
// withdrawn API key stops working there as well, and nothing is sent to the
// backend servers of a failure domain that has been evacuated meanwhile. The
// evacuations of a reply are therefore passed on before the lease that the same
// reply extends.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/backend_registry.h"
#include "fleet/host_links.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/quarantine_list.h"

namespace sequoialb {

struct MemberOptions {
  proto::HostInfo self;
  // Peer addresses of some control hosts.
  std::vector<Address> seeds;
  // Duration of the authority lease, from the sending of a heartbeat that the
  // leader has confirmed.
  milliseconds authority_lease{0};
  bool wants_backends = false;
};

class FleetMember {
 public:
  struct Callbacks {
    // Applies a newer catalog, in the form in which the operator wrote it.
    // Returns false when it cannot be decoded; the older catalog and what is
    // left of its authority lease then stay valid.
    std::function<bool(uint64_t version, const std::string& content)>
        on_catalog;
    // A control host has answered at `at`, the first one since the start or a
    // loss of contact.
    std::function<void(TimePoint at)> on_contact;
    // The authority lease now ends at `until`, on the clock of BootNow.
    std::function<void(TimePoint until)> on_authority_lease;
    // A backend server was added, changed or deregistered, or the list of live
    // fronts or of evacuated failure domains has changed.
    std::function<void()> on_backends;
    // The quarantines in force have changed.
    std::function<void(const Quarantines&)> on_quarantines;
    // The parts of prompts whose sound answers are to be reported.
    std::function<void(const std::set<std::string>&)> on_watched_parts;
    // Adds the fields that change from heartbeat to heartbeat.
    std::function<void(proto::HostHello&)> fill_hello;
  };

  FleetMember(MemberOptions options, HostLinks& links, Callbacks callbacks);

  void SetSeeds(const std::vector<Address>& seeds);
  void Tick(TimePoint now);
  void OnReply(const std::string& from, const proto::HelloReply& reply,
               TimePoint now);
  // Reports crashes of backend servers, and parts of prompts that were answered
  // without a crash. Crashes are reported without waiting for the next regular
  // heartbeat.
  void ReportCrashes(const std::vector<CrashRecord>& crashes,
                     const SoundParts& sound, TimePoint now);
  // Sends the next heartbeat without waiting for its regular time.
  void HeartbeatSoon() {
    next_heartbeat_ =
        std::min(next_heartbeat_, last_heartbeat_ + kMinHeartbeatInterval);
  }
  // Marks this host as leaving, from its next heartbeat on.
  void Leave() { options_.self.set_leaving(true); }

  const BackendDirectory& backends() const { return backends_; }
  const std::map<std::string, proto::HostInfo>& hosts() const { return hosts_; }
  // When the heartbeat was sent that a confirmed leader answered last, with the
  // initial members of the store group, retiring hosts, live fronts and stores,
  // quarantines and evacuations of that reply; all other fields are empty.
  const proto::HelloReply& last_confirmed_reply() const {
    return last_confirmed_reply_;
  }
  // True while any control host has replied recently.
  bool InContact(TimePoint now) const;
  std::string leader_host() const { return leader_host_; }
  const proto::HostInfo& self() const { return options_.self; }

 private:
  // Heartbeats that report crashes or evacuations are sent at most this often.
  static constexpr milliseconds kMinHeartbeatInterval{50};

  // What this host already has from a control host, sent back in heartbeats so
  // that replies contain only changes.
  struct ControlHostState {
    uint64_t directory_hash = 0;
    uint64_t directory_cursor = 0;
    // When the heartbeat of the last reply was sent.
    TimePoint asked_at;
    uint64_t registry_incarnation = 0;
    uint64_t registry_cursor = 0;
    uint64_t crash_cursor = 0;
  };

  std::set<std::string> HeartbeatTargets() const;
  void UpdateHosts(const proto::HelloReply& reply);
  void UpdateQuarantines(const proto::HelloReply& reply);
  // Takes the evacuations of a confirmed leader's reply, unless this host has
  // the same or newer ones: replies may arrive late. Returns whether they have
  // changed.
  bool UpdateEvacuations(const proto::HelloReply& reply);
  void ExtendAuthorityLease(const proto::HelloReply& reply);

  MemberOptions options_;
  HostLinks& links_;
  Callbacks callbacks_;
  std::map<std::string, ControlHostState> control_hosts_;
  std::map<std::string, proto::HostInfo> hosts_;
  BackendDirectory backends_;
  proto::HelloReply last_confirmed_reply_;
  bool has_catalog_ = false;
  uint64_t catalog_version_ = 0;
  TimePoint authority_until_;
  CrashEvidence crash_evidence_;
  std::set<std::string> watched_parts_;
  TimePoint next_heartbeat_;
  TimePoint last_heartbeat_;
  uint64_t heartbeats_ = 0;
  // When a leader last confirmed a heartbeat.
  TimePoint confirmed_at_;
  TimePoint last_reply_;
  std::string leader_host_;
  bool in_contact_ = false;
};

}  // namespace sequoialb
