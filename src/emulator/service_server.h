// A stand-in for a plain service, some of whose calls may not be repeated. It
// counts each call by its body, so that tests can see whether one ran twice.
//
// Words in a body that steer it: "SLOW=n" answers after n milliseconds;
// "BREAK" counts the call and closes the connection without an answer.
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

// Serves until `wait_for_stop` returns. GET /tally answers the number of calls
// and of bodies seen more than once.
Status RunService(const ServiceConfig& config,
                  const std::function<void()>& wait_for_stop);

}  // namespace sequoialb::emulator
