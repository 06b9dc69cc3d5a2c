// The load of each backend server as one front knows it, and the choice of the
// server for the next request.
//
// Load pattern: servers admit in order of arrival and know no priorities, and
// several fronts send to each in bursts. A front counts its own requests
// exactly, and fronts tell each other theirs many times a second. What a server
// reports beside its answers comes with the answer's first event, up to a
// second after a burst has gone out, so it only counts when no front's word is
// at hand. Each server has one front as its home, which alone runs batch items
// there, so that a burst of online requests finds those items where it can stop
// them at once. A server is as quick full as empty, so home servers fill up
// first, then the own failure domain's, then others with room to spare; among
// those away from home the request is spread (spread_policy.h). A server that
// cannot be reached or breaks answers is left alone for a while
// that doubles, and one whose streams all fell silent until it is heard again.
// A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/protocol.h"
#include "gateway/spread_policy.h"
#include "settings/settings.h"

namespace sequoialb {

// A server that takes new work.
struct UsableBackend {
  std::string id;
  std::string service;
  Address address;
  bool local = false;
  // This front is its home.
  bool assigned = false;
  uint32_t slots = 0;
  bool cold = false;
};

struct Choice {
  std::string backend;
  Address address;
  // A batch item must be stopped there first.
  bool stop_item = false;
};

class BackendPool {
 public:
  explicit BackendPool(uint64_t seed = 1,
                       SpreadPolicy spread = WeightedRandom{})
      : random_(seed), spread_(spread) {}

  void SetUsable(const std::vector<UsableBackend>& usable);

  // Returns the server for an online request, or nothing while all are full.
  // A request that is `pressed` for time takes the last slot of a server away
  // from home, which else is left to what others have just sent.
  std::optional<Choice> ChooseOnline(const std::string& service,
                                     const std::set<std::string>& avoid,
                                     TimePoint now, bool use_last_slot = false);
  // Returns the server for a batch item, or nothing without room at home.
  std::optional<Choice> ChooseItem(const std::string& service,
                                   TimePoint now) const;
  // Batch items that could start now.
  size_t FreeItemSlots(TimePoint now) const;

  // Accounts for own requests.
  void RecordSent(const std::string& backend, bool item);
  // `heard` says whether bytes had come for it.
  void RecordEnded(const std::string& backend, bool item, bool streaming);
  // Bytes came for a request under way, the first ones or more.
  void RecordBytes(const std::string& backend, bool first, TimePoint now);
  // None of the answers that have begun there has gone on for a while.
  bool IsStalled(const std::string& backend, TimePoint now) const;

  void RecordServerLoad(const std::string& backend, const BackendLoad& load,
                        TimePoint now);
  // Takes what another front has under way, by server, and how many online
  // requests wait there for a slot.
  void RecordPeerLoad(const std::string& front,
                      std::map<std::string, uint32_t> requests,
                      uint32_t waiting, TimePoint now);
  // Returns home servers whose items hold slots that online requests of other
  // fronts wait for, each as often as it should stop one.
  std::vector<std::string> ItemsToStop(TimePoint now) const;
  // True when the home servers have no slot left for a batch item.
  bool AssignedServersFull(TimePoint now) const {
    return FreeItemSlots(now) == 0;
  }
  // How many other fronts there are.
  void SetPeers(size_t peers) { peers_ = peers; }
  // What this front has under way, by server.
  std::map<std::string, uint32_t> OwnRequests() const;

  // The server refused because it was full.
  void RecordFull(const std::string& backend, TimePoint now);
  void RecordFailure(const std::string& backend, TimePoint now);
  void RecordSuccess(const std::string& backend);

  // What is known of a server's load, for logs: own requests, own items, and
  // others with the age of that report.
  std::string Describe(const std::string& backend, TimePoint now) const;

  // Totals over all usable servers, for logs.
  std::string Summary(TimePoint now) const;

 private:
  struct Load {
    UsableBackend backend;
    bool usable = false;
    uint32_t online = 0;
    uint32_t items = 0;
    // Own requests and items that have had bytes.
    uint32_t streaming = 0;
    TimePoint last_bytes_at;
    // Between bytes of any of them.
    Duration mean_gap{0};
    // Requests of others, as of the last report.
    double others = 0;
    TimePoint reported_at;
    TimePoint backoff_until;
    uint32_t failures = 0;
  };

  // Home servers, then those of the own failure domain, then all others; cold
  // ones come last in their step.
  enum class Tier : uint8_t {
    kAssigned,
    kAssignedCold,
    kLocal,
    kLocalCold,
    kRemote,
    kRemoteCold
  };
  static Tier TierOf(const Load& load);

  struct Peer {
    TimePoint reported_at;
    std::map<std::string, uint32_t> requests;
    uint32_t waiting = 0;
  };

  // Slots of the home servers together that items leave free.
  double ItemReserve(TimePoint now) const;
  // Free slots of the home servers together.
  double AssignedFreeSlots(TimePoint now) const;
  // It may get new work of a service.
  static bool IsEligible(const Load& load, const std::string& service,
                         TimePoint now);
  double RequestsOfOthers(const Load& load, TimePoint now) const;
  double BusySlots(const Load& load, TimePoint now) const;

  std::mt19937_64 random_;
  SpreadPolicy spread_;
  std::map<std::string, Load> loads_;
  std::map<std::string, Peer> front_loads_;
  size_t peers_ = 0;
};

}  // namespace sequoialb
