// Tracks the load of each backend server as one front knows it, and chooses the
// server for the next request.
//
// Load pattern: servers admit requests in order of arrival and know no
// priorities, and several fronts send to each server in bursts. A front counts
// its own requests exactly and learns those of other fronts from load reports,
// which the fronts send each other many times a second. The load that a server
// reports with an answer arrives with the answer's first event, up to a second
// after a burst was sent; once it is older than some tens of milliseconds, it
// is used only while the load report of some front is missing.
//
// Each server has one assigned front, the only one that runs batch items there,
// so that the batch items in the way of a burst of online requests belong to
// the front that receives the burst, which can stop them at once. A server is
// as fast when full as when empty, so requests fill the assigned servers first,
// then the other local servers, then remote ones. Unassigned servers must have
// a slot to spare, and requests are spread among them (spread_policy.h).
//
// Servers differ in speed. With LearnSpeeds, a server's learned limit takes the
// place of its slots, and its free slots are weighted by its speed. An assigned
// server whose callers would be late is not preferred to other local ones
// (server_speed.h).
//
// A server that cannot be reached or does not complete an answer gets no new
// requests for a backoff time that doubles with each failure. A server all of
// whose streams have stalled gets none until it sends bytes again
// (stall_policy.h). A server that has said in an answer that it leaves gets
// none any more, also when its record is lost and comes back; a later start
// under the same id is another process. A cold server of a service with a cold
// rate gets requests from one front only, at that rate (cold_limiter.h).
//
// A state machine without I/O other than logging.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/admission_policy.h"
#include "gateway/cold_limiter.h"
#include "gateway/peer_loads.h"
#include "gateway/protocol.h"
#include "gateway/server_backoff.h"
#include "gateway/server_speed.h"
#include "gateway/spread_policy.h"
#include "quarantine/crash_recorder.h"
#include "settings/settings.h"

namespace sequoialb {

// A backend server that accepts new requests.
struct UsableBackend {
  std::string id;
  std::string service;
  Address address;
  // The server is in this front's failure domain.
  bool local = false;
  // This front is the server's assigned front.
  bool assigned = false;
  uint32_t slots = 0;
  bool cold = false;
  // When this process of the server started; a restart under the same id has a
  // later time.
  int64_t started_unix_ms = 0;
  ColdServer cold_server = {};
};

struct Choice {
  std::string backend;
  Address address;
  // A batch item must be stopped at the server first.
  bool stop_item = false;
  // When the process of the server started; 0 if unknown.
  int64_t started_unix_ms = 0;

  ServerProcess process() const {
    return {backend, address.ToString(), started_unix_ms};
  }
};

class BackendPool {
 public:
  explicit BackendPool(uint64_t seed = 1,
                       SpreadPolicy spread = WeightedRandom{})
      : random_(seed), spread_(spread) {}

  void SetUsable(const std::vector<UsableBackend>& usable);

  // Sets whether the speeds of servers are learned; they are not by default.
  void LearnSpeeds(bool learn) { learn_speeds_ = learn; }

  // Returns the server for an online request, or nothing while all are full.
  // `slots_to_use` says which slots of unassigned servers it may take.
  std::optional<Choice> ChooseOnline(const std::string& service,
                                     const std::set<std::string>& avoid,
                                     TimePoint now,
                                     SlotUse slots_to_use = SlotUse::kSpare);
  // Returns the server for a batch item, or nothing while the assigned servers
  // have too few free slots.
  std::optional<Choice> ChooseItem(const std::string& service,
                                   TimePoint now) const;
  // Returns whether the server may still get a request that was chosen for it:
  // it may have been evacuated or may have deregistered while the front
  // connected to it.
  bool IsUsable(const std::string& backend) const {
    const auto found = loads_.find(backend);
    return found != loads_.end() && found->second.usable;
  }
  // Returns how many batch items could start now.
  size_t FreeItemSlots(TimePoint now) const;

