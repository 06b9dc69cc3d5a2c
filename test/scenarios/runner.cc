// Runs one scenario, a text file with one command per line, against real
// processes. The commands are:
//
//   fleet hosts=4 domains=3 replicas=3      create and start hosts; with
//       [curve=yes] [tls=yes] [set.NAME=V]  encryption and further settings
//   engine e1 domain=d1 --slots=4           start a stand-in engine
//   service s1 domain=d1                    start a stand-in plain service
//   ready [HOST]                            wait until all hosts are ready
//   unready HOST                            wait until a host is not ready
//   document FILE [replace "A" "B"] base=N  apply a service document
//   race FILE base=N variants=M             M operators apply different texts
//   key give ACCOUNT as=K | key withdraw K
//   key-in-force K limit=SECONDS            wait until all running hosts
//                                           accept the key; fail after the
//                                           limit
//   ask K "prompt" [idem=X] [as=A]          send a prompt, check the answer
//   ask& K "prompt" as=A ... join A         the same in the background
//   plain K PATH "body" [idem=X]            call a plain service
//   plain& ... as=P ... plain-join P        the same in the background
//   raw K PATH "body" status=N [size=N]     send raw bytes, check the status
//   batch K items=N [tokens=T] [poison=P] [killers=Q] as=B
//   batch-wait B completed=N failed=M [state=S] [limit=SECONDS]
//   batch-cancel B | batch-resend B
//   failure B                               print one failed item of a batch
//   kill|stop|freeze|thaw|start|wipe|leave|die NAME
//   stop& NAME ... stopped                  stop in the background
//   cut NAME [from=h2,h3] [one-way=yes] | heal
//   replace HOST [with=HOST]                replace a replica (lost its disk)
//   voters N                                wait until the group has N voters
//   note-leader                             fix which host "leader" names
//   order SERVER MODEL                      repeat an order until answered
//   item A                                  compare A's stored result
//   in-force SERVICE version=N              wait until every running host has
//                                           this version
//   load K rate=R seconds=S as=L            send prompts in the background to
//                                           all hosts
//   load-join L [refused=any] [lost=any]    no answer may be wrong or lost
//   tally FIELD is|most|least N             compare the sum over the running
//       [server=NAME] [soon=yes]            backend servers; soon: wait for it
//   measure --OPTION... [at=HOST] [direct=yes]   run sequoialb-load
//   measure& ... measure-join               the same in the background
//   run WORD... [key=K] [code=N]            run the sequoialb command line
//   trace ID spans=N                        check the number of spans
//   traced K "prompt"                       send a prompt and print its trace
//   usage NAME seconds=N                    print the hosts' resource usage
//   metric NAME                             print the sum over all hosts
//   pause SECONDS | print TEXT
//
// Text in 'single quotes' is used literally.
//
// Options of every call: at=HOST (also at=leader, at=follower), expect=CODE
// ("ok" by default, "any" accepts all), run=not_run|ran|unknown. A host name
// may be "leader" or "follower". The scenario ends at the first line that
// fails, and the line number is printed.
#include <json/value.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "base/hash.h"
#include "client/arguments.h"
#include "client/caller_client.h"
#include "client/http_client.h"
#include "fleet.h"
#include "settings/json_fields.h"
#include "settings/settings.h"

namespace sequoialb::scenario {
namespace {

constexpr char kUsage[] = R"(Runs a scenario against real processes.

Usage:
  scenario_runner --programs=FOLDER --root=FOLDER [--work=FOLDER] [--keep] [--verbose] FILE
)";
constexpr seconds kLivenessTimeout{40};
constexpr milliseconds kPoll{50};

[[noreturn]] void Failed(const std::string& what) {
  throw std::runtime_error(what);
}

struct Line {
  std::vector<std::string> words;
  std::map<std::string, std::string> options;

  std::string Word(size_t i) const { return i < words.size() ? words[i] : ""; }
  std::string Option(const std::string& name,
                     const std::string& otherwise = "") const {
    const auto found = options.find(name);
    return found == options.end() ? otherwise : found->second;
  }
  int Number(const std::string& name, int otherwise) const {
    const std::string text = Option(name);
    return text.empty() ? otherwise : std::stoi(text);
  }
};

Line ParseLine(const std::string& text) {
  Line line;
  std::string word;
  bool quoted = false;
  bool was_quoted = false;
  const auto finish = [&] {
    const size_t equals = word.find('=');
    const bool option = !was_quoted && equals != std::string::npos &&
                        equals > 0 && word[0] != '-';
    if (option) {
      line.options[word.substr(0, equals)] = word.substr(equals + 1);
    } else if (!word.empty() || was_quoted) {
      line.words.push_back(word);
    }
    word.clear();
    was_quoted = false;
  };
  bool escaped = false;
  bool raw = false;
  for (const char c : text) {
    if (c == '\'' && !quoted && !escaped) {
      raw = !raw;
    } else if (raw || escaped) {
      word.push_back(c);
      escaped = false;
    } else if (c == '\\') {
      escaped = true;
    } else if (c == '"') {
      was_quoted = was_quoted || word.empty();
      quoted = !quoted;
    } else if (c == '#' && !quoted && word.empty()) {
      break;
    } else if (c == ' ' && !quoted) {
      finish();
    } else {
      word.push_back(c);
    }
  }
  finish();
  return line;
}

// Returns the answer that the stand-in engine gives to a prompt.
std::string ExpectedAnswer(const std::string& prompt, uint32_t default_tokens) {
  const std::string seen = "user: " + prompt + "\n";
  const size_t at = seen.find("TOKENS=");
  const uint32_t total =
      at == std::string::npos
          ? default_tokens
          : static_cast<uint32_t>(std::stoul(seen.substr(at + 7)));
  std::string answer;
  for (uint32_t i = 0; i < total; ++i) {
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "t%u-%04x ", i,
                  static_cast<unsigned>(Hash64(seen) & 0xFFFFU));
    answer += text.data();
  }
  return answer;
}

