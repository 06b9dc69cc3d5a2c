// Keeps what the load reports of other fronts say: their requests in progress
// at each backend server, and how many online requests wait for a slot.
//
// Load pattern: each of hundreds of fronts chooses a server many times a second
// and needs the requests of all others at each candidate. The sum of each
// server is kept up to date when a report arrives, so that a choice costs one
// look-up a server, whatever the number of fronts.
//
// A report comes from one front, or from a whole failure domain, whose fronts
// it adds up (fleet/load_report_policy.h). A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/server_speed.h"

namespace sequoialb {

// What one front, or all fronts of a failure domain together, have in progress.
struct LoadReport {
  // Requests in progress, by backend server.
  std::map<std::string, uint32_t> requests;
  // Online requests that wait for a slot.
  uint32_t waiting = 0;
  // How many fronts the report covers.
  uint32_t fronts = 1;
  // The speeds that these fronts have observed, by backend server.
  std::map<std::string, ReportedSpeed> speeds{};

  // Adds the counts of another report.
  void Add(const LoadReport& other);
};

class PeerLoads {
 public:
  // Replaces the last report of `source`, a front or a failure domain.
  void Record(const std::string& source, LoadReport report, TimePoint now);

  // Drops the reports that are too old to count. Call before reading.
  void Expire(TimePoint now);

  // Returns the requests of all other fronts at the server.
  uint32_t RequestsAt(const std::string& backend) const;

  // Returns how many online requests wait at other fronts, by recent reports.
  uint32_t Waiting(TimePoint now) const;

  // Returns how many fronts the current reports cover.
  size_t fronts() const { return fronts_; }

  // Returns the speeds of all current reports together, by backend server.
  std::map<std::string, ReportedSpeed> Speeds() const;

  // Returns the sum of the current reports of the given sources.
  LoadReport Sum(const std::vector<std::string>& sources) const;

 private:
  struct TimedReport {
    TimePoint received_at;
    LoadReport report;
  };

  void Subtract(const LoadReport& report);

  std::map<std::string, TimedReport> reports_;
  std::map<std::string, uint32_t> totals_;
  size_t fronts_ = 0;
  // No report expires before this time.
  TimePoint next_expiry_;
};

}  // namespace sequoialb