  // Counts a request that this front has sent. `item` marks a batch item.
  void RecordSent(const std::string& backend, bool item, TimePoint now);
  // Counts the end of a request of this front. `streaming` says whether bytes
  // of its answer had been received.
  void RecordEnded(const std::string& backend, bool item, bool streaming);
  // Records that the slot of an ended request is free: its server runs, and has
  // answered the request or has been told to stop it.
  void RecordSlotFreed(const std::string& backend, TimePoint now);
  // Records that a part of an answer has been received; `first` says whether it
  // was the first part of that answer.
  void RecordProgress(const std::string& backend, bool first, TimePoint now);
  // Adds to the prompt tokens of this front's requests that the server has not
  // begun to answer, or removes them again.
  void AddUnread(const std::string& backend, uint64_t tokens);
  void RemoveUnread(const std::string& backend, uint64_t tokens);
  // Returns how much longer than usual the server may take to answer a request
  // with this prompt.
  Duration ReadingTime(const std::string& backend, uint64_t prompt_tokens,
                       TimePoint now) const;
  // Returns the same for a server that reads all unread prompts of this front
  // first.
  Duration ReadingTimeOfAll(const std::string& backend, uint64_t prompt_tokens,
                            TimePoint now) const;
  // Returns whether an answer that the server has begun goes on.
  bool IsAnswering(const std::string& backend, TimePoint now) const;
  // Records the time between two events of a stream. `target` is the latency
  // target of its route, 0 if it has none.
  void RecordGap(const std::string& backend, Duration gap, Duration target,
                 TimePoint now);
  // Records the time from sending a request to its first event.
  void RecordFirstEvent(const std::string& backend, Duration time,
                        uint64_t prompt_tokens, Duration target, TimePoint now);
  // Returns the learned speed of a server; 1 is usual.
  double Speed(const std::string& backend, TimePoint now) const;
  // Returns the speeds of servers that this front has observed by itself.
  std::map<std::string, ReportedSpeed> OwnSpeeds(TimePoint now) const;
  // Returns how many usable servers have a limit below their slots, and how
  // many are slow.
  struct SpeedCounts {
    size_t limited = 0;
    size_t slow = 0;
  };
  SpeedCounts CountSpeeds() const;
  // Returns whether all answers that the server has begun for this front have
  // stalled.
  bool IsStalled(const std::string& backend, TimePoint now) const;

  // Records the load that a server reported with an answer.
  void RecordServerLoad(const std::string& backend, const BackendLoad& load,
                        TimePoint now);
  // Records the load report of another front or failure domain.
  void RecordPeerLoad(const std::string& source, LoadReport report,
                      TimePoint now);
  // Returns the assigned servers at which batch items must be stopped because
  // online requests of other fronts wait for slots; a server appears once for
  // each item to stop there.
  std::vector<std::string> ItemsToStop(TimePoint now) const;
  // Returns whether online requests wait for slots at other fronts.
  bool IsContended(TimePoint now) const { return peer_loads_.Waiting(now) > 0; }
  // Returns whether online requests of this front are in progress.
  bool HoldsSlots() const;
  // Sets how many other fronts there are.
  void SetPeers(size_t peers) { peers_ = peers; }
  // Returns how many requests this front has in progress, by server.
  std::map<std::string, uint32_t> OwnRequests() const;
  // Returns the sum of the current load reports of the given fronts.
  LoadReport SumOfReports(const std::vector<std::string>& fronts,
                          TimePoint now) const {
    peer_loads_.Expire(now);
    return peer_loads_.Sum(fronts);
  }

  // Records that the server has said that it leaves. Returns false if that was
  // known.
  bool RecordLeaving(const std::string& backend);
  // Records that the server refused a request without running it.
  void RecordRefused(const std::string& backend, TimePoint now);
  // Records that the server seems to be full: it has not begun to answer a
  // request in time.
  void RecordFull(const std::string& backend, TimePoint now);
  void RecordFailure(const std::string& backend, ServerFailure failure,
                     TimePoint now);
  void RecordSuccess(const std::string& backend);
  // Records that a connection to the server was refused or ended early.
  void RecordConnectionLost(const std::string& backend, TimePoint now) {
    cold_.RecordConnectionLost(backend, now);
  }
  const ColdLimiter& cold() const { return cold_; }

