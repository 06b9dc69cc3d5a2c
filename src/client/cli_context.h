// What the commands of the command line share: options, calls to the hosts,
// exit codes, and printing.
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

// Prints an error and returns the exit code that stands for it.
int PrintError(const Error& error);

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

// The options of one call of the program.
class CliContext {
 public:
  explicit CliContext(const Arguments& arguments);

  bool Flag(const char* name) const;
  // Returns an argument's text, or empty.
  std::string Text(const char* name) const;
  // Returns an option's text, or else that of an environment variable.
  std::string Option(const char* name, const char* variable) const;
  TimePoint Deadline() const;

  HttpRequest MakeRequest(const std::string& method, const std::string& path,
                          const std::string& body,
                          const std::string& bearer) const;
  // Sends a call to the first host that answers; returns the answer's body.
  Result<std::string> Send(HttpRequest request) const;
  // Sends an operator's call.
  Result<std::string> SendOperatorRequest(const std::string& method,
                                          const std::string& path,
                                          const std::string& body) const;
  // Sends an operator's call and prints the answer's fields.
  int PrintOperatorAnswer(const std::string& method, const std::string& path,
                          const std::string& body) const;

  // Parses an answer, which may be a list.
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
