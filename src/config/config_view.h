// The configuration that is active on this host (service documents, API keys
// and the host view) as one immutable value.
//
// When changes arrive, the control thread replaces the whole value; request
// threads read the current value without blocking. Changes never revert a
// record to an older one: a key or view replaces only one with a lower log
// index, a document only one with a lower version.
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

// A service document that is active on this host: its record and parsed
// content.
struct ActiveService {
  proto::Document record;
  ServiceDocument document;
};

struct KeyEntry {
  std::string key_id;
  std::string account;
  bool withdrawn = false;
  uint64_t index = 0;
};

struct ConfigView {
  uint64_t index = 0;
  std::map<std::string, std::shared_ptr<const ActiveService>> services;
  // Indexed by the SHA-256 of the key.
  std::unordered_map<std::string, KeyEntry> keys;
  proto::HostView view;

  // Returns the key's entry, which may be withdrawn, or nullptr if no such key
  // was issued.
  const KeyEntry* FindKey(const std::string& key_sha256) const;

  // Returns the service that offers the model to the account. If no service
  // does, returns one that offers the model to other accounts, or nullptr.
  const ActiveService* FindForModel(const std::string& model,
                                    const std::string& account) const;

  // Returns the service with the longest matching route, or nullptr.
  const ActiveService* FindForPath(const std::string& path) const;

  // Returns the account's rate limit, summed over all services, less the
  // reserved part (see ReservedRateLimitOf), or nullopt if no service lists the
  // account.
  std::optional<RateLimit> RateLimitOf(const std::string& account) const;

  // Returns the part of the account's rate limit that is reserved for hosts
  // that are cut off, as the total over all hosts.
  RateLimit ReservedRateLimitOf(const std::string& account) const;
};

using ConfigPointer = std::shared_ptr<const ConfigView>;

// Holds the current configuration and the time until which it is confirmed to
// be fresh.
class ConfigHolder {
 public:
  ConfigHolder() : current_(std::make_shared<const ConfigView>()) {}

  ConfigPointer current() const { return current_.load(); }

  // Applies changes to the current value. Control thread only. If this build
  // cannot parse a document, the previous version stays active.
  void Apply(const proto::ConfigState& changes);

  // Marks the configuration as fresh until `until`: up to then, this host
  // cannot have missed the withdrawal of a key. A time before the current one
  // has no effect.
  void ExtendFreshness(TimePoint until);
  TimePoint fresh_until() const {
    return TimePoint(Duration(fresh_until_.load()));
  }
  // Returns true if the configuration is confirmed to be fresh at `now`, or was
  // at most `staleness` ago.
  bool Fresh(TimePoint now, Duration staleness) const;

 private:
  std::atomic<ConfigPointer> current_;
  std::atomic<Duration::rep> fresh_until_{0};
};

}  // namespace sequoialb
