#include "client/caller_commands.h"

#include <thread>

#include "base/hash.h"
#include "client/caller_client.h"
#include "settings/json_fields.h"
#include "settings/settings.h"

namespace sequoialb {
namespace {

class CallerCommands {
 public:
  explicit CallerCommands(const CliContext& context) : context_(context) {}

  int Run() { return context_.Flag("ask") ? SendPrompt() : Batch(); }

 private:
  int SendPrompt() const {
    ChatOptions options;
    options.key = context_.key();
    options.model = context_.Text("--model");
    options.prompt = context_.Text("PROMPT");
    options.idempotency_key = context_.Text("--idempotency-key");
    options.ca_file = context_.ca_file();
    options.deadline = context_.Deadline();
    Error last_error{ErrorCode::kIo, "no host answered", RunState::kNotRun};
    for (const std::string& server : context_.servers()) {
      options.server = server;
      bool text_received = false;
      const auto outcome =
          StreamChatCompletion(options, [&](const std::string& text) {
            text_received = true;
            if (!context_.json()) {
              std::cout << text << std::flush;
            }
          });
      if (outcome) {
        PrintOutcome(*outcome);
        return kExitDone;
      }
      last_error = AfterEarlier(last_error, outcome.error());
      // The next host is tried if this one did not run the request, or if an
      // idempotency key prevents a second run, but not once text has arrived.
      const bool may_retry =
          !text_received && (last_error.run == RunState::kNotRun ||
                             !options.idempotency_key.empty());
      if (!may_retry) {
        break;
      }
    }
    return PrintError(last_error);
  }

  void PrintOutcome(const ChatOutcome& outcome) const {
    if (!context_.json()) {
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
    if (context_.Flag("send")) {
      return SendBatch();
    }
    const std::string id = context_.Text("BATCH");
    if (context_.Flag("list")) {
      return SendAndPrint("GET", "/v1/batches");
    }
    if (context_.Flag("cancel")) {
      return SendAndPrint("POST", "/v1/batches/" + id + "/cancel");
    }
    if (context_.Flag("results")) {
      return SendAndPrint("GET", "/v1/files/output-" + id + "/content");
    }
    return SendAndPrint("GET", "/v1/batches/" + id);
  }

  int SendAndPrint(const std::string& method, const std::string& path) const {
    const auto answer =
        context_.Send(context_.MakeRequest(method, path, "", context_.key()));
    if (!answer) {
      return PrintError(answer.error());
    }
    std::cout << *answer
              << (!answer->empty() && answer->back() == '\n' ? "" : "\n");
    return kExitDone;
  }

  int SendBatch() const {
    const auto lines = ReadFile(context_.Text("FILE"));
    if (!lines) {
      std::cerr << "sequoialb: " << lines.error().detail << "\n";
      return kExitUsage;
    }
    // With an idempotency key, a retry on another host cannot start a second
    // batch.
    std::string idempotency_key = context_.Text("--idempotency-key");
    idempotency_key =
        idempotency_key.empty() ? "cli-" + RandomHex(12) : idempotency_key;
    Error last_error{ErrorCode::kIo, "no host answered", RunState::kNotRun};
    for (const std::string& server : context_.servers()) {
      const auto batch =
          StartBatch(server, context_.key(), *lines, context_.Text("--window"),
                     idempotency_key, context_.Deadline(), context_.ca_file());
      if (batch) {
        if (context_.Flag("--wait")) {
          return WaitForBatch(CliContext::Parse(*batch)["id"].asString());
        }
        std::cout << (context_.json()
                          ? *batch
                          : CliContext::Parse(*batch)["id"].asString())
                  << "\n";
        return kExitDone;
      }
      last_error = AfterEarlier(last_error, batch.error());
      if (last_error.code != ErrorCode::kIo &&
          last_error.run == RunState::kRan) {
        break;
      }
    }
    return PrintError(last_error);
  }

  int WaitForBatch(const std::string& id) const {
    constexpr milliseconds kPollInterval{300};
    while (true) {
      const auto answer = context_.Send(
          context_.MakeRequest("GET", "/v1/batches/" + id, "", context_.key()));
      if (!answer) {
        return PrintError(answer.error());
      }
      const Json::Value batch = CliContext::Parse(*answer);
      const Json::Value& counts = batch["request_counts"];
      if (!context_.json()) {
        std::cerr << "\r" << id << " " << batch["status"].asString() << ": "
                  << counts["completed"].asUInt() << " completed, "
                  << counts["failed"].asUInt() << " failed of "
                  << counts["total"].asUInt() << "   " << std::flush;
      }
      if (batch["status"].asString() != "in_progress") {
        std::cerr << (context_.json() ? "" : "\n");
        std::cout << (context_.json() ? *answer : id) << "\n";
        return batch["status"].asString() == "completed" ? kExitDone
                                                         : kExitRefused;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  const CliContext& context_;
};

}  // namespace

int RunCallerCommand(const CliContext& context) {
  return CallerCommands(context).Run();
}

}  // namespace sequoialb
