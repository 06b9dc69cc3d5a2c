#include "client/operator_commands.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <sstream>

#include "base/hash.h"
#include "document/service_document.h"
#include "settings/json_fields.h"
#include "settings/settings.h"

namespace sequoialb {
namespace {

class OperatorCommands {
 public:
  explicit OperatorCommands(const CliContext& context) : context_(context) {}

  int Run() {
    if (context_.Flag("document")) {
      return Document();
    }
    if (context_.Flag("key")) {
      return Key();
    }
    if (context_.Flag("status")) {
      return ForAllHosts("/admin/v1/status");
    }
    if (context_.Flag("hosts")) {
      return Hosts();
    }
    if (context_.Flag("backends")) {
      return Backends();
    }
    if (context_.Flag("replicas")) {
      return context_.PrintOperatorAnswer("GET", "/admin/v1/replicas", "");
    }
    if (context_.Flag("replica")) {
      return ReplaceReplica();
    }
    if (context_.Flag("order")) {
      return Order();
    }
    if (context_.Flag("trace")) {
      return Trace();
    }
    Json::Value body;
    body["level"] = context_.Text("LEVEL");
    return context_.PrintOperatorAnswer("POST", "/admin/v1/log_level",
                                        JsonLine(body));
  }

  int CheckDocument() const { return Check(); }

 private:
  int Check() const {
    const auto text = ReadFile(context_.Text("FILE"));
    const auto document =
        text ? ParseServiceDocument(*text, context_.Text("FILE"))
             : Result<ServiceDocument>(tl::unexpected<Error>(text.error()));
    if (!document) {
      std::cerr << "sequoialb: " << document.error().detail << "\n";
      return kExitUsage;
    }
    std::cout << context_.Text("FILE") << ": the document of service "
              << document->service << " is valid: " << document->models.size()
              << " models, " << document->accounts.size()
              << " client accounts, " << document->routes.size() << " routes\n";
    return kExitDone;
  }

  int Document() const {
    if (context_.Flag("list")) {
      return ListDocuments();
    }
    if (context_.Flag("show")) {
      const auto answer = context_.SendOperatorRequest(
          "GET", "/admin/v1/documents/" + context_.Text("SERVICE"), "");
      if (!answer) {
        return PrintError(answer.error());
      }
      std::cout << (context_.json()
                        ? *answer
                        : CliContext::Parse(*answer)["content"].asString())
                << "\n";
      return kExitDone;
    }
    if (context_.Flag("history")) {
      return History();
    }
    const auto text = ReadFile(context_.Text("FILE"));
    if (!text) {
      std::cerr << "sequoialb: " << text.error().detail << "\n";
      return kExitUsage;
    }
    const auto document = ParseServiceDocument(*text, context_.Text("FILE"));
    if (!document) {
      std::cerr << "sequoialb: " << document.error().detail << "\n";
      return kExitUsage;
    }
    return context_.Flag("diff") ? Diff(document->service, *text)
                                 : Apply(document->service, *text);
  }

  // Requests a list from a host and prints it as JSON with --json, or else as a
  // table with one row per entry.
  int PrintList(
      const std::string& path, Table table,
      const std::function<std::vector<std::string>(const Json::Value&)>& row)
      const {
    const auto answer = context_.SendOperatorRequest("GET", path, "");
    if (!answer) {
      return PrintError(answer.error());
    }
    if (context_.json()) {
      std::cout << *answer << "\n";
      return kExitDone;
    }
    for (const Json::Value& entry : CliContext::Parse(*answer)) {
      table.Add(row(entry));
    }
    table.Print(std::cout);
    return kExitDone;
  }

  int ListDocuments() const {
    return PrintList("/admin/v1/documents", Table({"SERVICE", "VERSION", "BY"}),
                     [](const Json::Value& entry) {
                       return std::vector<std::string>{
                           entry["service"].asString(),
                           entry["version"].asString(),
                           entry["author"].asString()};
                     });
  }

  int History() const {
    return PrintList(
        "/admin/v1/documents/" + context_.Text("SERVICE") + "/history",
        Table({"VERSION", "CHANGED (UNIX S)", "BY", "BYTES"}),
        [](const Json::Value& entry) {
          return std::vector<std::string>{
              entry["version"].asString(),
              std::to_string(entry["changed_unix_ms"].asInt64() / 1000),
              entry["author"].asString(),
              std::to_string(entry["content"].asString().size())};
        });
  }

  Result<std::string> BaseVersion(const std::string& service) const {
    const std::string given = context_.Text("--base");
    if (!given.empty()) {
      return given;
    }
    const auto answer = context_.SendOperatorRequest(
        "GET", "/admin/v1/documents/" + service, "");
    if (!answer && answer.error().code == ErrorCode::kNotFound) {
      return std::string("0");
    }
    return answer.map([](const std::string& text) {
      return CliContext::Parse(text)["version"].asString();
    });
  }

  int Apply(const std::string& service, const std::string& text) const {
    const auto base = BaseVersion(service);
    if (!base) {
      return PrintError(base.error());
    }
    const auto answer = context_.SendOperatorRequest(
        "PUT", "/admin/v1/documents/" + service + "?base_version=" + *base,
        text);
    if (!answer) {
      return PrintError(answer.error());
    }
    const Json::Value value = CliContext::Parse(*answer);
    if (context_.json()) {
      std::cout << *answer << "\n";
    } else {
      std::cout << service << " is at version " << value["version"].asString()
                << (value["repeated"].asBool() ? " (it was already installed)"
                                               : "")
                << "\n";
    }
    return kExitDone;
  }

