// The load of each backend server as one front knows it, and the choice of the
// server for the next request.
//
// Load pattern: servers admit in order of arrival and know no priorities, and
// several fronts send to each. A front counts its own requests exactly and
// takes what others have there from the load that servers report beside their
// answers; a report ages, and counts for nothing after two seconds. Each server
// has one front as its home, which alone runs batch items there, so that a
// burst of online requests finds those items where it can stop them at once.
// Servers of the own failure domain go first when they have room. A server that
// cannot be reached or breaks answers is left alone for a while that doubles.
// A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/protocol.h"
#include "settings/settings.h"

namespace sequoialb {

// A server that takes new work.
struct UsableBackend {
  std::string id;
  std::string service;
  Address address;
  bool own_domain = false;
  // This front is its home.
  bool home = false;
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
  void SetUsable(const std::vector<UsableBackend>& usable);

  // Returns the server for an online request, or nothing while all are full.
  std::optional<Choice> ChooseOnline(const std::string& service,
                                     const std::set<std::string>& avoid,
                                     TimePoint now) const;
  // Returns the server for a batch item, or nothing without room at home.
  std::optional<Choice> ChooseItem(const std::string& service,
                                   TimePoint now) const;
  // Batch items that could start now.
  size_t ItemRoom(TimePoint now) const;
  // True when some server of the service takes work, full or not.
  bool Serves(const std::string& service, TimePoint now) const;

  // Accounts for own requests.
  void Sent(const std::string& backend, bool item);
  void Ended(const std::string& backend, bool item);

  void Reported(const std::string& backend, const BackendLoad& load,
                TimePoint now);
  // The server refused because it was full.
  void Full(const std::string& backend, TimePoint now);
  void Failed(const std::string& backend, TimePoint now);
  void Succeeded(const std::string& backend);

  // Slots of usable servers of a service that look free, and all of them.
  struct Slots {
    double free = 0;
    double all = 0;
  };
  // What is known of a server's load, for logs: own requests, own items, and
  // others with the age of that report.
  std::string Describe(const std::string& backend, TimePoint now) const;

  Slots SlotsOf(const std::string& service, TimePoint now) const;

 private:
  struct Load {
    UsableBackend backend;
    bool usable = false;
    uint32_t online = 0;
    uint32_t items = 0;
    // Requests of others, as of the last report.
    double others = 0;
    TimePoint reported_at;
    TimePoint avoid_until;
    uint32_t failures = 0;
  };

  static double Others(const Load& load, TimePoint now);
  static double Busy(const Load& load, TimePoint now);

  std::map<std::string, Load> loads_;
};

}  // namespace sequoialb
