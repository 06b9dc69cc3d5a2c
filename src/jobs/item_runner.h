// Runs batch items on the backend servers that have this front as their home.
//
// Load pattern: online requests come in bursts of seconds and need slots within
// a moment; items run for seconds and are due after many. An item takes a slot
// that online requests leave, gives it up at once when one of them needs it,
// and keeps the events that it has, so that it goes on elsewhere at the next
// one. Items that cannot run here at the moment go back to the store group with
// their progress. Belongs to the traffic thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/event_cutter.h"
#include "gateway/front_view.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

class ItemRunner {
 public:
  // Hands an outcome over; it is kept until the store group has taken it.
  using OutcomeHandler = std::function<void(const proto::ItemOutcome&)>;

  ItemRunner(FrontShared& front, uint64_t incarnation, OutcomeHandler outcome);
  ~ItemRunner();

  void AcceptOffer(const proto::ItemOffer& offer);
  void Stop(const proto::ItemName& name);
  // Stops the item at a server that has got least far; false when none runs.
  bool StopOneAt(const std::string& backend);
  // Gives everything back, before a graceful stop.
  void StopAll();

  // Starts items that wait here, or gives them back when there is no room.
  void StartWaiting();

  // Gives back items whose servers have fallen silent.
  void CheckStalls();

  // Fills in what runs here and how much more could.
  void Report(proto::ItemReport& report) const;

 private:
  struct Run;
  using Key = std::pair<std::string, std::string>;

  bool TryStart(Run& run);
  void Send(Run& run, const Choice& choice);
  void OnHead(Run& run, const ResponseHead& head);
  void OnData(Run& run, std::string_view data);
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
