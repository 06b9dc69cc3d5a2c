// What a front reports to the control hosts about crashes of backend servers:
// the crashes it has seen and which parts of prompts were answered without one.
// Each control host is sent a crash once, and again after it has restarted.
// Belongs to the control thread.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/time.h"
#include "proto/fleet.pb.h"
#include "quarantine/crash_recorder.h"

namespace sequoialb {

class CrashEvidence {
 public:
  void AddCrash(const CrashRecord& record);
  void AddSound(const SoundParts& sound, TimePoint now);

  // Replaces the fields about crashes in a heartbeat to a control host that has
  // received the crashes up to number `cursor`.
  void Fill(uint64_t cursor, TimePoint now, proto::HostHello& hello) const;

 private:
  struct NumberedCrash {
    TimePoint at;
    proto::BackendCrash crash;
  };

  uint64_t last_number_ = 0;
  std::deque<NumberedCrash> crashes_;
  SoundParts sound_;
};

}  // namespace sequoialb