struct Batch {
  std::string id;
  std::string key;
  std::string lines;
  std::string idempotency_key;
  std::set<std::string> custom_ids;
};

struct ChatResult {
  Result<ChatOutcome> outcome =
      Fail(ErrorCode::kInternal, "the request was not sent");
  std::string prompt;
  std::string key;
};

struct LoadResult {
  std::atomic<int> complete{0};
  std::atomic<int> refused{0};
  std::atomic<int> lost{0};
  std::atomic<int> wrong{0};
  std::mutex mutex;
  std::map<std::string, int> reasons;
  std::vector<std::thread> threads;
};

class Runner {
 public:
  Runner(const std::string& programs, std::string root, const std::string& work)
      : fleet_(programs, work), root_(std::move(root)) {}

  void Run(const Line& line) {
    const std::string& verb = line.words.at(0);
    using Method = void (Runner::*)(const Line&);
    static const std::map<std::string, Method> kVerbs = {
        {"fleet", &Runner::MakeFleet},
        {"engine", &Runner::Engine},
        {"service", &Runner::Service},
        {"ready", &Runner::Ready},
        {"document", &Runner::Document},
        {"race", &Runner::Race},
        {"key", &Runner::Key},
        {"key-in-force", &Runner::KeyInForce},
        {"ask", &Runner::AskNow},
        {"ask&", &Runner::AskLater},
        {"join", &Runner::Join},
        {"plain", &Runner::Plain},
        {"plain&", &Runner::PlainLater},
        {"plain-join", &Runner::PlainJoin},
        {"batch", &Runner::SendBatch},
        {"batch-wait", &Runner::BatchWait},
        {"batch-cancel", &Runner::BatchCancel},
        {"batch-resend", &Runner::BatchResend},
        {"kill", &Runner::Signal},
        {"stop", &Runner::Signal},
        {"stop&", &Runner::Signal},
        {"stopped", &Runner::Stopped},
        {"freeze", &Runner::Signal},
        {"thaw", &Runner::Signal},
        {"start", &Runner::Signal},
        {"wipe", &Runner::Signal},
        {"leave", &Runner::PostToServer},
        {"die", &Runner::PostToServer},
        {"cut", &Runner::Cut},
        {"heal", &Runner::Heal},
        {"replace", &Runner::Replace},
        {"voters", &Runner::Voters},
        {"item", &Runner::Item},
        {"in-force", &Runner::InForce},
        {"load", &Runner::Load},
        {"load-join", &Runner::LoadJoin},
        {"tally", &Runner::Tally},
        {"pause", &Runner::Pause},
        {"print", &Runner::Print},
        {"order", &Runner::Order},
        {"unready", &Runner::Unready},
        {"trace", &Runner::Trace},
        {"note-leader", &Runner::NoteLeader},
        {"raw", &Runner::Raw},
        {"measure", &Runner::Measure},
        {"measure&", &Runner::Measure},
        {"measure-join", &Runner::MeasureJoin},
        {"usage", &Runner::Usage},
        {"metric", &Runner::Metric},
        {"run", &Runner::RunCommand},
        {"traced", &Runner::Traced},
        {"failure", &Runner::ShowFailure}};
    const auto found = kVerbs.find(verb);
    if (found == kVerbs.end()) {
      Failed("unknown verb " + verb);
    }
    (this->*found->second)(line);
  }

  void KillProcesses() { fleet_.KillAll(); }

 private:
  // ----- fleet

  void MakeFleet(const Line& line) {
    std::string extra;
    for (const auto& [name, value] : line.options) {
      if (name.rfind("set.", 0) == 0) {
        extra += "  \"" + name.substr(4) + "\": " + value + ",\n";
      }
    }
    fleet_.MakeHosts(line.Number("hosts", 4), line.Number("domains", 3),
                     line.Number("replicas", 3), extra,
                     line.Option("curve") == "yes",
                     line.Option("tls") == "yes");
    for (const std::string& host : fleet_.Hosts(false)) {
      fleet_.Start(host);
    }
  }

  void Engine(const Line& line) {
    const std::vector<std::string> options(line.words.begin() + 2,
                                           line.words.end());
    fleet_.AddEngine(line.Word(1), line.Option("domain", "d1"),
                     line.Option("service", "cart-desk"),
                     line.Option("models", "cart-7b"), options);
    fleet_.Start(line.Word(1));
  }

  void Service(const Line& line) {
    fleet_.AddService(line.Word(1), line.Option("domain", "d1"),
                      line.Option("service", "cart-desk"));
    fleet_.Start(line.Word(1));
  }

  void Ready(const Line& line) {
    const std::string only = line.Word(1);
    for (const std::string& host : fleet_.Hosts()) {
      if (only.empty() || Resolve(only) == host) {
        Eventually("host " + host + " is ready",
                   [&] { return Readiness(host) == 200; });
      }
    }
  }

  void Unready(const Line& line) {
    const std::string host = Resolve(line.Word(1));
    Eventually("host " + host + " reports that it is not ready",
               [&] { return Readiness(host) == 503; });
  }

  int Readiness(const std::string& host) {
    HttpRequest call;
    call.server = fleet_.At(host).http;
    call.path = "/readyz";
    call.deadline = Clock::now() + seconds(2);
    const auto answer = SendHttpRequest(call);
    return answer ? answer->status : 0;
  }

  void Signal(const Line& line) {
    const std::string& verb = line.words[0];
    const std::string name = Resolve(line.Word(1));
    if (verb == "kill") {
      fleet_.Kill(name);
    } else if (verb == "stop") {
      const int code = fleet_.Stop(name);
      if (code != 0) {
        Failed(name + " stopped with exit code " + std::to_string(code));
      }
    } else if (verb == "stop&") {
      stops_[name] = std::async(std::launch::async,
                                [this, name] { return fleet_.Stop(name); });
    } else if (verb == "freeze") {
      fleet_.Freeze(name);
    } else if (verb == "thaw") {
      fleet_.Thaw(name);
    } else if (verb == "wipe") {
      fleet_.Wipe(name);
    } else {
      fleet_.Start(name);
    }
  }

