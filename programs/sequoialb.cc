// The command line of operators and callers.
#include <docopt.h>
#include <json/value.h>
#include <zmq.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

#include "base/hash.h"
#include "client/caller_client.h"
#include "client/http_client.h"
#include "document/service_document.h"
#include "settings/json_fields.h"
#include "settings/settings.h"

namespace {

using namespace sequoialb;  // NOLINT(google-build-using-namespace)
using Arguments = std::map<std::string, docopt::value>;

constexpr char kUsage[] = R"(Drives a sequoialb deployment.

Usage:
  sequoialb document (apply FILE | diff FILE) [--base=N] [options]
  sequoialb document check FILE
  sequoialb document (show | history) SERVICE [options]
  sequoialb document list [options]
  sequoialb key give ACCOUNT [options]
  sequoialb key withdraw KEY_ID [options]
  sequoialb key list [options]
  sequoialb status [options]
  sequoialb hosts [options]
  sequoialb backends [options]
  sequoialb replicas [options]
  sequoialb replica replace HOST [--with=HOST] [options]
  sequoialb order BACKEND JSON [options]
  sequoialb trace TRACE_ID [options]
  sequoialb log-level LEVEL [options]
  sequoialb ask PROMPT --model=NAME [--idempotency-key=TEXT] [options]
  sequoialb batch send FILE [--window=TIME] [--idempotency-key=TEXT] [--wait] [options]
  sequoialb batch (status | cancel | results) BATCH_ID [options]
  sequoialb batch list [options]
  sequoialb make-keys FOLDER
  sequoialb hash-token TOKEN
  sequoialb --version
  sequoialb --help

Options:
  --server=LIST           Hosts to ask, "IP:PORT" or "https://IP:PORT", comma
                          separated; default $SEQUOIALB_SERVER. The first that
                          answers is used; status and backends ask all.
  --token=TOKEN           Operator token; default $SEQUOIALB_TOKEN.
  --key=KEY               Caller's key; default $SEQUOIALB_KEY.
  --ca=FILE               Authority of the hosts' certificates.
  --operator=NAME         Name written into the history; default $USER.
  --timeout=S             Seconds to wait [default: 30].
  --json                  Machine-readable output.
  --base=N                Version that the change is based on; default: the
                          version in force when the command starts.
  --window=TIME           Completion window, such as 4h or 30m.
  --wait                  Wait for the end and show progress.

Exit codes: 0 done, 1 refused, 2 wrong usage or input file, 3 not reached,
4 outcome unknown, 5 version conflict.
)";
constexpr char kVersion[] = "sequoialb 0.1.0";

enum ExitCode : int {
  kExitDone = 0,
  kExitRefused = 1,
  kExitUsage = 2,
  kExitNotReached = 3,
  kExitUnknown = 4,
  kExitConflict = 5,
};

int ExitCodeOf(const Error& error) {
  if (error.code == ErrorCode::kVersionConflict) {
    return kExitConflict;
  }
  if (error.code == ErrorCode::kIo) {
    return kExitNotReached;
  }
  return error.run == RunState::kUnknown ? kExitUnknown : kExitRefused;
}

