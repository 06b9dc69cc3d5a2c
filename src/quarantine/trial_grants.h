// The trials that this front process has been granted and has not made, and the
// requests that it holds back and that would make one.
//
// A grant is part of the quarantines that all hosts know. It names one process,
// which makes the trial at most once; a process that has restarted no longer
// has it. Belongs to the traffic thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_list.h"

namespace sequoialb {

class TrialGrants {
 public:
  // Sets the name and the incarnation of this front process.
  void SetSelf(const std::string& host, uint64_t incarnation) {
    host_ = host;
    incarnation_ = incarnation;
  }

  // Returns whether a request with these parts may be sent as the trial of all
  // the quarantines that cover it.
  bool Allows(const Quarantines& quarantines,
              const std::vector<std::string>& shared_parts) const;

  // Uses the grants of the quarantines that cover the request. Returns whether
  // there were any.
  bool Take(const Quarantines& quarantines,
            const std::vector<std::string>& shared_parts);
  // Takes back the last Take() of such a request: nothing was sent.
  void Return(const Quarantines& quarantines,
              const std::vector<std::string>& shared_parts);

  // Records that a request was refused because of these quarantines.
  void RecordRefused(const Quarantines& quarantines,
                     const std::vector<std::string>& shared_parts,
                     TimePoint now);
  // Returns the trials that the requests refused lately would make here.
  std::vector<proto::TrialWanted> Wanted(TimePoint now);

  // Refused requests count for this long. Their callers return, or others come.
  static constexpr milliseconds kRefusedMemory{2'000};

 private:
  using Parts = std::vector<std::string>;
  // Identifies a quarantine by its parts and its end.
  using Key = std::pair<Parts, int64_t>;

  static Key KeyOf(const proto::Quarantine& quarantine) {
    return {PartsOf(quarantine), quarantine.until_unix_ms()};
  }

  std::string host_;
  uint64_t incarnation_ = 0;
  // The number of the last trial made, by quarantine in force.
  std::map<Key, uint32_t> made_;
  // The quarantines that refused requests, together with those that covered the
  // same requests, and when that was last.
  std::map<std::set<Parts>, TimePoint> refused_;
};

// Returns the trial that work covered by these quarantines would make.
proto::TrialWanted TrialOf(const std::set<std::vector<std::string>>& covering);

}  // namespace sequoialb