  void Stopped(const Line& line) {
    for (auto& [name, stop] : stops_) {
      const int code = stop.get();
      if (code != 0) {
        Failed(name + " stopped with exit code " + std::to_string(code));
      }
    }
    stops_.clear();
    (void)line;
  }

  void PostToServer(const Line& line) {
    HttpRequest call;
    call.method = "POST";
    call.server = fleet_.At(line.Word(1)).http;
    call.path = "/" + line.words[0];
    call.deadline = Clock::now() + seconds(5);
    // A server that crashes on "die" may do so before it has answered.
    if (!SendHttpRequest(call) && line.words[0] != "die") {
      Failed(line.Word(1) + " does not answer");
    }
  }

  // Partitions a host from others. With one-way=yes only the host itself drops
  // what it sends to them and receives from them; otherwise they drop it too.
  void Cut(const Line& line) {
    const std::string name = Resolve(line.Word(1));
    std::set<std::string> others;
    std::istringstream list(line.Option("from"));
    for (std::string part; std::getline(list, part, ',');) {
      others.insert(Resolve(part));
    }
    if (others.empty()) {
      const auto all = fleet_.Hosts(false);
      others.insert(all.begin(), all.end());
      others.erase(name);
    }
    const std::string domain = fleet_.At(name).domain;
    std::set<std::string> other_domains;
    for (const std::string& other : others) {
      if (fleet_.At(other).domain != domain) {
        other_domains.insert(fleet_.At(other).domain);
      }
    }
    SetCut(name, others, other_domains);
    if (line.Option("one-way") != "yes") {
      for (const std::string& other : others) {
        if (fleet_.At(other).pid > 0) {
          SetCut(other, {name}, {});
        }
      }
    }
  }

  void SetCut(const std::string& host, const std::set<std::string>& from,
              const std::set<std::string>& domains) {
    auto& cut = cuts_[host];
    cut.insert(from.begin(), from.end());
    Json::Value body;
    body["hosts"] = Json::Value(Json::arrayValue);
    for (const std::string& name : cut) {
      body["hosts"].append(name);
    }
    body["backend_domains"] = Json::Value(Json::arrayValue);
    for (const std::string& name : domains) {
      body["backend_domains"].append(name);
    }
    if (!Admin(host, "POST", "/admin/v1/test/cut", JsonLine(body))) {
      Failed("cannot partition " + host);
    }
  }

  void Heal(const Line& /*line*/) {
    cuts_.clear();
    for (const std::string& host : fleet_.Hosts()) {
      if (!Admin(host, "POST", "/admin/v1/test/cut",
                 R"({"hosts":[],"backend_domains":[]})")) {
        Failed("cannot end the partition of " + host);
      }
    }
  }

  // ----- operators

  Result<Json::Value> Admin(const std::string& host, const std::string& method,
                            const std::string& path, const std::string& body,
                            const std::string& author = "scenario") {
    HttpRequest call;
    call.server = fleet_.At(host).http;
    call.method = method;
    call.path = path;
    call.body = body;
    call.deadline = Clock::now() + seconds(8);
    call.headers["Authorization"] = "Bearer " + fleet_.token();
    call.headers["X-Operator"] = author;
    const auto answer = SendHttpRequest(call);
    if (!answer) {
      return tl::unexpected<Error>(answer.error());
    }
    if (answer->status >= 300) {
      return tl::unexpected<Error>(ErrorFromResponse(*answer));
    }
    const auto json =
        JsonDocument::Parse("{\"value\":" + answer->body + "}", "answer");
    return json ? json->root["value"] : Json::Value();
  }

  // Repeats an operator's call while its outcome is unknown or the host is
  // unreachable, as an operator would.
  Result<Json::Value> AdminUntilKnown(const std::string& host,
                                      const std::string& method,
                                      const std::string& path,
                                      const std::string& body) {
    const TimePoint limit = Clock::now() + kLivenessTimeout;
    while (true) {
      auto answer = Admin(host, method, path, body);
      const bool unknown =
          !answer && (answer.error().code == ErrorCode::kNoQuorum ||
                      answer.error().code == ErrorCode::kIo);
      if (!unknown || Clock::now() > limit) {
        return answer;
      }
      std::this_thread::sleep_for(kPoll);
    }
  }

  std::string DocumentText(const Line& line, size_t file_word) {
    const auto text = ReadFile(root_ + "/" + line.Word(file_word));
    if (!text) {
      Failed(text.error().detail);
    }
    std::string content = *text;
    if (line.Word(file_word + 1) == "replace") {
      const std::string& from = line.words.at(file_word + 2);
      const size_t at = content.find(from);
      if (at == std::string::npos) {
        Failed("the document does not contain " + from);
      }
      content.replace(at, from.size(), line.words.at(file_word + 3));
    }
    return content;
  }

  static std::string ServiceOf(const std::string& content) {
    const auto json = JsonDocument::Parse(content, "document");
    return json ? json->root["service"].asString() : "broken";
  }

  void Document(const Line& line) {
    const std::string content = DocumentText(line, 1);
    const auto answer =
        AdminUntilKnown(HostFor(line), "PUT",
                        "/admin/v1/documents/" + ServiceOf(content) +
                            "?base_version=" + line.Option("base", "0"),
                        content);
    Expect(line, answer);
    if (answer && !line.Option("version").empty() &&
        (*answer)["version"].asString() != line.Option("version")) {
      Failed("the document was installed as version " +
             (*answer)["version"].asString());
    }
  }

