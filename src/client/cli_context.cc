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
  if (error.run == RunState::kUnknown) {
    return kExitUnknown;
  }
  return error.code == ErrorCode::kIo ? kExitNotReached : kExitRefused;
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

int PrintError(const Error& error) {
  std::cerr << "sequoialb: " << ErrorName(error.code) << " ("
            << RunStateName(error.run) << "): " << error.detail << "\n";
  return ExitCodeOf(error);
}

Error AfterEarlier(const Error& earlier, Error error) {
  if (earlier.run == RunState::kUnknown && error.run == RunState::kNotRun) {
    error.run = RunState::kUnknown;
  }
  return error;
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

HttpRequest CliContext::MakeRequest(const std::string& method,
                                    const std::string& path,
                                    const std::string& body,
                                    const std::string& bearer) const {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.deadline = Deadline();
  request.ca_file = ca_;
  request.headers["Authorization"] = "Bearer " + bearer;
  std::string name = Option("--operator", "USER");
  request.headers["X-Operator"] = name.empty() ? "operator" : name;
  return request;
}

Result<std::string> CliContext::Send(HttpRequest request) const {
  Error last_error{ErrorCode::kIo, "no host answered", RunState::kNotRun};
  for (const std::string& server : servers_) {
    request.server = server;
    const Result<HttpResponse> answer = SendHttpRequest(request);
    if (!answer) {
      last_error = AfterEarlier(last_error, answer.error());
      if (request.method == "POST" && last_error.run != RunState::kNotRun) {
        break;
      }
      continue;
    }
    if (answer->status >= 300) {
      return tl::unexpected<Error>(
          AfterEarlier(last_error, ErrorFromResponse(*answer)));
    }
    return answer->body;
  }
  return tl::unexpected<Error>(last_error);
}

Result<std::string> CliContext::SendOperatorRequest(
    const std::string& method, const std::string& path,
    const std::string& body) const {
  return Send(MakeRequest(method, path, body, token_));
}

Json::Value CliContext::Parse(const std::string& text) {
  // The text is wrapped in an object, because JsonDocument::Parse accepts only
  // objects and an answer may be a list.
  const auto json = JsonDocument::Parse("{\"value\":" + text + "}", "answer");
  return json ? json->root["value"] : Json::Value();
}

int CliContext::PrintOperatorAnswer(const std::string& method,
                                    const std::string& path,
                                    const std::string& body) const {
  const Result<std::string> answer = SendOperatorRequest(method, path, body);
  if (!answer) {
    return PrintError(answer.error());
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
