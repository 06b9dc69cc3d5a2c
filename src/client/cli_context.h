// Shared by the commands of the sequoialb program: options, requests to the
// hosts, exit codes and printing.
#pragma once

#include <json/value.h>

#include <iostream>
#include <string>
#include <vector>

#include "client/arguments.h"
#include "client/http_client.h"

namespace sequoialb {

enum ExitCode : int {
  kExitDone = 0,
  kExitRefused = 1,
  kExitUsage = 2,
  kExitNotReached = 3,
  kExitUnknown = 4,
  kExitConflict = 5,
};

// Prints an error to standard error and returns its exit code.
int PrintError(const Error& error);

// Returns the error of a request that `error` ended at one host after others
// had failed with `earlier`. Once a host may have run it, the outcome stays
// unknown.
Error AfterEarlier(const Error& earlier, Error error);

// Prints rows with aligned columns.
class Table {
 public:
  explicit Table(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
  }
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Holds the parsed arguments of one invocation of the program and sends its
// requests to the hosts.
class CliContext {
 public:
  explicit CliContext(const Arguments& arguments);

  bool Flag(const char* name) const;
  // Returns an argument's text, or an empty string if it was not given.
  std::string Text(const char* name) const;
  // Returns an option's text, or the value of the environment variable
  // `variable` if the option was not given.
  std::string Option(const char* name, const char* variable) const;
  TimePoint Deadline() const;

  HttpRequest MakeRequest(const std::string& method, const std::string& path,
                          const std::string& body,
                          const std::string& bearer) const;
  // Tries the hosts in the order of --server until one answers. Returns the
  // body of its answer, or the error that it returned. A POST that a host may
  // have run is not sent to another one, where it could take effect again.
  Result<std::string> Send(HttpRequest request) const;
  // Like Send(), for the operators' API, with the operator token.
  Result<std::string> SendOperatorRequest(const std::string& method,
                                          const std::string& path,
                                          const std::string& body) const;
  // Sends an operator request, prints the fields of the answer, one per line
  // (or the whole answer with --json), and returns the exit code.
  int PrintOperatorAnswer(const std::string& method, const std::string& path,
                          const std::string& body) const;

  // Parses an answer, which may be an object or a list. Returns null if it is
  // not valid JSON.
  static Json::Value Parse(const std::string& text);

  const std::vector<std::string>& servers() const { return servers_; }
  const std::string& token() const { return token_; }
  const std::string& key() const { return key_; }
  const std::string& ca_file() const { return ca_; }
  bool json() const { return json_; }

 private:
  const Arguments& arguments_;
  std::vector<std::string> servers_;
  std::string token_;
  std::string key_;
  std::string ca_;
  bool json_;
};

}  // namespace sequoialb