  // Several operators change the same version at once, each at another host.
  void Race(const Line& line) {
    const int variants = line.Number("variants", 4);
    const std::vector<std::string> hosts = fleet_.Hosts();
    std::vector<std::future<Result<Json::Value>>> answers;
    for (int i = 0; i < variants; ++i) {
      const std::string content =
          DocumentText(line, 1) + "\n// variant " + std::to_string(i) + "\n";
      const std::string host = hosts[static_cast<size_t>(i) % hosts.size()];
      answers.push_back(std::async(std::launch::async, [this, host, content,
                                                        &line] {
        return AdminUntilKnown(host, "PUT",
                               "/admin/v1/documents/" + ServiceOf(content) +
                                   "?base_version=" + line.Option("base", "0"),
                               content);
      }));
    }
    int winners = 0;
    for (auto& answer : answers) {
      const auto result = answer.get();
      winners += result ? 1 : 0;
      if (!result && result.error().code != ErrorCode::kVersionConflict) {
        Failed("a racing change failed: " + result.error().detail);
      }
    }
    if (winners != 1) {
      Failed(std::to_string(winners) +
             " racing changes were applied instead of one");
    }
  }

  void Key(const Line& line) {
    if (line.Word(1) == "give") {
      const auto answer =
          AdminUntilKnown(HostFor(line), "POST", "/admin/v1/keys",
                          "{\"account\":\"" + line.Word(2) + "\"}");
      Expect(line, answer);
      keys_[line.Option("as")] = (*answer)["key"].asString();
      key_ids_[line.Option("as")] = (*answer)["key_id"].asString();
      return;
    }
    Expect(line,
           AdminUntilKnown(HostFor(line), "DELETE",
                           "/admin/v1/keys/" + key_ids_.at(line.Word(2)), ""));
  }

  // Lists the models with the key on each host, which runs nothing. One limit
  // holds for all hosts.
  void KeyInForce(const Line& line) {
    const TimePoint until =
        Clock::now() + FromSeconds(std::stod(line.Option("limit")));
    for (const std::string& host : fleet_.Hosts()) {
      HttpRequest call;
      call.server = fleet_.At(host).http;
      call.path = "/v1/models";
      call.deadline = until;
      call.headers["Authorization"] = "Bearer " + keys_.at(line.Word(1));
      Eventually(
          "the key is in force on " + host,
          [&] {
            const auto answer = SendHttpRequest(call);
            return answer && answer->status == 200;
          },
          until - Clock::now());
    }
  }

  void Replace(const Line& line) {
    const std::string host = line.Word(1);
    const std::string with = line.Option("with");
    const std::string body =
        "{\"host\":\"" + host + "\"" +
        (with.empty() ? "" : ",\"with\":\"" + with + "\"") + "}";
    std::string refusals;
    const auto begun = [&] {
      refusals.clear();
      for (const std::string& at : fleet_.Hosts()) {
        const auto answer = Admin(at, "POST", "/admin/v1/replicas", body);
        if (answer) {
          return true;
        }
        refusals += at + ": " + answer.error().detail + "; ";
      }
      return false;
    };
    const TimePoint until = Clock::now() + kLivenessTimeout;
    while (!begun()) {
      if (Clock::now() > until) {
        Failed("the replacement of " + host + " does not begin: " + refusals);
      }
      std::this_thread::sleep_for(kPoll);
    }
  }

  // Waits until the group has this number of voters, and no learner or retiring
  // member.
  void Voters(const Line& line) {
    Eventually("the group has " + line.Word(1) + " voters", [&] {
      const auto status = Admin(HostFor(line), "GET", "/admin/v1/replicas", "");
      return status && (*status)["voters"].size() == std::stoul(line.Word(1)) &&
             (*status)["learners"].empty() && (*status)["retiring"].empty();
    });
  }

  void InForce(const Line& line) {
    const std::string service = line.Word(1);
    for (const std::string& host : fleet_.Hosts()) {
      Eventually(
          "version " + line.Option("version") + " is in force on " + host, [&] {
            const auto config = Admin(host, "GET", "/admin/v1/config", "");
            return config && (*config)["versions"][service].asString() ==
                                 line.Option("version");
          });
    }
  }

  void Order(const Line& line) {
    const std::string body = "{\"backend\":\"" + line.Word(1) +
                             "\",\"order\":{\"load\":\"" + line.Word(2) +
                             "\"}}";
    Eventually("an order to " + line.Word(1) + " is answered", [&] {
      for (const std::string& host : fleet_.Hosts()) {
        if (Admin(host, "POST", "/admin/v1/orders", body)) {
          return true;
        }
      }
      return false;
    });
  }

  void Trace(const Line& line) {
    size_t spans = 0;
    for (const std::string& host : fleet_.Hosts()) {
      const auto json =
          Admin(host, "GET", "/admin/v1/traces/" + line.Word(1), "");
      spans +=
          json ? (*json)["resourceSpans"][0]["scopeSpans"][0]["spans"].size()
               : 0;
    }
    if (spans < std::stoul(line.Option("spans", "3"))) {
      Failed("the trace has " + std::to_string(spans) + " spans");
    }
  }

  // ----- callers

  std::string LeaderName() {
    std::string leader;
    Eventually("a leader is known", [&] {
      for (const std::string& host : fleet_.Hosts()) {
        const auto status = Admin(host, "GET", "/admin/v1/status", "");
        if (status && (*status)["leads"].asBool() &&
            (*status)["fresh_ms"].asInt64() > 0) {
          leader = host;
          return true;
        }
      }
      return false;
    });
    return leader;
  }

  // From here on "leader" names the host that leads now.
  void NoteLeader(const Line& /*line*/) { noted_leader_ = LeaderName(); }

  std::string Resolve(const std::string& name) {
    if (name == "leader") {
      return noted_leader_.empty() ? LeaderName() : noted_leader_;
    }
    if (name == "follower") {
      const std::string leader = Resolve("leader");
      for (const std::string& host : fleet_.Hosts()) {
        if (host != leader) {
          return host;
        }
      }
    }
    return name;
  }

  std::string HostFor(const Line& line) {
    const std::string at = line.Option("at");
    if (!at.empty()) {
      return Resolve(at);
    }
    const std::vector<std::string> hosts = fleet_.Hosts();
    return hosts[next_host_++ % hosts.size()];
  }

