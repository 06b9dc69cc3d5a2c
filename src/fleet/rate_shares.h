// Divides each account's rate among the hosts that let its requests in.
//
// Load pattern: callers are spread unevenly over few hosts and a tenth of the
// accounts sends most of the requests, so equal parts would refuse on one host
// what another has to spare. Each host gets a floor, by which new demand is let
// in before it has been reported, and the rest by reported demand. The parts
// add up to one, so that no account gets more than its rate; the part of a host
// that fell silent is given to nobody until its authority has surely ended.
// A pure function.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace sequoialb {

// What one host has reported, by account, in requests a second.
struct HostDemand {
  std::string host;
  std::map<std::string, double> per_s;
};

// Returns the parts of one host by account, among `hosts`.
std::map<std::string, double> SharesOf(const std::string& host,
                                       const std::vector<HostDemand>& hosts);

}  // namespace sequoialb
