// Finds the parts of prompts that crash backend servers, from the crash reports
// of all fronts, and decides which quarantines to begin and to end.
//
// Load pattern: requests with a harmful part arrive at all fronts, each with a
// different rest. Every crash also breaks sound requests that were on the
// server, so that frequent parts appear in as many crashes as the harmful one.
// What sets the harmful part apart is that no request with it is ever answered.
// Parts of sound requests are answered all the time, at one front or another,
// for as long as some servers are up. The decision therefore has to be taken
// within the first few crashes, before most servers are down.
//
// A part is quarantined after a few crashes at different times without a sound
// answer in between or shortly before. Parts that occurred in every request
// with it are quarantined together with it, as one combination; a sound answer
// to one of them, or crashes without it, narrow the combination down. Servers
// that are lost at one moment, such as those of a failure domain, count once.
//
// When many servers end in series for another reason, some rare parts are in a
// few of the crashes by chance. The chance that a sound part is in a crash
// and in no answer is estimated from the crashes without it: how many requests
// ended in them lately, and how many survived. The part has to be in so many
// crashes that this would be very unlikely. Besides, harmful parts are few, so
// each quarantine in force raises the number of crashes that the next one
// takes; so does each time that the part itself was suspected and then
// answered.
//
// A pure state machine on the control group's leader. It is rebuilt from the
// fronts' reports after a change of leader; only the quarantines are durable.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/crash_recorder.h"
#include "quarantine/quarantine_list.h"

namespace sequoialb {

// A change of the list of quarantines. `ends` is the combination that is
// released or replaced; `begins` the one that begins. Either may be empty.
struct QuarantineChange {
  std::vector<std::string> ends;
  std::vector<std::string> begins;
  // The crashes that `begins` was found in, and the servers that ended in them.
  size_t crashes = 0;
  std::vector<std::string> backends;
  // `ends` ends because a part of it was answered.
  bool is_answered = false;
  // Why, for the log.
  const char* reason = "";
};

class CrashAnalysis {
 public:
  // Adds a crash reported by a front of the process that started at
  // `started_unix_ms`; 0 if unknown. Reports of several fronts about the same
  // crash of a server are merged.
  void AddCrash(const std::string& backend, TimePoint at,
                const std::vector<std::vector<std::string>>& requests,
                int64_t started_unix_ms = 0);

  // Records answers without a crash to requests with the part.
  void AddSound(const std::string& part, const SoundAnswers& answers);

  // Sets how many requests with shared parts survived at a front lately, within
  // SurvivorCount::kWindow.
  void SetSurvivors(const std::string& front, uint32_t survivors,
                    TimePoint now);

  // Returns the parts whose sound answers the fronts should report.
  std::vector<std::string> WatchedParts(const Quarantines& active,
                                        TimePoint now) const;

  // Returns the next change of the active quarantines, if one is due. Call
  // again once that change is in force.
  std::optional<QuarantineChange> Decide(const Quarantines& active,
                                         TimePoint now);

  // Crashes needed for a quarantine, and how many of them at different times.
  static constexpr size_t kMinCrashes = 4;
  static constexpr size_t kMinMoments = 3;
  // One more is needed for each so many other crashes meanwhile, since a rare
  // part of sound requests may be in several crashes by chance.
  static constexpr size_t kOtherCrashesPerMinCrash = 16;
  // Two more are needed for each quarantine in force.
  static constexpr size_t kCrashesPerQuarantine = 2;
  // The chance of being in that many crashes that is accepted for a part that
  // is not to blame, and the most crashes that are asked for because of it.
  static constexpr double kMaxChance = 0.001;
  static constexpr size_t kMaxByChance = 24;
  // Requests in crashes without the part from which the chance is estimated.
  static constexpr double kMinOthers = 16;
  // How many of them no active quarantine explains.
  static constexpr size_t kMinUnexplained = 2;
  // Crashes within this time of each other count as one moment.
  static constexpr milliseconds kMomentTime{20};
  // Time from a part's first unexplained crash for reports of sound answers to
  // arrive.
  static constexpr milliseconds kObservationTime{400};
  // A part with a whole answer this long before a crash did not cause it. When
  // all servers of a service are lost at about the same time, nothing is
  // answered after the first crash, and every part would be suspect.
  static constexpr milliseconds kClearedBefore{2'000};
  // A crash counts after this time, when all fronts with requests on the server
  // have reported it.
  static constexpr milliseconds kSettleTime{250};

 private:
  struct Crash {
    std::string backend;
    TimePoint at;
    std::vector<std::vector<std::string>> requests;
    int64_t started_unix_ms = 0;
  };
  // What the crashes since its last sound answer say about a part.
  struct Suspicion {
    size_t crashes = 0;
    // Crashes that no active quarantine explains.
    size_t unexplained = 0;
    size_t moments = 0;
    size_t requests = 0;
    // All requests in recent crashes that it may have caused.
    size_t explained_requests = 0;
    // Crashes before its first one, and crashes without it since then.
    size_t crashes_before = 0;
    size_t others = 0;
    TimePoint first_unexplained_at;
    // The first crash of the latest moment.
    TimePoint moment_at;
  };

  struct Survivors {
    uint32_t count = 0;
    TimePoint at;
  };
  struct Refutation {
    size_t count = 0;
    TimePoint at;
  };

  // Whether a report concerns `crash`.
  static bool IsSameCrash(const Crash& crash, const std::string& backend,
                          TimePoint at, int64_t started_unix_ms);
  void Expire(TimePoint now);
  // Returns how many crashes are too many for chance.
  size_t CrashesByChance(const Suspicion& suspicion, TimePoint now) const;
  // Returns how many crashes a quarantine of the part takes.
  size_t CrashesNeeded(const std::string& part, const Suspicion& suspicion,
                       const Quarantines& active, TimePoint now) const;
  bool IsEnough(const std::string& part, const Suspicion& suspicion,
                const Quarantines& active, TimePoint now) const;
  bool IsSoundSince(const std::string& part, TimePoint at) const;
  // Whether the part had a sound answer after the crash, or a whole one shortly
  // before it.
  bool IsCleared(const std::string& part, TimePoint crash_at) const;
  std::map<std::string, Suspicion> Suspicions(const Quarantines& active,
                                              TimePoint now) const;
  // Returns the parts that were in all requests with `part`, and in no sound
  // one.
  std::vector<std::string> Combination(const std::string& part) const;
  // Returns the servers whose crashes had a request with all of these parts.
  std::vector<std::string> BackendsOf(
      const std::vector<std::string>& parts) const;
  std::optional<QuarantineChange> NarrowByAnswers(const Quarantines& active,
                                                  TimePoint now);

  // In order of time.
  std::deque<Crash> crashes_;
  SoundParts sound_;
  std::map<std::string, Survivors> survivors_;
  // How often each part was answered while it was quarantined, and when last.
  std::map<std::string, Refutation> refutations_;
  // Without new reports the same decision would be reached again, except that
  // the observation time passes.
  bool changed_ = false;
  TimePoint decide_until_;
};

}  // namespace sequoialb