  static void ExpectError(const Line& line, const Error* error) {
    const std::string wanted = line.Option("expect", "ok");
    const std::string seen =
        error == nullptr ? "ok" : std::string(ErrorName(error->code));
    if (wanted != "any" && seen != wanted) {
      Failed("expected " + wanted + ", got " + seen +
             (error == nullptr ? "" : ": " + error->detail));
    }
    const std::string run = line.Option("run");
    if (!run.empty() && error != nullptr && RunStateName(error->run) != run) {
      Failed("expected run=" + run + ", got " +
             std::string(RunStateName(error->run)) + ": " + error->detail);
    }
  }

  template <typename T>
  static void Expect(const Line& line, const Result<T>& result) {
    ExpectError(line, result ? nullptr : &result.error());
  }

  ChatResult SendChat(const Line& line, const std::string& host) {
    ChatOptions options;
    options.server = fleet_.At(host).http;
    options.key =
        keys_.count(line.Word(1)) > 0 ? keys_.at(line.Word(1)) : line.Word(1);
    options.model = line.Option("model", "cart-7b");
    options.prompt = line.Word(2);
    options.idempotency_key = line.Option("idem");
    options.deadline = Clock::now() + kLivenessTimeout;
    return ChatResult{StreamChatCompletion(options), options.prompt,
                      options.key};
  }

  void CheckChat(const Line& line, const ChatResult& result) {
    Expect(line, result.outcome);
    if (result.outcome &&
        result.outcome->text != ExpectedAnswer(result.prompt, 16)) {
      Failed("the answer is incomplete or wrong: " + result.outcome->text);
    }
  }

  void AskNow(const Line& line) {
    const ChatResult result = SendChat(line, HostFor(line));
    CheckChat(line, result);
    if (line.options.count("as") > 0) {
      asked_[line.Option("as")] = result;
    }
  }

  void AskLater(const Line& line) {
    const std::string host = HostFor(line);
    pending_[line.Option("as")] =
        std::async(std::launch::async,
                   [this, line, host] { return SendChat(line, host); });
  }

  void Join(const Line& line) {
    const std::string name = line.Word(1);
    asked_[name] = pending_.at(name).get();
    CheckChat(line, asked_[name]);
  }

  // Reads the stored result of an item with the key that its request used.
  void Item(const Line& line) {
    const ChatResult& asked = asked_.at(line.Word(1));
    HttpRequest call;
    call.path = "/v1/items/" +
                (asked.outcome ? asked.outcome->item_id : line.Option("id"));
    call.headers["Authorization"] = "Bearer " + asked.key;
    Eventually("the result of " + line.Word(1) + " can be read", [&] {
      call.server = fleet_.At(HostFor(line)).http;
      call.deadline = Clock::now() + seconds(5);
      const auto answer = SendHttpRequest(call);
      const auto json = answer && answer->status == 200
                            ? JsonDocument::Parse(answer->body, "answer")
                            : Result<JsonDocument>(Fail(ErrorCode::kIo, ""));
      if (!json || json->root["state"].asString() == "running") {
        return false;
      }
      const auto stored =
          JsonDocument::Parse(json->root["result"].asString(), "result");
      if (!stored ||
          stored->root["text"].asString() != ExpectedAnswer(asked.prompt, 16)) {
        Failed("the stored result differs");
      }
      return true;
    });
  }

  Result<int> DoPlain(const Line& line, const std::string& host) {
    HttpRequest call;
    call.method = "POST";
    call.server = fleet_.At(host).http;
    call.path = line.Word(2);
    call.body = line.Word(3);
    call.content_type = "text/plain";
    call.deadline = Clock::now() + kLivenessTimeout;
    if (line.Word(1) != "-") {
      call.headers["Authorization"] = "Bearer " + keys_.at(line.Word(1));
    }
    if (!line.Option("idem").empty()) {
      call.headers["Idempotency-Key"] = line.Option("idem");
    }
    const auto answer = SendHttpRequest(call);
    if (!answer) {
      return tl::unexpected<Error>(answer.error());
    }
    if (answer->status >= 300) {
      return tl::unexpected<Error>(ErrorFromResponse(*answer));
    }
    return answer->status;
  }

  void Plain(const Line& line) { Expect(line, DoPlain(line, HostFor(line))); }

  void PlainLater(const Line& line) {
    const std::string host = HostFor(line);
    plain_[line.Option("as")] = std::async(
        std::launch::async, [this, line, host] { return DoPlain(line, host); });
  }

  void PlainJoin(const Line& line) {
    Expect(line, plain_.at(line.Word(1)).get());
  }

  // Sends the body unchanged and checks the status of the answer:
  // raw KEY PATH "body" status=400 [size=BYTES of padding].
  void Raw(const Line& line) {
    HttpRequest call;
    call.method = "POST";
    call.server = fleet_.At(HostFor(line)).http;
    call.path = line.Word(2);
    call.body = line.Word(3) +
                std::string(static_cast<size_t>(line.Number("size", 0)), 'x');
    call.deadline = Clock::now() + kLivenessTimeout;
    if (keys_.count(line.Word(1)) > 0) {
      call.headers["Authorization"] = "Bearer " + keys_.at(line.Word(1));
    }
    const auto answer = SendHttpRequest(call);
    const int status = answer ? answer->status : 0;
    if (status != line.Number("status", 400)) {
      Failed("status " + std::to_string(status) +
             (answer ? ": " + answer->body : ""));
    }
  }

  // ----- batches

