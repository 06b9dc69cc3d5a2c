#include "client/cli_context.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <sstream>

#include "settings/json_fields.h"

namespace sequoialb {
namespace {

int ExitCodeOf(const Error& error) {
  if (error.code == ErrorCode::kVersionConflict) {
    return kExitConflict;
  }
  if (error.code == ErrorCode::kIo) {
    return kExitNotReached;
  }
  return error.run == RunState::kUnknown ? kExitUnknown : kExitRefused;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    if (!part.empty()) {
      out.push_back(part);
    }
  }
  return out;
}

}  // namespace

int Report(const Error& error) {
  std::cerr << "sequoialb: " << ErrorName(error.code) << " ("
            << RunStateName(error.run) << "): " << error.detail << "\n";
  return ExitCodeOf(error);
}

void Table::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      out << (last ? row[i]
                   : row[i] + std::string(widths[i] + 2 - row[i].size(), ' '));
    }
    out << "\n";
  }
}

CliContext::CliContext(const Arguments& arguments)
    : arguments_(arguments),
      servers_(SplitList(Option("--server", "SEQUOIALB_SERVER"))),
      token_(Option("--token", "SEQUOIALB_TOKEN")),
      key_(Option("--key", "SEQUOIALB_KEY")),
      ca_(Option("--ca", "SEQUOIALB_CA")),
      json_(Flag("--json")) {}

bool CliContext::Flag(const char* name) const {
  const auto found = arguments_.find(name);
  return found != arguments_.end() && found->second && found->second.isBool() &&
         found->second.asBool();
}
std::string CliContext::Text(const char* name) const {
  const auto found = arguments_.find(name);
  return found != arguments_.end() && found->second && found->second.isString()
             ? found->second.asString()
             : "";
}
std::string CliContext::Option(const char* name, const char* variable) const {
  const std::string given = Text(name);
  const char* from_environment = std::getenv(variable);
  return !given.empty() || from_environment == nullptr ? given
                                                       : from_environment;
}
TimePoint CliContext::Deadline() const {
  return Clock::now() +
         FromSeconds(std::strtod(Text("--timeout").c_str(), nullptr));
}

HttpCall CliContext::MakeCall(const std::string& method,
                              const std::string& path, const std::string& body,
                              const std::string& bearer) const {
  HttpCall call;
  call.method = method;
  call.path = path;
  call.body = body;
  call.deadline = Deadline();
  call.ca_file = ca_;
  call.headers["Authorization"] = "Bearer " + bearer;
  std::string name = Option("--operator", "USER");
  call.headers["X-Operator"] = name.empty() ? "operator" : name;
  return call;
}

// Sends a call to the first host that answers.
Result<std::string> CliContext::Send(HttpCall call) const {
  Error last{ErrorCode::kIo, "no host answered", RunState::kUnknown};
  for (const std::string& server : servers_) {
    call.server = server;
    const Result<HttpAnswer> answer = CallHttp(call);
    if (!answer) {
      last = answer.error();
      continue;
    }
    if (answer->status >= 300) {
      return tl::unexpected<Error>(ErrorFromAnswer(*answer));
    }
    return answer->body;
  }
  return tl::unexpected<Error>(last);
}

Result<std::string> CliContext::Admin(const std::string& method,
                                      const std::string& path,
                                      const std::string& body) const {
  return Send(MakeCall(method, path, body, token_));
}

Json::Value CliContext::Parse(const std::string& text) {
  // Lists are wrapped, because the checked parser takes objects only.
  const auto json = JsonDocument::Parse("{\"value\":" + text + "}", "answer");
  return json ? json->root["value"] : Json::Value();
}

int CliContext::Show(const std::string& method, const std::string& path,
                     const std::string& body) const {
  const Result<std::string> answer = Admin(method, path, body);
  if (!answer) {
    return Report(answer.error());
  }
  if (json_) {
    std::cout << *answer << "\n";
    return kExitDone;
  }
  const Json::Value value = Parse(*answer);
  for (const std::string& name : value.getMemberNames()) {
    std::cout << std::left << std::setw(20) << name
              << (value[name].isString() ? value[name].asString()
                                         : JsonLine(value[name]))
              << "\n";
  }
  return kExitDone;
}

}  // namespace sequoialb
