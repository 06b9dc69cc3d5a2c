// Emulates a plain service as a backend server for tests. Some of its calls are
// not idempotent: it counts the calls with each body, so that tests can verify
// that none ran twice.
//
// These words in a body change its behaviour: "SLOW=n" delays the answer by n
// milliseconds; "BREAK" counts the call and closes the connection without an
// answer.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb::emulator {

struct ServiceConfig {
  std::string id;
  std::string address;
  std::string service;
  std::string domain;
  std::vector<std::string> hosts;
  uint32_t slots = 32;
  milliseconds announce_interval{400};
};

// Serves until `wait_for_stop` returns. GET /tally returns the number of calls
// and the number of bodies received more than once.
Status RunService(const ServiceConfig& config,
                  const std::function<void()>& wait_for_stop);

}  // namespace sequoialb::emulator
