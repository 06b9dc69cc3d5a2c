// Recognizes crashes of backend servers from a front's broken requests, and
// collects which prompts were in progress there.
//
// Load pattern: one request in many has a prompt whose content crashes every
// server that begins to answer it. Each crash breaks all requests on the
// server, most of them sound, and a retry of the harmful one crashes the next
// server. Networks and limits end connections in the same way, many at once,
// while the servers go on, and a front that stood still reads all ends at once.
//
// A broken connection therefore only makes a crash suspected. It is proven by
// what no living process does: its address refuses a connection after the
// break, or a later process starts there. A later part of an answer refutes it.
// Without either it is dropped.
//
// A request whose answer has been streaming for a while is not the cause. Its
// parts, like those of a completed request, are known to be sound. A pure state
// machine of the traffic thread.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace sequoialb {

// A process of a backend server, as a front knew it when it sent a request
// there.
struct ServerProcess {
  std::string backend;
  std::string address;
  // 0 if unknown.
  int64_t started_unix_ms = 0;
};

// What shows that a server's process has ended.
enum class CrashProof : uint8_t { kRefused, kLaterStart };
std::string_view NameOf(CrashProof proof);

// A crash of a backend server, as one front saw it.
struct CrashRecord {
  std::string backend;
  TimePoint at;
  // The shared prompt parts of each request that may have caused it.
  std::vector<std::vector<std::string>> requests;
  // When the process that ended had started; 0 if unknown.
  int64_t started_unix_ms = 0;
  CrashProof proof = CrashProof::kRefused;
  // For how long the answers to these requests had been streaming, at least and
  // at most; 0 if one had not begun.
  Duration youngest = Duration(0);
  Duration oldest = Duration(0);
};

// The beginning of a suspected crash, or its end without proof.
enum class SuspicionChange : uint8_t { kBegun, kRefuted, kUnproven };

struct SuspicionEvent {
  SuspicionChange change = SuspicionChange::kBegun;
  ServerProcess server;
  // Requests broken so far, and for how long the answer to the first one had
  // been streaming; nothing if it had not begun.
  size_t requests = 0;
  std::optional<Duration> first_age;
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
  // Sets the processes that the front knows to be running. One that started
  // later at the address or with the id of an earlier one proves that the
  // earlier has ended.
  void SetServers(const std::vector<ServerProcess>& servers);

  // Records that the connection of a request to the server ended without a
  // complete answer, or that the server has completed an answer that another
  // one had begun: the rest of an answer may be complete before the crash that
  // it causes. An answer begun at `begun_at`; TimePoint() if it had not begun.
  void RecordBroken(const ServerProcess& server,
                    const std::vector<std::string>& shared_parts,
                    TimePoint begun_at, TimePoint now);

  // Records that a connection to the address was refused because no process
  // listens there.
  void RecordRefused(const std::string& address, TimePoint now);

  // Records that a connection to the address was accepted, which replaces a
  // probe.
  void RecordAccepted(const std::string& address, TimePoint now);

  // Records that the server has sent a part of an answer.
  void RecordAlive(const std::string& backend, TimePoint now);

  // Returns the addresses to which the front should now open a connection, and
  // then call RecordRefused or RecordAccepted with the result. Each is returned
  // at most kMaxProbes times for a suspicion.
  std::vector<std::string> ProbesDue(TimePoint now);

  // Records a request that was answered, or has been streaming for a while,
  // without a crash. Call for each later part of such an answer too. `whole`
  // says whether one server has given the answer from its beginning, or for
  // kSurvivalTime.
  void RecordSound(const std::vector<std::string>& shared_parts, bool whole,
                   TimePoint now);

  // Sets the parts for which sound answers are collected, beside those of the
  // crashes seen here.
  void SetWatched(std::set<std::string> parts) { watched_ = std::move(parts); }

  // Returns the crashes that have been proven since the last call, and drops
  // suspicions that have had no proof for kProofTime.
  std::vector<CrashRecord> TakeCrashes(TimePoint now);

  // Returns the suspicions that have begun or ended without proof since the
  // last call, for logs.
  std::vector<SuspicionEvent> TakeEvents();

  // Returns the watched parts that have had a sound answer since the last call
  // that returned them. Whole answers from shortly before the part was watched
  // count.
  SoundParts TakeSound(TimePoint now);

  // Returns whether an answer that has been streaming since `begun_at` shows
  // that its request does not crash the server.
  static bool HasSurvived(TimePoint begun_at, TimePoint now) {
    return begun_at != TimePoint() && now - begun_at >= kSurvivalTime;
  }

  // Returns whether an answer that is complete at `now` counts as whole. A
  // later part of an answer counts once one server has been giving it for
  // kSurvivalTime.
  static bool IsWhole(bool from_beginning, TimePoint begun_at, TimePoint now) {
    return from_beginning || HasSurvived(begun_at, now);
  }

  // A server that crashes of a prompt does so well within this time of the
  // answer's first byte.
  static constexpr milliseconds kSurvivalTime{1'000};
  // An answer that has been streaming for longer than this when its server ends
  // is not suspect. Below kSurvivalTime it does not show that its request is
  // sound either.
  static constexpr milliseconds kFreshTime{400};
  // Breaks within this time of the first one are collected before the crash is
  // returned.
  static constexpr milliseconds kConfirmationTime{100};
  // A suspicion without proof is dropped after this time.
  static constexpr milliseconds kProofTime{2'000};
  // Times after the first break at which the server is probed, unless a proof
  // or the result of another connection is there.
  static constexpr milliseconds kFirstProbe{30};
  static constexpr milliseconds kSecondProbe{300};
  static constexpr int kMaxProbes = 2;

 private:
  struct Remembered {
    SoundAnswers answers;
    bool reported = false;
  };
  using RememberedParts = std::map<std::string, Remembered>;

  struct Suspicion {
    ServerProcess server;
    CrashRecord record;
    bool proven = false;
    // Probes returned, or replaced by other connections.
    int probes = 0;
    std::optional<Duration> first_age;
  };
  using Suspicions = std::map<std::string, Suspicion>;

  static void Prove(Suspicion& suspicion, CrashProof proof);
  // Whether a process is known that started later at the server's address or
  // with its id.
  bool HasLaterStart(const ServerProcess& server) const;
  // Returns how many probes a suspicion has had when nothing else has told.
  static int ProbesUntil(const Suspicion& suspicion, TimePoint now);
  void AddEvent(SuspicionChange change, const Suspicion& suspicion);

  bool IsWatched(const std::string& part, TimePoint now) const;
  // Copies the answers to `part` to `out` if they were not reported.
  void TakeSoundOf(const std::string& part, SoundParts& out);

  // By server.
  Suspicions suspicions_;
  // The latest proven crash of each server: when it was seen, and the start of
  // the process that ended.
  std::map<std::string, std::pair<TimePoint, int64_t>> ended_;
  std::vector<SuspicionEvent> events_;
  // Latest known start by id and by address.
  std::map<std::string, int64_t> starts_;
  std::map<std::string, int64_t> starts_at_;
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