  void SendBatch(const Line& line) {
    Batch batch;
    const int items = line.Number("items", 10);
    const int poison = line.Number("poison", 0);
    const int killers = line.Number("killers", 0);
    for (int i = 0; i < items; ++i) {
      std::string prompt = "claim " + std::to_string(i) +
                           " TOKENS=" + line.Option("tokens", "4");
      if (i < poison) {
        prompt = "TOOLONG " + prompt;
      } else if (i < poison + killers) {
        prompt = "KILLSERVER " + prompt;
      }
      const std::string id = "c" + std::to_string(i);
      batch.custom_ids.insert(id);
      batch.lines +=
          R"({"custom_id":")" + id +
          R"(","method":"POST","url":"/v1/chat/completions","body":{"model":")" +
          line.Option("model", "cart-7b") +
          R"(","messages":[{"role":"user","content":")" + prompt + "\"}]}}\n";
    }
    batch.key = keys_.at(line.Word(1));
    batch.idempotency_key = line.Option("idem", "batch-" + line.Option("as"));
    const auto started = Start(batch, HostFor(line));
    Expect(line, started);
    batch.id = started ? *started : "";
    batches_[line.Option("as")] = batch;
  }

  Result<std::string> Start(const Batch& batch, const std::string& host) {
    const auto answer =
        StartBatch(fleet_.At(host).http, batch.key, batch.lines, "1h",
                   batch.idempotency_key, Clock::now() + kLivenessTimeout);
    if (!answer) {
      return tl::unexpected<Error>(answer.error());
    }
    return JsonDocument::Parse(*answer, "answer")->root["id"].asString();
  }

  // Sends the batch again with the same idempotency key. The answer must name
  // the same batch.
  void BatchResend(const Line& line) {
    const Batch& batch = batches_.at(line.Word(1));
    const auto again = Start(batch, HostFor(line));
    if (!again || *again != batch.id) {
      Failed("the repeated submission created another batch: " +
             (again ? *again : again.error().detail));
    }
  }

  Result<HttpResponse> CallBatch(const Batch& batch, const std::string& method,
                                 const std::string& path,
                                 const std::string& host) {
    HttpRequest call;
    call.server = fleet_.At(host).http;
    call.method = method;
    call.path = path;
    call.deadline = Clock::now() + seconds(10);
    call.headers["Authorization"] = "Bearer " + batch.key;
    return SendHttpRequest(call);
  }

  void BatchWait(const Line& line) {
    const Batch& batch = batches_.at(line.Word(1));
    const std::string state = line.Option("state", "completed");
    Json::Value seen;
    Eventually(
        "batch " + line.Word(1) + " is " + state,
        [&] {
          const auto answer =
              CallBatch(batch, "GET", "/v1/batches/" + batch.id, HostFor(line));
          if (answer && answer->status == 200) {
            seen = JsonDocument::Parse(answer->body, "answer")->root;
          }
          return seen["status"].asString() == state;
        },
        seconds(line.Number("limit", 120)));
    const Json::Value& counts = seen["request_counts"];
    if (line.options.count("completed") > 0 &&
        (counts["completed"].asInt() != line.Number("completed", 0) ||
         counts["failed"].asInt() != line.Number("failed", 0))) {
      Failed("counts are " + JsonLine(counts));
    }
    if (state == "completed") {
      CheckResults(line, batch);
    }
  }

  // Checks that the results contain every item exactly once.
  void CheckResults(const Line& line, const Batch& batch) {
    const auto content =
        CallBatch(batch, "GET", "/v1/files/output-" + batch.id + "/content",
                  HostFor(line));
    if (!content || content->status != 200) {
      Failed("cannot read the results of the batch");
    }
    std::set<std::string> returned;
    std::istringstream lines(content->body);
    for (std::string text; std::getline(lines, text);) {
      const auto json = JsonDocument::Parse(text, "result");
      const std::string id = json ? json->root["custom_id"].asString() : "";
      if (!returned.insert(id).second) {
        Failed("item " + id + " was returned twice");
      }
    }
    if (returned != batch.custom_ids) {
      Failed(std::to_string(returned.size()) + " of " +
             std::to_string(batch.custom_ids.size()) + " items were returned");
    }
  }

  void BatchCancel(const Line& line) {
    const Batch& batch = batches_.at(line.Word(1));
    const auto answer = CallBatch(
        batch, "POST", "/v1/batches/" + batch.id + "/cancel", HostFor(line));
    if (!answer || answer->status != 200) {
      Failed("the cancellation was refused");
    }
  }

  // ----- load

  void Load(const Line& line) {
    auto load = std::make_shared<LoadResult>();
    loads_[line.Option("as")] = load;
    const double rate = std::stod(line.Option("rate", "20"));
    const double length_s = std::stod(line.Option("seconds", "3"));
    const std::string key = keys_.at(line.Word(1));
    const std::string model = line.Option("model", "cart-7b");
    const std::string name = line.Option("as");
    const std::string at = line.Option("at");
    const std::vector<std::string> hosts =
        at.empty() ? fleet_.Hosts() : std::vector<std::string>{Resolve(at)};
    std::vector<std::string> servers;
    for (const std::string& host : hosts) {
      servers.push_back(fleet_.At(host).http);
    }
    const auto count = static_cast<int>(rate * length_s);
    const TimePoint start = Clock::now();
    for (int i = 0; i < count; ++i) {
      load->threads.emplace_back([=] {
        std::this_thread::sleep_until(start + FromSeconds(i / rate));
        ChatOptions options;
        options.server = servers[static_cast<size_t>(i) % servers.size()];
        options.key = key;
        options.model = model;
        options.prompt = name + " " + std::to_string(i) + " TOKENS=6";
        options.deadline = Clock::now() + kLivenessTimeout;
        RecordOutcome(*load, StreamChatCompletion(options), options.prompt);
      });
    }
  }

  static void RecordOutcome(LoadResult& load,
                            const Result<ChatOutcome>& outcome,
                            const std::string& prompt) {
    if (outcome) {
      ++(outcome->text == ExpectedAnswer(prompt, 16) ? load.complete
                                                     : load.wrong);
      return;
    }
    const Error& error = outcome.error();
    ++(error.run == RunState::kNotRun ? load.refused : load.lost);
    const std::lock_guard<std::mutex> lock(load.mutex);
    ++load.reasons[std::string(ErrorName(error.code)) + "/" +
                   std::string(RunStateName(error.run)) + ": " + error.detail];
  }

  void LoadJoin(const Line& line) {
    LoadResult& load = *loads_.at(line.Word(1));
    for (std::thread& thread : load.threads) {
      thread.join();
    }
    load.threads.clear();
    std::cout << "  load " << line.Word(1) << ": " << load.complete
              << " complete, " << load.refused << " refused as not run, "
              << load.lost << " lost, " << load.wrong << " wrong\n";
    for (const auto& [reason, times] : load.reasons) {
      std::cout << "    " << times << " x " << reason << "\n";
    }
    const bool refusals_allowed = line.Option("refused") == "any";
    const bool losses_allowed = line.Option("lost") == "any";
    if (load.wrong > 0 || (load.lost > 0 && !losses_allowed) ||
        (load.refused > 0 && !refusals_allowed)) {
      Failed("load " + line.Word(1) + " had wrong, lost or refused requests");
    }
  }

  // ----- other

  int64_t Sum(const std::string& field, const std::string& only) {
    int64_t sum = 0;
    for (const std::string& name : fleet_.BackendServers()) {
      if (!only.empty() && name != only) {
        continue;
      }
      HttpRequest call;
      call.server = fleet_.At(name).http;
      call.path = "/tally";
      call.deadline = Clock::now() + seconds(5);
      const auto answer = SendHttpRequest(call);
      if (answer) {
        sum +=
            JsonDocument::Parse(answer->body, "tally")->root[field].asInt64();
      }
    }
    return sum;
  }

  // tally FIELD OP N [server=NAME] [soon=yes]
  void Tally(const Line& line) {
    const auto holds = [&] {
      const int64_t sum = Sum(line.Word(1), line.Option("server"));
      const int64_t wanted = std::stoll(line.Word(3));
      const std::string op = line.Word(2);
      const bool held = (op == "is" && sum == wanted) ||
                        (op == "most" && sum <= wanted) ||
                        (op == "least" && sum >= wanted);
      if (!held && line.Option("soon") != "yes") {
        Failed(line.Word(1) + " is " + std::to_string(sum));
      }
      return held;
    };
    if (line.Option("soon") == "yes") {
      Eventually(
          "tally " + line.Word(1) + " " + line.Word(2) + " " + line.Word(3),
          holds);
    } else {
      holds();
    }
  }

  // Runs the load tool against all hosts with all keys. The words after the
  // verb are its options.
  void Measure(const Line& line) {
    std::string servers;
    const bool direct = line.Option("direct") == "yes";
    for (const std::string& name :
         direct ? fleet_.BackendServers() : fleet_.Hosts()) {
      const bool wanted =
          line.Option("at").empty() || Resolve(line.Option("at")) == name;
      if (wanted || direct) {
        servers += (servers.empty() ? "" : ",") + fleet_.At(name).http;
      }
    }
    std::string keys;
    for (const auto& [account, key] : keys_) {
      keys += (keys.empty() ? "" : ",") + account + "=" + key;
    }
    std::vector<std::string> options(line.words.begin() + 1, line.words.end());
    options.push_back("--servers=" + servers);
    options.push_back("--keys=" + keys);
    const std::string name = "load-" + std::to_string(measures_.size());
    measures_.push_back(name);
    fleet_.AddTool(name, "sequoialb-load", options);
    fleet_.Start(name);
    if (line.words[0] == "measure") {
      MeasureJoin(line);
    }
  }

  void MeasureJoin(const Line& /*line*/) {
    const std::string& name = measures_.back();
    if (fleet_.Wait(name) != 0) {
      Failed("the load tool failed: " + *ReadFile(fleet_.At(name).log));
    }
    std::cout << *ReadFile(fleet_.At(name).log) << std::flush;
  }

  // Runs the sequoialb command line with the fleet's hosts and operator token,
  // and copies its output.
  void RunCommand(const Line& line) {
    std::string servers;
    for (const std::string& host : fleet_.Hosts()) {
      servers += (servers.empty() ? "" : ",") + fleet_.At(host).http;
    }
    std::vector<std::string> words(line.words.begin() + 1, line.words.end());
    words.push_back("--server=" + servers);
    words.push_back("--token=" + fleet_.token());
    if (!line.Option("key").empty()) {
      words.push_back("--key=" + keys_.at(line.Option("key")));
    }
    const std::string name = "command-" + std::to_string(commands_++);
    fleet_.AddTool(name, "sequoialb", words);
    fleet_.Start(name);
    const int code = fleet_.Wait(name);
    std::istringstream printed(*ReadFile(fleet_.At(name).log));
    for (std::string text; std::getline(printed, text);) {
      std::cout << "  " << text << "\n";
    }
    std::cout << std::flush;
    if (code != line.Number("code", 0)) {
      Failed("exit code " + std::to_string(code));
    }
  }

  // Sends a request with a new trace id and prints the trace.
  void Traced(const Line& line) {
    const std::string trace_id = RandomHex(16);
    HttpRequest call;
    call.method = "POST";
    call.server = fleet_.At(HostFor(line)).http;
    call.path = "/v1/chat/completions";
    call.body = R"({"model":"cart-7b","messages":[{"role":"user","content":")" +
                line.Word(2) + "\"}]}";
    call.deadline = Clock::now() + kLivenessTimeout;
    call.headers["Authorization"] = "Bearer " + keys_.at(line.Word(1));
    call.headers["traceparent"] = "00-" + trace_id + "-00f067aa0ba902b7-01";
    const auto answer = SendHttpRequest(call);
    if (!answer || answer->status != 200) {
      Failed("the request was not answered with status 200");
    }
    Line command;
    command.words = {"run", "trace", trace_id};
    RunCommand(command);
  }

  // Prints one failed item of a batch.
  void ShowFailure(const Line& line) {
    const Batch& batch = batches_.at(line.Word(1));
    const auto content =
        CallBatch(batch, "GET", "/v1/files/output-" + batch.id + "/content",
                  HostFor(line));
    std::istringstream lines(content ? content->body : "");
    for (std::string text; std::getline(lines, text);) {
      if (text.find("\"error\":{") != std::string::npos) {
        std::cout << "  " << text << std::endl;
        return;
      }
    }
    Failed("the batch has no failed item");
  }

  // Prints the sum of a counter over all hosts.
  void Metric(const Line& line) {
    double sum = 0;
    for (const std::string& host : fleet_.Hosts()) {
      sum += MetricOf(host, line.Word(1));
    }
    std::cout << line.Word(1) << " " << sum << std::endl;
  }

  double MetricOf(const std::string& host, const std::string& metric) {
    HttpRequest call;
    call.server = fleet_.At(host).http;
    call.path = "/metrics";
    call.deadline = Clock::now() + seconds(5);
    const auto answer = SendHttpRequest(call);
    const std::string name = "\n" + metric + " ";
    const size_t at = answer ? answer->body.find(name) : std::string::npos;
    return at == std::string::npos
               ? 0
               : std::stod(answer->body.substr(at + name.size()));
  }

  // Prints the average and highest CPU time, memory and traffic of the hosts
  // over a period of time.
  void Usage(const Line& line) {
    const double span_s = std::stod(line.Option("seconds", "5"));
    std::map<std::string, HostUsage> before;
    for (const std::string& host : fleet_.Hosts()) {
      before[host] = UsageOf(host);
    }
    std::this_thread::sleep_for(FromSeconds(span_s));
    double cpu = 0;
    double memory = 0;
    double bytes = 0;
    double most_cpu = 0;
    double most_bytes = 0;
    for (const std::string& host : fleet_.Hosts()) {
      const HostUsage now = UsageOf(host);
      const double host_cpu = (now.cpu_s - before[host].cpu_s) / span_s;
      const double host_bytes =
          (now.sent_bytes - before[host].sent_bytes) / span_s;
      cpu += host_cpu;
      memory += now.memory_mb;
      bytes += host_bytes;
      most_cpu = std::max(most_cpu, host_cpu);
      most_bytes = std::max(most_bytes, host_bytes);
    }
    const auto hosts = static_cast<double>(fleet_.Hosts().size());
    std::cout << line.Word(1) << ": " << hosts << " hosts; per host: cpu "
              << 100 * cpu / hosts << "% (max " << 100 * most_cpu
              << "%), memory " << memory / hosts << " MB, sent "
              << bytes / hosts / 1000 << " KB/s (max " << most_bytes / 1000
              << ")" << std::endl;
  }

  struct HostUsage {
    double cpu_s = 0;
    double memory_mb = 0;
    double sent_bytes = 0;
  };

  HostUsage UsageOf(const std::string& host) {
    HostUsage usage;
    const std::string proc = "/proc/" + std::to_string(fleet_.At(host).pid);
    std::ifstream stat(proc + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values{std::istream_iterator<std::string>(fields),
                                    {}};
    constexpr size_t kUserTime = 11;
    constexpr size_t kResidentPages = 21;
    usage.cpu_s =
        (std::stod(values[kUserTime]) + std::stod(values[kUserTime + 1])) /
        static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.memory_mb = std::stod(values[kResidentPages]) *
                      static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    usage.sent_bytes = MetricOf(host, "sequoialb_peer_sent_bytes_total");
    return usage;
  }

  void Pause(const Line& line) {
    std::this_thread::sleep_for(FromSeconds(std::stod(line.Word(1))));
  }

  void Print(const Line& line) { std::cout << line.Word(1) << "\n"; }

  static void Eventually(const std::string& what,
                         const std::function<bool()>& holds,
                         Duration limit = kLivenessTimeout) {
    const TimePoint until = Clock::now() + limit;
    while (!holds()) {
      if (Clock::now() > until) {
        Failed("timed out waiting until " + what);
      }
      std::this_thread::sleep_for(kPoll);
    }
  }

  Fleet fleet_;
  std::string root_;
  size_t next_host_ = 0;
  std::string noted_leader_;
  std::map<std::string, std::string> keys_;
  std::map<std::string, std::string> key_ids_;
  std::map<std::string, ChatResult> asked_;
  std::map<std::string, std::future<ChatResult>> pending_;
  std::map<std::string, std::future<Result<int>>> plain_;
  std::map<std::string, std::future<int>> stops_;
  int commands_ = 0;
  std::vector<std::string> measures_;
  std::map<std::string, Batch> batches_;
  std::map<std::string, std::shared_ptr<LoadResult>> loads_;
  std::map<std::string, std::set<std::string>> cuts_;
};

int RunFile(const std::string& programs, const std::string& root,
            const std::string& work, const std::string& file, bool verbose) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": cannot be read\n";
    return 2;
  }
  auto runner = std::make_unique<Runner>(programs, root, work);
  int number = 0;
  for (std::string text; std::getline(in, text);) {
    ++number;
    const Line line = ParseLine(text);
    if (line.words.empty()) {
      continue;
    }
    if (verbose) {
      std::cout << number << ": " << text << std::endl;
    }
    try {
      runner->Run(line);
    } catch (const std::exception& e) {
      std::cout << "FAILED " << file << ":" << number << ": " << text << "\n  "
                << e.what() << std::endl;
      // Load threads may still be running, so they are not joined: only the
      // processes are killed before the runner exits.
      runner->KillProcesses();
      std::_Exit(1);
    }
  }
  std::cout << "passed " << file << std::endl;
  return 0;
}

}  // namespace
}  // namespace sequoialb::scenario

int main(int argc, char** argv) {
  const auto arguments =
      sequoialb::ParseArguments(sequoialb::scenario::kUsage, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const auto work_option = arguments.at("--work");
  const std::string work =
      work_option && work_option.isString()
          ? work_option.asString()
          : "/tmp/sequoialb-scenario-" + std::to_string(getpid());
  const int code = sequoialb::scenario::RunFile(
      arguments.at("--programs").asString(), arguments.at("--root").asString(),
      work, arguments.at("FILE").asString(),
      arguments.at("--verbose").asBool());
  if (code == 0 && !arguments.at("--keep").asBool()) {
    std::filesystem::remove_all(work);
  }
  return code;
}
