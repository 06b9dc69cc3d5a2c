// Documents, keys and the view in force on this host, as one immutable value.
//
// The control thread replaces the value as a whole when changes arrive; traffic
// threads read whichever value is current without waiting. Changes only ever
// move it forward: a record replaces one of a lower log index, never a higher.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "document/service_document.h"
#include "proto/ledger.pb.h"
#include "rates/owner_bucket.h"

namespace sequoialb {

// A service as this host serves it.
struct ServiceInForce {
  proto::Document record;
  ServiceDocument document;
};

struct KeyInForce {
  std::string key_id;
  std::string account;
  bool withdrawn = false;
  uint64_t index = 0;
};

struct ConfigView {
  uint64_t index = 0;
  std::map<std::string, std::shared_ptr<const ServiceInForce>> services;
  // By the SHA-256 of the key.
  std::unordered_map<std::string, KeyInForce> keys;
  proto::HostView view;

  // Returns the key's entry, or nullptr for one that was never given.
  const KeyInForce* FindKey(const std::string& key_sha256) const;

  // Returns the service that serves a model to an account, or nullptr.
  const ServiceInForce* FindForModel(const std::string& model,
                                     const std::string& account) const;

  // Returns the service with the longest matching route, or nullptr.
  const ServiceInForce* FindForPath(const std::string& path) const;

  // Returns the account's rate over all services, less what hosts hold in
  // reserve; nothing when no service names it.
  std::optional<RateLimit> TermsOf(const std::string& account) const;

  // Returns the part of the account's rate that all hosts together hold in
  // reserve for being cut off.
  RateLimit ReserveOf(const std::string& account) const;
};

using ConfigPointer = std::shared_ptr<const ConfigView>;

// Holds the current value and the instant until which it is confirmed fresh.
class ConfigHolder {
 public:
  ConfigHolder() : current_(std::make_shared<const ConfigView>()) {}

  ConfigPointer current() const { return current_.load(); }

  // Applies changes on top of the current value. Control thread only. A
  // document that this build cannot parse keeps the former one in force.
  void Apply(const proto::ConfigState& changes);

  // Extends the freshness: until `until` no withdrawal can have been missed.
  void ExtendFreshness(TimePoint until);
  TimePoint fresh_until() const {
    return TimePoint(Duration(fresh_until_.load()));
  }
  // Returns true when the configuration is confirmed, or was within
  // `staleness`.
  bool Fresh(TimePoint now, Duration staleness) const;

 private:
  std::atomic<ConfigPointer> current_;
  std::atomic<Duration::rep> fresh_until_{0};
};

}  // namespace sequoialb