int Report(const Error& error) {
  std::cerr << "sequoialb: " << ErrorName(error.code) << " ("
            << RunStateName(error.run) << "): " << error.detail << "\n";
  return ExitCodeOf(error);
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

// Prints rows with aligned columns.
class Table {
 public:
  explicit Table(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
  }
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  void Print(std::ostream& out) const {
    std::vector<size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
      for (size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const auto& row : rows_) {
      for (size_t i = 0; i < row.size(); ++i) {
        const bool last = i + 1 == row.size();
        out << (last
                    ? row[i]
                    : row[i] + std::string(widths[i] + 2 - row[i].size(), ' '));
      }
      out << "\n";
    }
  }

 private:
  std::vector<std::vector<std::string>> rows_;
};

class CommandLine {
 public:
  explicit CommandLine(const Arguments& arguments)
      : arguments_(arguments),
        servers_(SplitList(Option("--server", "SEQUOIALB_SERVER"))),
        token_(Option("--token", "SEQUOIALB_TOKEN")),
        key_(Option("--key", "SEQUOIALB_KEY")),
        ca_(Option("--ca", "SEQUOIALB_CA")),
        json_(Flag("--json")) {}

  int Run() {
    if (Flag("make-keys")) {
      return MakeKeys();
    }
    if (Flag("hash-token")) {
      std::cout << Sha256Hex(Text("TOKEN")) << "\n";
      return kExitDone;
    }
    if (Flag("check")) {
      return CheckDocument();
    }
    if (servers_.empty()) {
      std::cerr << "sequoialb: name a host with --server or SEQUOIALB_SERVER\n";
      return kExitUsage;
    }
    if (Flag("document")) {
      return Document();
    }
    if (Flag("key")) {
      return Key();
    }
    if (Flag("status") && !Flag("batch")) {
      return ForAllHosts("/admin/v1/status");
    }
    if (Flag("hosts")) {
      return Hosts();
    }
    if (Flag("backends")) {
      return Backends();
    }
    if (Flag("replicas")) {
      return Show("GET", "/admin/v1/replicas", "");
    }
    if (Flag("replica")) {
      return ReplaceReplica();
    }
    if (Flag("order")) {
      return Order();
    }
    if (Flag("trace")) {
      return Trace();
    }
    if (Flag("log-level")) {
      Json::Value body;
      body["level"] = Text("LEVEL");
      return Show("POST", "/admin/v1/log_level", JsonLine(body));
    }
    if (Flag("ask")) {
      return AskQuestion();
    }
    return Batch();
  }

 private:
  bool Flag(const char* name) const {
    const auto found = arguments_.find(name);
    return found != arguments_.end() && found->second &&
           found->second.isBool() && found->second.asBool();
  }
  std::string Text(const char* name) const {
    const auto found = arguments_.find(name);
    return found != arguments_.end() && found->second &&
                   found->second.isString()
               ? found->second.asString()
               : "";
  }
  std::string Option(const char* name, const char* variable) const {
    const std::string given = Text(name);
    const char* from_environment = std::getenv(variable);
    return !given.empty() || from_environment == nullptr ? given
                                                         : from_environment;
  }
  TimePoint Deadline() const {
    return Clock::now() +
           FromSeconds(std::strtod(Text("--timeout").c_str(), nullptr));
  }

  HttpCall MakeCall(const std::string& method, const std::string& path,
                    const std::string& body, const std::string& bearer) const {
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
  Result<std::string> Send(HttpCall call) const {
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

  Result<std::string> Admin(const std::string& method, const std::string& path,
                            const std::string& body) const {
    return Send(MakeCall(method, path, body, token_));
  }

  static Json::Value Parse(const std::string& text) {
    // Lists are wrapped, because the checked parser takes objects only.
    const auto json = JsonDocument::Parse("{\"value\":" + text + "}", "answer");
    return json ? json->root["value"] : Json::Value();
  }

  int Show(const std::string& method, const std::string& path,
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

  int CheckDocument() const {
    const auto text = ReadFile(Text("FILE"));
    const auto document =
        text ? ParseServiceDocument(*text, Text("FILE"))
             : Result<ServiceDocument>(tl::unexpected<Error>(text.error()));
    if (!document) {
      std::cerr << "sequoialb: " << document.error().detail << "\n";
      return kExitUsage;
    }
    std::cout << Text("FILE") << ": the document of service "
              << document->service << " is valid: " << document->models.size()
              << " models, " << document->accounts.size()
              << " client accounts, " << document->routes.size() << " routes\n";
    return kExitDone;
  }

  int Document() const {
    if (Flag("list")) {
      return ListDocuments();
    }
    if (Flag("show")) {
      const auto answer =
          Admin("GET", "/admin/v1/documents/" + Text("SERVICE"), "");
      if (!answer) {
        return Report(answer.error());
      }
      std::cout << (json_ ? *answer : Parse(*answer)["content"].asString())
                << "\n";
      return kExitDone;
    }
    if (Flag("history")) {
      return History();
    }
    const auto text = ReadFile(Text("FILE"));
    if (!text) {
      std::cerr << "sequoialb: " << text.error().detail << "\n";
      return kExitUsage;
    }
    const auto document = ParseServiceDocument(*text, Text("FILE"));
    if (!document) {
      std::cerr << "sequoialb: " << document.error().detail << "\n";
      return kExitUsage;
    }
    return Flag("diff") ? Diff(document->service, *text)
                        : Apply(document->service, *text);
  }

  int ListDocuments() const {
    const auto answer = Admin("GET", "/admin/v1/documents", "");
    if (!answer) {
      return Report(answer.error());
    }
    if (json_) {
      std::cout << *answer << "\n";
      return kExitDone;
    }
    Table table({"SERVICE", "VERSION", "BY"});
    for (const Json::Value& entry : Parse(*answer)) {
      table.Add({entry["service"].asString(), entry["version"].asString(),
                 entry["author"].asString()});
    }
    table.Print(std::cout);
    return kExitDone;
  }

  int History() const {
    const auto answer =
        Admin("GET", "/admin/v1/documents/" + Text("SERVICE") + "/history", "");
    if (!answer) {
      return Report(answer.error());
    }
    if (json_) {
      std::cout << *answer << "\n";
      return kExitDone;
    }
    Table table({"VERSION", "CHANGED (UNIX S)", "BY", "BYTES"});
    for (const Json::Value& entry : Parse(*answer)) {
      table.Add({entry["version"].asString(),
                 std::to_string(entry["changed_unix_ms"].asInt64() / 1000),
                 entry["author"].asString(),
                 std::to_string(entry["content"].asString().size())});
    }
    table.Print(std::cout);
    return kExitDone;
  }

  Result<std::string> BaseVersion(const std::string& service) const {
    const std::string given = Text("--base");
    if (!given.empty()) {
      return given;
    }
    const auto answer = Admin("GET", "/admin/v1/documents/" + service, "");
    if (!answer && answer.error().code == ErrorCode::kNotFound) {
      return std::string("0");
    }
    return answer.map([](const std::string& text) {
      return Parse(text)["version"].asString();
    });
  }

  int Apply(const std::string& service, const std::string& text) const {
    const auto base = BaseVersion(service);
    if (!base) {
      return Report(base.error());
    }
    const auto answer = Admin(
        "PUT", "/admin/v1/documents/" + service + "?base_version=" + *base,
        text);
    if (!answer) {
      return Report(answer.error());
    }
    const Json::Value value = Parse(*answer);
    if (json_) {
      std::cout << *answer << "\n";
    } else {
      std::cout << service << " is at version " << value["version"].asString()
                << (value["repeated"].asBool() ? " (it was there already)" : "")
                << "\n";
    }
    return kExitDone;
  }

  int Diff(const std::string& service, const std::string& text) const {
    const auto answer = Admin("GET", "/admin/v1/documents/" + service, "");
    if (!answer) {
      return Report(answer.error());
    }
    PrintDifference(Parse(*answer)["content"].asString(), text);
    return kExitDone;
  }

  // Prints the lines that only one side has, in order.
  static void PrintDifference(const std::string& before,
                              const std::string& after) {
    std::map<std::string, int> balance;
    std::istringstream first(before);
    std::istringstream second(after);
    std::vector<std::string> old_lines;
    std::vector<std::string> new_lines;
    for (std::string line; std::getline(first, line);) {
      old_lines.push_back(line);
      ++balance[line];
    }
    for (std::string line; std::getline(second, line);) {
      new_lines.push_back(line);
      --balance[line];
    }
    for (const std::string& line : old_lines) {
      if (balance[line] > 0) {
        std::cout << "- " << line << "\n";
        --balance[line];
      }
    }
    for (const std::string& line : new_lines) {
      if (balance[line] < 0) {
        std::cout << "+ " << line << "\n";
        ++balance[line];
      }
    }
  }

  int Key() const {
    if (Flag("give")) {
      Json::Value body;
      body["account"] = Text("ACCOUNT");
      const auto answer = Admin("POST", "/admin/v1/keys", JsonLine(body));
      if (!answer) {
        return Report(answer.error());
      }
      const Json::Value value = Parse(*answer);
      if (json_) {
        std::cout << *answer << "\n";
      } else {
        std::cout << "key id  " << value["key_id"].asString() << "\nkey     "
                  << value["key"].asString()
                  << "\nThe key is shown this once; only its hash is stored.\n";
      }
      return kExitDone;
    }
    if (Flag("withdraw")) {
      return Show("DELETE", "/admin/v1/keys/" + Text("KEY_ID"), "");
    }
    const auto answer = Admin("GET", "/admin/v1/keys", "");
    if (!answer) {
      return Report(answer.error());
    }
    if (json_) {
      std::cout << *answer << "\n";
      return kExitDone;
    }
    Table table({"KEY ID", "CLIENT ACCOUNT", "STATE"});
    for (const Json::Value& entry : Parse(*answer)) {
      table.Add({entry["key_id"].asString(), entry["account"].asString(),
                 entry["withdrawn"].asBool() ? "withdrawn" : "valid"});
    }
    table.Print(std::cout);
    return kExitDone;
  }

  Result<Json::Value> AskHost(const std::string& server,
                              const std::string& path) const {
    HttpCall call = MakeCall("GET", path, "", token_);
    call.server = server;
    const auto answer = CallHttp(call);
    if (!answer) {
      return tl::unexpected<Error>(answer.error());
    }
    if (answer->status >= 300) {
      return tl::unexpected<Error>(ErrorFromAnswer(*answer));
    }
    return Parse(answer->body);
  }

  int ForAllHosts(const std::string& path) const {
    int code = kExitDone;
    for (const std::string& server : servers_) {
      const auto value = AskHost(server, path);
      if (!value) {
        code = Report(value.error());
        continue;
      }
      std::cout << JsonLine(*value) << "\n";
    }
    return code;
  }

  int Hosts() const {
    Table table({"HOST", "DOMAIN", "IN VIEW", "KEYS FRESH", "ROLES", "CONFIG",
                 "EPOCH"});
    int code = kExitDone;
    for (const std::string& server : servers_) {
      const auto value = AskHost(server, "/admin/v1/status");
      if (!value) {
        table.Add({server, "", "", "", "not reached", "", ""});
        code = kExitNotReached;
        continue;
      }
      std::string roles = "entry";
      roles += (*value)["replica"].asBool() ? ", replica" : "";
      roles += (*value)["leads"].asBool() ? ", leader" : "";
      roles += (*value)["dispatching"].asBool() ? ", dispatcher" : "";
      table.Add({(*value)["host"].asString(),
                 (*value)["failure_domain"].asString(),
                 (*value)["in_view"].asBool() ? "yes" : "no",
                 (*value)["fresh_ms"].asInt64() > 0 ? "yes" : "no", roles,
                 (*value)["config_index"].asString(),
                 (*value)["view_epoch"].asString()});
    }
    table.Print(std::cout);
    return code;
  }

  int Backends() const {
    Table table({"BACKEND SERVER", "SERVICE", "DOMAIN", "SLOTS", "ONLINE",
                 "BATCH", "STATE"});
    Json::Value all(Json::arrayValue);
    for (const std::string& server : servers_) {
      const auto value = AskHost(server, "/admin/v1/backends");
      if (!value) {
        continue;
      }
      for (const Json::Value& entry : *value) {
        all.append(entry);
        const std::string state = entry["leaving"].asBool() ? "leaving"
                                  : entry["silent_ms"].asInt64() > 1'500
                                      ? "silent"
                                  : entry["open_ms"].asInt64() > 0 ? "paused"
                                                                   : "serving";
        table.Add({entry["id"].asString(), entry["service"].asString(),
                   entry["failure_domain"].asString(),
                   entry["slots"].asString(), entry["online"].asString(),
                   entry["batch"].asString(), state});
      }
    }
    if (json_) {
      std::cout << JsonLine(all) << "\n";
    } else {
      table.Print(std::cout);
    }
    return kExitDone;
  }

  int ReplaceReplica() const {
    Json::Value body;
    body["host"] = Text("HOST");
    if (!Text("--with").empty()) {
      body["with"] = Text("--with");
    }
    return Show("POST", "/admin/v1/replicas", JsonLine(body));
  }

  // The dispatcher of the server's domain takes the order; others name nobody,
  // so each host is tried.
  int Order() const {
    const auto order = JsonDocument::Parse(Text("JSON"), "order");
    if (!order) {
      std::cerr << "sequoialb: " << order.error().detail << "\n";
      return kExitUsage;
    }
    Json::Value body;
    body["backend"] = Text("BACKEND");
    body["order_id"] = "order-" + RandomHex(6);
    body["order"] = order->root;
    Error last{ErrorCode::kIo, "no host answered", RunState::kNotRun};
    for (const std::string& server : servers_) {
      HttpCall call =
          MakeCall("POST", "/admin/v1/orders", JsonLine(body), token_);
      call.server = server;
      const auto answer = CallHttp(call);
      if (answer && answer->status < 300) {
        std::cout << answer->body << "\n";
        return kExitDone;
      }
      last = answer ? ErrorFromAnswer(*answer) : answer.error();
      if (answer && last.code != ErrorCode::kNotFound) {
        break;
      }
    }
    return Report(last);
  }

  int Trace() const {
    std::vector<Json::Value> spans;
    for (const std::string& server : servers_) {
      const auto value =
          AskHost(server, "/admin/v1/traces/" + Text("TRACE_ID"));
      if (!value) {
        continue;
      }
      const Json::Value& resource = (*value)["resourceSpans"][0];
      for (Json::Value span : resource["scopeSpans"][0]["spans"]) {
        span["host"] =
            resource["resource"]["attributes"][0]["value"]["stringValue"];
        spans.push_back(span);
      }
    }
    std::sort(spans.begin(), spans.end(), [](const auto& a, const auto& b) {
      return a["startTimeUnixNano"].asString() <
             b["startTimeUnixNano"].asString();
    });
    if (json_) {
      Json::Value list(Json::arrayValue);
      for (const Json::Value& span : spans) {
        list.append(span);
      }
      std::cout << JsonLine(list) << "\n";
      return kExitDone;
    }
    PrintSpans(spans);
    return spans.empty() ? kExitRefused : kExitDone;
  }

  static void PrintSpans(const std::vector<Json::Value>& spans) {
    if (spans.empty()) {
      std::cout << "no host has spans of this trace\n";
      return;
    }
    const int64_t start =
        std::stoll(spans.front()["startTimeUnixNano"].asString());
    Table table({"START MS", "TAKES MS", "HOST", "HOP", "DETAILS"});
    for (const Json::Value& span : spans) {
      const int64_t begin = std::stoll(span["startTimeUnixNano"].asString());
      const int64_t end = std::stoll(span["endTimeUnixNano"].asString());
      const auto ms = [](int64_t ns) {
        std::ostringstream out;
        out << std::fixed << std::setprecision(2)
            << static_cast<double>(ns) / 1e6;
        return out.str();
      };
      std::string details;
      for (const Json::Value& attribute : span["attributes"]) {
        details += attribute["key"].asString() + "=" +
                   attribute["value"]["stringValue"].asString() + " ";
      }
      table.Add({ms(begin - start), ms(end - begin), span["host"].asString(),
                 span["name"].asString(), details});
    }
    table.Print(std::cout);
  }

  int AskQuestion() const {
    AskOptions options;
    options.key = key_;
    options.model = Text("--model");
    options.prompt = Text("PROMPT");
    options.idempotency_key = Text("--idempotency-key");
    options.ca_file = ca_;
    options.deadline = Deadline();
    Error last{ErrorCode::kIo, "no host answered", RunState::kUnknown};
    for (const std::string& server : servers_) {
      options.server = server;
      bool begun = false;
      const auto outcome = Ask(options, [&](const std::string& text) {
        begun = true;
        if (!json_) {
          std::cout << text << std::flush;
        }
      });
      if (outcome) {
        PrintOutcome(*outcome);
        return kExitDone;
      }
      last = outcome.error();
      // Another host may serve what this one truly did not run.
      const bool may_repeat = !begun && (last.run == RunState::kNotRun ||
                                         !options.idempotency_key.empty());
      if (!may_repeat) {
        break;
      }
    }
    return Report(last);
  }

  void PrintOutcome(const AskOutcome& outcome) const {
    if (!json_) {
      std::cout << "\n";
      return;
    }
    Json::Value json;
    json["item"] = outcome.item_id;
    json["text"] = outcome.text;
    json["repeated"] = outcome.repeated;
    std::cout << JsonLine(json) << "\n";
  }

  int Batch() const {
    if (Flag("send")) {
      return SendBatch();
    }
    const std::string id = Text("BATCH_ID");
    if (Flag("list")) {
      return PrintCaller("GET", "/v1/batches");
    }
    if (Flag("cancel")) {
      return PrintCaller("POST", "/v1/batches/" + id + "/cancel");
    }
    if (Flag("results")) {
      return PrintCaller("GET", "/v1/files/output-" + id + "/content");
    }
    return PrintCaller("GET", "/v1/batches/" + id);
  }

  int PrintCaller(const std::string& method, const std::string& path) const {
    const auto answer = Send(MakeCall(method, path, "", key_));
    if (!answer) {
      return Report(answer.error());
    }
    std::cout << *answer
              << (!answer->empty() && answer->back() == '\n' ? "" : "\n");
    return kExitDone;
  }

  int SendBatch() const {
    const auto lines = ReadFile(Text("FILE"));
    if (!lines) {
      std::cerr << "sequoialb: " << lines.error().detail << "\n";
      return kExitUsage;
    }
    // A key of its own makes a repetition on another host harmless.
    std::string once = Text("--idempotency-key");
    once = once.empty() ? "cli-" + RandomHex(12) : once;
    Error last{ErrorCode::kIo, "no host answered", RunState::kUnknown};
    for (const std::string& server : servers_) {
      const auto batch = StartBatch(server, key_, *lines, Text("--window"),
                                    once, Deadline(), ca_);
      if (batch) {
        if (Flag("--wait")) {
          return WaitForBatch(Parse(*batch)["id"].asString());
        }
        std::cout << (json_ ? *batch : Parse(*batch)["id"].asString()) << "\n";
        return kExitDone;
      }
      last = batch.error();
      if (last.code != ErrorCode::kIo && last.run == RunState::kRan) {
        break;
      }
    }
    return Report(last);
  }

  int WaitForBatch(const std::string& id) const {
    constexpr milliseconds kPoll{300};
    while (true) {
      const auto answer = Send(MakeCall("GET", "/v1/batches/" + id, "", key_));
      if (!answer) {
        return Report(answer.error());
      }
      const Json::Value batch = Parse(*answer);
      const Json::Value& counts = batch["request_counts"];
      if (!json_) {
        std::cerr << "\r" << id << " " << batch["status"].asString() << ": "
                  << counts["completed"].asUInt() << " completed, "
                  << counts["failed"].asUInt() << " failed of "
                  << counts["total"].asUInt() << "   " << std::flush;
      }
      if (batch["status"].asString() != "in_progress") {
        std::cerr << (json_ ? "" : "\n");
        std::cout << (json_ ? *answer : id) << "\n";
        return batch["status"].asString() == "completed" ? kExitDone
                                                         : kExitRefused;
      }
      std::this_thread::sleep_for(kPoll);
    }
  }

  // Makes the keys of one host's links: a secret file and the public text.
  int MakeKeys() const {
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
      std::cerr << "sequoialb: this ZeroMQ has no CURVE support\n";
      return kExitRefused;
    }
    const std::string folder = Text("FOLDER");
    std::ofstream secret(folder + "/curve.secret");
    secret << secret_key.data() << "\n";
    std::ofstream open(folder + "/curve.public");
    open << public_key.data() << "\n";
    if (!secret || !open) {
      std::cerr << "sequoialb: cannot write into the folder " << folder << "\n";
      return kExitUsage;
    }
    std::cout << "curve_secret_key_file  " << folder << "/curve.secret\n"
              << "curve_public_key       " << public_key.data() << "\n";
    return kExitDone;
  }

  const Arguments& arguments_;
  std::vector<std::string> servers_;
  std::string token_;
  std::string key_;
  std::string ca_;
  bool json_;
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, kVersion);
  return CommandLine(arguments).Run();
}
