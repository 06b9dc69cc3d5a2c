// The one document by which a team drives its service.
//
// Teams edit it while traffic runs; the system compares versions when it is
// applied (see ledger/document_table.h) and every host checks the text with the
// same code before it takes the change.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb {

// A client account's share in a service.
struct AccountEntry {
  std::string account;
  // Requests a second, and how many may come at once, over all hosts together.
  double rate = 0;
  double burst = 0;
  // Share of contended capacity relative to the other accounts.
  double weight = 1;
};

// A path that is passed to plain services.
struct Route {
  std::string prefix;
  // A request may be repeated without harm.
  bool idempotent = true;
  // Served without a key.
  bool open = false;
};

struct ModelEntry {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
};

struct ServiceDocument {
  std::string service;
  std::vector<ModelEntry> models;
  std::vector<AccountEntry> accounts;
  std::vector<Route> routes;
  // Limits within which an answer must begin and end.
  milliseconds first_token_limit{1'200};
  milliseconds online_limit{60'000};
  // Completion window of a batch job that names none.
  milliseconds batch_window{seconds(86'400)};
  // Tries of one batch item on different backend servers.
  uint32_t max_attempts = 3;
  // For how long keyed requests go on without fresh confirmation of the keys.
  // 0 is strict: the confirmed lease only.
  milliseconds key_staleness{0};
  // Share of each account's rate and burst that every host holds a part of by
  // itself, so that a host that is cut off can admit that much. What idle hosts
  // hold is not there for busy ones.
  double cut_off_reserve = 0;
  // The service's engines refuse an order that carries an old fencing number.
  bool engines_check_fencing = false;

  const AccountEntry* FindAccount(const std::string& account) const;
  const ModelEntry* FindModel(const std::string& model) const;
  // Returns the route with the longest matching prefix, or nullptr.
  const Route* FindRoute(const std::string& path) const;
};

// Parses and checks a document's text.
Result<ServiceDocument> ParseServiceDocument(const std::string& text,
                                             const std::string& origin);

}  // namespace sequoialb
