// Emulates a model engine as a backend server for tests. It emulates continuous
// batching, a prefix cache, streams that can be resumed and cancelled, delayed
// load reports, lost cache events, and orders whose fencing numbers it either
// checks or ignores. It counts the requests that it ran and those that carried
// credentials, so that tests can verify that a refused request did not run.
//
// The answer is a function of the prompt: token i of an answer is "tI-HASH ",
// so that a test can tell a complete answer from a wrong one.
//
// These words in a prompt change its behaviour: "KILLSERVER" closes all
// connections and makes the server unavailable for `restart_delay`; "TOOLONG"
// is refused with status 400; "TOKENS=n" sets the length of the answer.
//
// In addition to the engine's interface it serves GET /tally (its counters as
// JSON), POST /leave (starts draining) and POST /die (like KILLSERVER).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "emulator/engine_model.h"

namespace sequoialb::emulator {

struct EngineConfig {
  std::string id;
  std::string address;
  std::string service;
  std::string domain;
  // HTTP addresses of the failure domain's hosts.
  std::vector<std::string> hosts;
  std::vector<std::string> models;
  EngineOptions engine;
  // Length of an answer whose prompt has no "TOKENS=n".
  uint32_t tokens = 16;
  milliseconds report_lag{300};
  milliseconds announce_interval{400};
  // Fraction of newly cached prefixes that are never announced.
  double event_loss = 0.1;
  milliseconds restart_delay{1500};
  bool checks_fencing = false;
  uint64_t seed = 1;
  // Divides the duration of each engine step.
  double speed = 1;
};

// Serves until `wait_for_stop` returns. Fails with kIo if it cannot listen on
// the address.
Status RunEngine(const EngineConfig& config,
                 const std::function<void()>& wait_for_stop);

}  // namespace sequoialb::emulator
