// Decides for how long a front sends no new requests to a backend server after
// a failure, and when that state changes, so that each change is logged once.
//
// Load pattern: a server that fails breaks all its requests within
// milliseconds and is back after some seconds, or is gone. The time doubles
// with each failure, so that few requests are spent on a server that stays
// away. A later start of the server is another process, which has not failed.
// A pure state machine.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace sequoialb {

// Why a server is avoided.
enum class ServerFailure : uint8_t {
  // No connection could be opened.
  kUnreachable,
  // A connection ended, or sent bytes that are no answer, before the answer was
  // complete.
  kBroken,
  // The server sent nothing for too long.
  kStalled,
  // The address belongs to another server.
  kOtherServer,
  // An answer does not say which request it answers.
  kUnattributed,
  // The answer is longer than any.
  kEndlessAnswer,
};

inline std::string_view ServerFailureName(ServerFailure failure) {
  constexpr std::array<std::string_view, 6> kNames = {
      "unreachable",  "broken",       "stalled",
      "other_server", "unattributed", "endless_answer"};
  return kNames.at(static_cast<size_t>(failure));
}

// A failing server gets no new requests for this long, doubled with each
// further failure.
inline constexpr milliseconds kInitialBackoff{250};
inline constexpr uint32_t kMaxBackoffDoublings = 4;
// A server that refused a request because it was full gets no new requests for
// this long.
inline constexpr milliseconds kFullBackoff{60};

class ServerBackoff {
 public:
  // Returns whether the server was not avoided before.
  bool RecordFailure(TimePoint now) {
    until_ = now + kInitialBackoff *
                       (1U << std::min(failures_, kMaxBackoffDoublings));
    ++failures_;
    const bool begins = !avoided_;
    avoided_ = true;
    return begins;
  }

  void RecordFull(TimePoint now) {
    until_ = std::max(until_, now + kFullBackoff);
  }

  void RecordSuccess() { failures_ = 0; }

  // Records a request to the server. Returns whether it is the first since the
  // server was avoided.
  bool RecordSent() {
    const bool ends = avoided_;
    avoided_ = false;
    return ends;
  }

  // Records a later start of the server. Returns whether it was avoided.
  bool RecordRestart() {
    const bool ends = avoided_;
    *this = ServerBackoff();
    return ends;
  }

  bool IsActive(TimePoint now) const { return now < until_; }
  TimePoint until() const { return until_; }
  uint32_t failures() const { return failures_; }

 private:
  TimePoint until_;
  uint32_t failures_ = 0;
  // The server has failed, and no request has been sent to it since.
  bool avoided_ = false;
};

}  // namespace sequoialb
