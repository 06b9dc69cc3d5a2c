// A stand-in for a model engine: continuous batching, a prefix cache, streams
// that resume and cancel, lagging load reports, gappy cache events, and orders
// with fencing numbers that it checks or ignores. It counts what it ran and
// which headers it saw, so that tests can tell whether a refusal was true.
//
// Its answer is a function of the prompt: token i of an answer is "tI-HASH ",
// so that any test can tell a whole answer from a wrong one.
//
// Words in a prompt that steer it: "KILLSERVER" makes the process lose all its
// connections and come back after `restart`; "TOOLONG" is refused with 400;
// "TOKENS=n" sets the answer's length.
//
// Beside the engine's own interface it serves GET /tally (its counts as JSON),
// POST /leave (announce that it leaves) and POST /die (as KILLSERVER).
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
  // Tokens of an answer whose prompt does not say.
  uint32_t tokens = 16;
  milliseconds report_lag{300};
  milliseconds announce_interval{400};
  // Share of cache events that never reach the announcement.
  double event_loss = 0.1;
  milliseconds restart_delay{1500};
  bool checks_fencing = false;
  uint64_t seed = 1;
  // Divides all times.
  double speed = 1;
};

// Serves until `wait_for_stop` returns; fails with kIo when the address is
// taken.
Status RunEngine(const EngineConfig& config,
                 const std::function<void()>& wait_for_stop);

}  // namespace sequoialb::emulator
