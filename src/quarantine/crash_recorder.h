// Recognizes crashes of backend servers from a front's broken requests, and
// collects which prompts were in progress there.
//
// Load pattern: one request in many has a prompt whose content crashes every
// server that begins to answer it. Each crash breaks all requests on the
// server, most of them sound, and a retry of the harmful one crashes the next
// server. A single broken answer is no crash: links lose connections, and a
// server in trouble breaks off a part of its answers. A server that goes on
// answering other requests after one of them broke has not crashed.
//
// A request whose answer has been streaming for a while is not the cause. Its
// parts, like those of a completed request, are known to be sound. A pure state
// machine of the traffic thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

// A crash of a backend server, as one front saw it.
struct CrashRecord {
  std::string backend;
  TimePoint at;
  // The shared prompt parts of each request that may have caused it.
  std::vector<std::vector<std::string>> requests;
};

// The latest answers to requests with one part of a prompt that show that the
// part crashed no server.
struct SoundAnswers {
  TimePoint at;
  // The latest that one server gave from its beginning, or TimePoint(). When
  // several servers have each begun an answer, the rest of it may be short
  // enough to end before the last server crashes.
  TimePoint whole_at;

  bool operator==(const SoundAnswers&) const = default;
};

using SoundParts = std::map<std::string, SoundAnswers>;

class CrashRecorder {
 public:
  // Records that a request at the server ended without a complete answer. An
  // answer begun at `begun_at`; TimePoint() if it had not begun.
  void RecordBroken(const std::string& backend,
                    const std::vector<std::string>& shared_parts,
                    TimePoint begun_at, TimePoint now);

  // Records that the server has sent a part of an answer.
  void RecordAlive(const std::string& backend, TimePoint now);

  // Records a request that was answered, or has been streaming for a while,
  // without a crash. Call for each later part of such an answer too. `whole`
  // says whether one server has given the answer from its beginning.
  void RecordSound(const std::vector<std::string>& shared_parts, bool whole,
                   TimePoint now);

  // Sets the parts for which sound answers are collected, beside those of the
  // crashes seen here.
  void SetWatched(std::set<std::string> parts) { watched_ = std::move(parts); }

  // Returns the crashes that have been confirmed since the last call.
  std::vector<CrashRecord> TakeCrashes(TimePoint now);

  // Returns the watched parts that have had a sound answer since the last call
  // that returned them. Whole answers from shortly before the part was watched
  // count.
  SoundParts TakeSound(TimePoint now);

  // Returns whether an answer that has been streaming since `begun_at` shows
  // that its request does not crash the server.
  static bool HasSurvived(TimePoint begun_at, TimePoint now) {
    return begun_at != TimePoint() && now - begun_at >= kSurvivalTime;
  }

  // A server that crashes of a prompt does so well within this time of the
  // answer's first byte.
  static constexpr milliseconds kSurvivalTime{1'000};
  // For so long a server may show that it has not crashed.
  static constexpr milliseconds kConfirmationTime{100};

 private:
  struct Remembered {
    SoundAnswers answers;
    bool reported = false;
  };
  using RememberedParts = std::map<std::string, Remembered>;

  bool IsWatched(const std::string& part, TimePoint now) const;
  // Copies the answers to `part` to `out` if they were not reported.
  void TakeSoundOf(const std::string& part, SoundParts& out);

  // Possible crashes that are not confirmed yet, by server.
  std::map<std::string, CrashRecord> pending_;
  // Parts of the crashes seen here, and until when they are watched.
  std::map<std::string, TimePoint> own_parts_;
  std::set<std::string> watched_;
  // The latest sound answers to all parts, and those from before `sound_since_`
  // that had none after it.
  RememberedParts sound_;
  RememberedParts older_sound_;
  TimePoint sound_since_;
};

}  // namespace sequoialb
