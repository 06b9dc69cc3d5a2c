// The service document, with which a team configures its service: models,
// client accounts, routes and limits.
//
// Teams change the document while the service handles traffic. The system
// compares versions when a change is applied (see ledger/document_table.h), and
// every host validates the text with this parser before it activates the
// change.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace sequoialb {

// A client account's rate limit and weight in a service.
struct AccountEntry {
  std::string account;
  // Requests per second and maximum burst of requests, over all hosts together.
  double rate = 0;
  double burst = 0;
  // Relative share of the capacity when accounts compete for it.
  double weight = 1;
};

// A path prefix whose requests are forwarded to plain HTTP services.
struct Route {
  std::string prefix;
  // A request may be sent again without side effects.
  bool idempotent = true;
  // Requests need no API key.
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
  // Time limits for the first token and for the complete response of an online
  // request.
  milliseconds first_token_limit{1'200};
  milliseconds online_limit{60'000};
  // Completion window of a batch job that does not specify one.
  milliseconds batch_window{seconds(86'400)};
  // Maximum number of attempts of a batch item, on different backend servers.
  uint32_t max_attempts = 3;
  // How long keyed requests are still served after the confirmed freshness of
  // the keys has ended. 0 serves them only while the keys are confirmed to be
  // fresh.
  milliseconds key_staleness{0};
  // Fraction of each account's rate and burst that is divided among all hosts
  // as a fixed local reserve, so that a host that is cut off can still admit
  // requests. Busy hosts cannot use the reserve of idle ones.
  double cut_off_reserve = 0;
  // The service's engines reject orders with an outdated fencing number.
  bool engines_check_fencing = false;

  const AccountEntry* FindAccount(const std::string& account) const;
  const ModelEntry* FindModel(const std::string& model) const;
  // Returns the route with the longest matching prefix, or nullptr.
  const Route* FindRoute(const std::string& path) const;
};

// Parses and validates a document's text. `origin` names the source in error
// messages.
Result<ServiceDocument> ParseServiceDocument(const std::string& text,
                                             const std::string& origin);

}  // namespace sequoialb
