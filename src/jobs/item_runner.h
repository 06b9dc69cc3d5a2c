// Runs batch items on the backend servers that are assigned to this front.
//
// Load pattern: online requests come in bursts of seconds and need slots
// immediately; items run for seconds and are due many seconds later. An item
// uses a slot that online requests leave free and releases it as soon as one of
// them needs it. The events received so far are kept, so that the item resumes
// at the next event on another server. Items that cannot run here at the moment
// are returned to the store group with their progress. Belongs to the traffic
// thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/event_parser.h"
#include "gateway/front_view.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

class ItemRunner {
 public:
  // Receives an item's outcome, and stores it until the store group has
  // acknowledged it.
  using OutcomeHandler = std::function<void(const proto::ItemOutcome&)>;

  ItemRunner(FrontShared& front, uint64_t incarnation, OutcomeHandler outcome);
  ~ItemRunner();

  void AcceptOffer(const proto::ItemOffer& offer);
  void Stop(const proto::ItemName& name);
  // Stops the item on a server that has the most time left until it is due;
  // returns false when none runs there.
  bool StopOneAt(const std::string& backend);
  // Returns all items to the store group, before a graceful stop.
  void StopAll();

  // Starts waiting items, and returns those that have waited too long for a
  // slot.
  void StartWaiting();

  // Returns items whose responses have stalled.
  void CheckStalls();

  // Fills in the items that this front holds and how many more it could start.
  void Report(proto::ItemReport& report) const;

 private:
  struct Run;
  using Key = std::pair<std::string, std::string>;

  bool TryStart(Run& run);
  void Send(Run& run, const Choice& choice);
  void OnHead(Run& run, const ResponseHead& head);
  void OnData(Run& run, std::string_view data);
  void OnFailure(Run& run, CallFailure failure);
  // The server has read the item's prompt, or need not any more.
  void RecordPromptRead(Run& run);
  // Returns how long the run's server may make no progress.
  Duration StallTimeout(const Run& run) const;
  void RejectOutput(Run& run);
  void CountSurvivor(Run& run);
  static void LogTrial(const Run& run, const char* outcome);
  void End(Run& run, proto::ItemOutcome::Kind kind);

  FrontShared& front_;
  uint64_t incarnation_;
  OutcomeHandler on_outcome_;
  std::map<Key, std::unique_ptr<Run>> runs_;
  Counter& started_;
  Counter& completed_;
  Counter& stopped_;
};

}  // namespace sequoialb