  int Diff(const std::string& service, const std::string& text) const {
    const auto answer = context_.SendOperatorRequest(
        "GET", "/admin/v1/documents/" + service, "");
    if (!answer) {
      return PrintError(answer.error());
    }
    PrintDifference(CliContext::Parse(*answer)["content"].asString(), text);
    return kExitDone;
  }

  // Prints the lines that only `before` has, then those that only `after` has,
  // each in the order of its text. Moved lines are not reported.
  static void PrintDifference(const std::string& before,
                              const std::string& after) {
    // For each line, its count in `before` minus its count in `after`.
    std::map<std::string, int> unmatched;
    std::istringstream first(before);
    std::istringstream second(after);
    std::vector<std::string> old_lines;
    std::vector<std::string> new_lines;
    for (std::string line; std::getline(first, line);) {
      old_lines.push_back(line);
      ++unmatched[line];
    }
    for (std::string line; std::getline(second, line);) {
      new_lines.push_back(line);
      --unmatched[line];
    }
    for (const std::string& line : old_lines) {
      if (unmatched[line] > 0) {
        std::cout << "- " << line << "\n";
        --unmatched[line];
      }
    }
    for (const std::string& line : new_lines) {
      if (unmatched[line] < 0) {
        std::cout << "+ " << line << "\n";
        ++unmatched[line];
      }
    }
  }

  int Key() const {
    if (context_.Flag("give")) {
      Json::Value body;
      body["account"] = context_.Text("ACCOUNT");
      const auto answer = context_.SendOperatorRequest("POST", "/admin/v1/keys",
                                                       JsonLine(body));
      if (!answer) {
        return PrintError(answer.error());
      }
      const Json::Value value = CliContext::Parse(*answer);
      if (context_.json()) {
        std::cout << *answer << "\n";
      } else {
        std::cout << "key id  " << value["key_id"].asString() << "\nkey     "
                  << value["key"].asString()
                  << "\nThe key is shown only once; only its hash is stored.\n";
      }
      return kExitDone;
    }
    if (context_.Flag("withdraw")) {
      return context_.PrintOperatorAnswer(
          "DELETE", "/admin/v1/keys/" + context_.Text("KEYID"), "");
    }
    return PrintList(
        "/admin/v1/keys", Table({"KEY ID", "CLIENT ACCOUNT", "STATE"}),
        [](const Json::Value& entry) {
          return std::vector<std::string>{
              entry["key_id"].asString(), entry["account"].asString(),
              entry["withdrawn"].asBool() ? "withdrawn" : "valid"};
        });
  }

  Result<Json::Value> QueryHost(const std::string& server,
                                const std::string& path) const {
    HttpRequest request =
        context_.MakeRequest("GET", path, "", context_.token());
    request.server = server;
    const auto answer = SendHttpRequest(request);
    if (!answer) {
      return tl::unexpected<Error>(answer.error());
    }
    if (answer->status >= 300) {
      return tl::unexpected<Error>(ErrorFromResponse(*answer));
    }
    return CliContext::Parse(answer->body);
  }

  int ForAllHosts(const std::string& path) const {
    int code = kExitDone;
    for (const std::string& server : context_.servers()) {
      const auto value = QueryHost(server, path);
      if (!value) {
        code = PrintError(value.error());
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
    for (const std::string& server : context_.servers()) {
      const auto value = QueryHost(server, "/admin/v1/status");
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
    for (const std::string& server : context_.servers()) {
      const auto value = QueryHost(server, "/admin/v1/backends");
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
    if (context_.json()) {
      std::cout << JsonLine(all) << "\n";
    } else {
      table.Print(std::cout);
    }
    return kExitDone;
  }

  int ReplaceReplica() const {
    Json::Value body;
    body["host"] = context_.Text("HOST");
    if (!context_.Text("--with").empty()) {
      body["with"] = context_.Text("--with");
    }
    return context_.PrintOperatorAnswer("POST", "/admin/v1/replicas",
                                        JsonLine(body));
  }

  // Only the dispatcher of the backend server's failure domain accepts the
  // order. The other hosts answer kNotFound without naming it, so the hosts are
  // tried in turn.
  int Order() const {
    const auto order = JsonDocument::Parse(context_.Text("JSON"), "order");
    if (!order) {
      std::cerr << "sequoialb: " << order.error().detail << "\n";
      return kExitUsage;
    }
    Json::Value body;
    body["backend"] = context_.Text("BACKEND");
    body["order_id"] = "order-" + RandomHex(6);
    body["order"] = order->root;
    Error last_error{ErrorCode::kIo, "no host answered", RunState::kNotRun};
    for (const std::string& server : context_.servers()) {
      HttpRequest request = context_.MakeRequest(
          "POST", "/admin/v1/orders", JsonLine(body), context_.token());
      request.server = server;
      const auto answer = SendHttpRequest(request);
      if (answer && answer->status < 300) {
        std::cout << answer->body << "\n";
        return kExitDone;
      }
      last_error = answer ? ErrorFromResponse(*answer) : answer.error();
      const bool may_have_run = last_error.run != RunState::kNotRun;
      if (may_have_run || (answer && last_error.code != ErrorCode::kNotFound)) {
        break;
      }
    }
    return PrintError(last_error);
  }

  int Trace() const {
    std::vector<Json::Value> spans;
    for (const std::string& server : context_.servers()) {
      const auto value =
          QueryHost(server, "/admin/v1/traces/" + context_.Text("TRACE"));
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
    if (context_.json()) {
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

  const CliContext& context_;
};

}  // namespace

int RunOperatorCommand(const CliContext& context) {
  return OperatorCommands(context).Run();
}

int CheckDocumentFile(const CliContext& context) {
  return OperatorCommands(context).CheckDocument();
}

}  // namespace sequoialb