  // Returns a server's known load, for logs: this front's online requests and
  // batch items, and the requests of others with the age of that report.
  std::string Describe(const std::string& backend, TimePoint now) const;

  // Returns totals over all usable servers, for logs.
  std::string Summary(TimePoint now) const;

 private:
  struct Load {
    UsableBackend backend;
    bool usable = false;
    bool leaving = false;
    uint32_t online = 0;
    uint32_t items = 0;
    // Online requests and batch items of this front whose answers have begun.
    uint32_t streaming = 0;
    // Slots that requests of this front have freed and that count as its own
    // until `own_slot_until`.
    uint32_t own_slots = 0;
    TimePoint own_slot_until;
    // Prompt tokens of this front's requests whose answers have not begun.
    uint64_t unread_tokens = 0;
    // When a part of any of those answers was last received.
    TimePoint last_progress_at;
    // Moving average of the time between received parts, over all those answers
    // together.
    Duration mean_gap{0};
    // Requests of others, according to the server's last report.
    double others = 0;
    TimePoint reported_at;
    ServerBackoff backoff;
    ServerSpeed speed;
    // The speed class and limit of the last log line, and when the next may
    // follow.
    bool logged_slow = false;
    uint32_t logged_limit = 0;
    TimePoint next_log_at;
  };

  // Order of preference: assigned servers, then other servers of this front's
  // failure domain, then all others; within each group, cold servers come last.
  enum class Tier : uint8_t {
    kAssigned,
    kAssignedCold,
    kLocal,
    kLocalCold,
    kRemote,
    kRemoteCold
  };
  static Tier TierOf(const Load& load);
  // Servers that refuse come after all others, in the same order. An assigned
  // server whose callers are late has the rank of a local one.
  struct Rank {
    bool refuses = false;
    Tier tier = Tier::kAssigned;

    bool operator<(const Rank& other) const {
      return refuses != other.refuses ? other.refuses : tier < other.tier;
    }
  };
  Rank RankOf(const Load& load, TimePoint now) const;

  // Returns how many requests the server can run at once.
  double CapacityOf(const Load& load) const;
  double SpeedOf(const Load& load, TimePoint now) const;
  // Takes in the observations of all servers, if this is due.
  void RefreshSpeeds(TimePoint now);
  void LogSpeed(Load& load, TimePoint now);

  // Returns whether a request of this front has just freed a slot there.
  static bool HasOwnSlot(const Load& load, TimePoint now);
  // Returns how many slots stay free on an unassigned server.
  static double UnassignedReserve(const Load& load, SlotUse slots_to_use,
                                  TimePoint now);

  // Returns how many slots batch items leave free on all assigned servers
  // together.
  double ItemReserve(TimePoint now) const;
  // Returns the free slots of all assigned servers together.
  double AssignedFreeSlots(TimePoint now) const;
  // Returns whether the server may get new requests of the service.
  bool IsEligible(const Load& load, const std::string& service,
                  TimePoint now) const;
  // Returns how many slots the server has for requests that start now: at most
  // one while it is cold, since the next one waits for the server's cold rate.
  double UsableSlots(const Load& load, TimePoint now) const;
  // Returns whether all answers that the server has begun for this front have
  // stalled.
  bool HasStalled(const Load& load, TimePoint now) const;
  // Returns an estimate of the requests that other fronts have on the server.
  double RequestsOfOthers(const Load& load, TimePoint now) const;
  double BusySlots(const Load& load, TimePoint now) const;

  std::mt19937_64 random_;
  SpreadPolicy spread_;
  std::map<std::string, Load> loads_;
  ColdLimiter cold_;
  // Servers that have said that they leave, with their start time.
  std::map<std::string, int64_t> leaving_;
  // Reading it at a later time drops reports that have become too old.
  mutable PeerLoads peer_loads_;
  size_t peers_ = 0;
  bool learn_speeds_ = false;
  // The usual time between two events of a stream, by service.
  std::map<std::string, Duration> reference_gaps_;
  TimePoint speeds_refreshed_at_;
};

}  // namespace sequoialb
