// Tests of the real programs sequoialbd and sequoialb against servers whose
// answers are malformed or cut: what their callers get, and whether it tells
// the truth about execution.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <mutex>

#include "../fakes/malformed_heads.h"
#include "../fakes/raw_sockets.h"
#include "../scenarios/fleet.h"
#include "base/hash.h"
#include "client/http_client.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

using fakes::RawServer;

constexpr seconds kWaitTimeout{30};
constexpr seconds kCallTimeout{15};

// Answers that are malformed or end early. Each would be an answer of its
// status if it were taken as it is.
std::vector<std::string> BrokenAnswers() {
  std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart",
      "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\npart",
      "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
      "HTTP/1.1 200 OK\r\nX: y",
  };
  for (const char* head : fakes::kMalformedHeads) {
    answers.push_back(std::string(head) + "Content-Length: 2\r\n\r\nok");
  }
  return answers;
}

// A server that gives each request the next of its answers, again from the
// first after the last, and then closes the connection.
class ScriptedServer : public RawServer {
 public:
  explicit ScriptedServer(std::vector<std::string> answers)
      : RawServer([this, answers = std::move(answers)](auto& socket, int) {
          if (!ReadRequest(socket).empty()) {
            const int number = requests++;
            Write(socket,
                  answers[static_cast<size_t>(number) % answers.size()]);
          }
        }) {}

  std::atomic<int> requests{0};
};

// One host with the cart-desk document and a key.
class ProgramAnswersTest : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ =
        std::filesystem::temp_directory_path() / ("programs_" + RandomHex(8));
    fleet_ =
        std::make_unique<scenario::Fleet>(SEQUOIALB_PROGRAMS, folder_.string());
    fleet_->MakeHosts(1, 1, 1, "", false, false);
    fleet_->Start("h1");
    WaitUntil([&] { return Send("GET", "/readyz", "", "").status == 200; });
    const std::string document =
        *ReadFile(SEQUOIALB_ROOT "/examples/cart-desk.json");
    WaitUntil([&] {
      return Send("PUT", "/admin/v1/documents/cart-desk?base_version=0",
                  document, fleet_->token())
                 .status == 200;
    });
    const HttpResponse given =
        Send("POST", "/admin/v1/keys", R"({"account":"outfitter-arda"})",
             fleet_->token());
    ASSERT_LT(given.status, 300) << given.body;
    key_ = JsonDocument::Parse(given.body, "key")->root["key"].asString();
    announcer_ = std::thread([this] { AnnounceRepeatedly(); });
  }

  void TearDown() override {
    stopping_ = true;
    if (announcer_.joinable()) {
      announcer_.join();
    }
    fleet_.reset();
    std::filesystem::remove_all(folder_);
  }

  static void WaitUntil(const std::function<bool()>& done) {
    const TimePoint limit = Clock::now() + kWaitTimeout;
    while (!done()) {
      ASSERT_LT(Clock::now(), limit);
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  // Returns status 0 when no whole answer has come.
  HttpResponse Send(const std::string& method, const std::string& path,
                    const std::string& body, const std::string& bearer) {
    HttpRequest request;
    request.method = method;
    request.server = fleet_->At("h1").http;
    request.path = path;
    request.body = body;
    request.deadline = Clock::now() + kCallTimeout;
    request.headers["Authorization"] = "Bearer " + bearer;
    const auto answer = SendHttpRequest(request);
    return answer ? *answer : HttpResponse{};
  }

  // The host knows the server when this returns.
  void Announce(const RawServer& server, const std::string& id, bool plain) {
    const std::string body =
        R"({"id":")" + id + R"(","address":")" + server.address().ToString() +
        R"(","service":"cart-desk","failure_domain":"d1","slots":4,)" +
        (plain ? R"("plain":true})" : R"("models":["cart-7b"]})");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      announced_[id] = body;
    }
    WaitUntil([&] {
      return Send("GET", "/admin/v1/backends", "", fleet_->token())
                 .body.find("\"" + id + "\"") != std::string::npos;
    });
  }

  // Runs sequoialb against two servers and returns its exit code.
  int RunTool(const RawServer& first, const RawServer& second,
              std::vector<std::string> arguments) {
    const std::string name = "tool" + std::to_string(tools_++);
    arguments.push_back("--server=" + first.address().ToString() + "," +
                        second.address().ToString());
    arguments.insert(arguments.end(), {"--token=t", "--key=k", "--timeout=5"});
    fleet_->AddTool(name, "sequoialb", arguments);
    fleet_->Start(name);
    return fleet_->Wait(name);
  }

  std::filesystem::path folder_;
  std::unique_ptr<scenario::Fleet> fleet_;
  std::string key_;

 private:
  void AnnounceRepeatedly() {
    while (!stopping_) {
      std::map<std::string, std::string> announced;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        announced = announced_;
      }
      for (const auto& [id, body] : announced) {
        Send("POST", "/v1/backends/announce", body, "");
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  std::mutex mutex_;
  std::map<std::string, std::string> announced_;
  std::atomic<bool> stopping_{false};
  std::thread announcer_;
  int tools_ = 0;
};

// The server got the request, so it may have run.
void ExpectUnknown(const HttpResponse& answer, const std::string& broken) {
  EXPECT_EQ(answer.status, 502) << broken << "\n" << answer.body;
  EXPECT_NE(answer.body.find("\"run\":\"unknown\""), std::string::npos)
      << broken << "\n"
      << answer.body;
}

// One server for each answer, because the host avoids a server that has failed
// for some time.
TEST_F(ProgramAnswersTest, ABrokenAnswerOfAPlainServiceReachesNoCaller) {
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (const std::string& broken : BrokenAnswers()) {
    servers.push_back(
        std::make_unique<ScriptedServer>(std::vector<std::string>{broken}));
    Announce(*servers.back(), "p" + std::to_string(servers.size()), true);
  }
  const auto has_request = [](const auto& server) {
    return server->requests > 0;
  };
  WaitUntil([&] {
    int before = 0;
    for (const auto& server : servers) {
      before += server->requests;
    }
    // A request that may be sent once.
    const HttpResponse answer = Send("POST", "/bookings/1", "b", key_);
    int sent = -before;
    for (const auto& server : servers) {
      sent += server->requests;
    }
    if (sent == 0) {
      EXPECT_NE(answer.body.find("\"run\":\"not_run\""), std::string::npos)
          << answer.body;
    } else {
      EXPECT_EQ(sent, 1);
      ExpectUnknown(answer, "");
    }
    return std::all_of(servers.begin(), servers.end(), has_request);
  });
}

// The order's id stays the same: another order is refused while the outcome of
// one is unknown.
TEST_F(ProgramAnswersTest, ABrokenAnswerToAnOrderReachesNoOperator) {
  const std::vector<std::string> answers = BrokenAnswers();
  ScriptedServer server(answers);
  Announce(server, "e1", false);
  for (size_t i = 0; i < answers.size(); ++i) {
    const HttpResponse answer =
        Send("POST", "/admin/v1/orders",
             R"({"backend":"e1","order_id":"o1","order":{"load":"x"}})",
             fleet_->token());
    ExpectUnknown(answer, answers[i]);
    EXPECT_EQ(server.requests, static_cast<int>(i + 1));
  }
}

// The first server runs a part of the request, so a refusal by the second does
// not mean that nothing ran.
TEST_F(ProgramAnswersTest, ARefusalAfterACutStreamDoesNotSayNotRun) {
  std::atomic<int> requests{0};
  RawServer server([&](Poco::Net::StreamSocket& socket, int) {
    if (RawServer::ReadRequest(socket).empty()) {
      return;
    }
    RawServer::Write(
        socket, requests++ == 0
                    ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n29\r\n"
                      "data: {\"choices\":[{\"delta\":{\"content\":\"a"
                    : "HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\nno");
  });
  Announce(server, "m1", false);
  const HttpResponse answer =
      Send("POST", "/v1/chat/completions",
           R"({"model":"cart-7b","messages":[{"role":"user","content":"q"}]})",
           key_);
  EXPECT_EQ(requests, 2);
  EXPECT_NE(answer.body.find("\"code\":\"item_failed\""), std::string::npos)
      << answer.body;
  EXPECT_NE(answer.body.find("\"run\":\"ran\""), std::string::npos)
      << answer.body;
}

constexpr int kExitDone = 0;
constexpr int kExitNotReached = 3;
constexpr int kExitUnknown = 4;
constexpr char kWhole[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

TEST_F(ProgramAnswersTest, TheCommandLineReportsBrokenAnswers) {
  for (const std::string& broken : BrokenAnswers()) {
    ScriptedServer server({broken});
    ScriptedServer other({broken});
    EXPECT_EQ(RunTool(server, other, {"batch", "results", "b"}), kExitUnknown)
        << broken;
    EXPECT_EQ(RunTool(server, other, {"ask", "q", "--model=m"}), kExitUnknown)
        << broken;
  }
}

// A read is repeated at the next host; what could take effect twice is not.
TEST_F(ProgramAnswersTest, TheCommandLineRepeatsOnlyWhatMayRunTwice) {
  ScriptedServer broken({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"});
  ScriptedServer whole({kWhole});
  EXPECT_EQ(RunTool(broken, whole, {"batch", "results", "b"}), kExitDone);
  EXPECT_EQ(whole.requests, 1);
  EXPECT_EQ(RunTool(broken, whole, {"key", "give", "a"}), kExitUnknown);
  EXPECT_EQ(RunTool(broken, whole, {"order", "e1", "{}"}), kExitUnknown);
  EXPECT_EQ(whole.requests, 1);
}

// The outcome stays unknown when a later host refuses or cannot be reached.
TEST_F(ProgramAnswersTest, TheCommandLineKeepsAnUnknownOutcome) {
  ScriptedServer broken({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"});
  ScriptedServer refusing(
      {"HTTP/1.1 503 Busy\r\nContent-Type: application/problem+json\r\n"
       "Content-Length: 64\r\n\r\n"
       R"({"code":"overloaded","detail":"no slot is free","run":"not_run"})"});
  EXPECT_EQ(RunTool(broken, refusing,
                    {"ask", "q", "--model=m", "--idempotency-key=i"}),
            kExitUnknown);
  EXPECT_EQ(refusing.requests, 1);
  EXPECT_EQ(RunTool(broken, refusing, {"key", "withdraw", "k1"}), kExitUnknown);
  EXPECT_EQ(refusing.requests, 2);
}

TEST_F(ProgramAnswersTest, TheCommandLineReportsHostsThatCannotBeReached) {
  uint16_t port = 0;
  {
    Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
    port = closed.address().port();
  }
  fleet_->AddTool("tool", "sequoialb",
                  {"status", "--server=127.0.0.1:" + std::to_string(port)});
  fleet_->Start("tool");
  EXPECT_EQ(fleet_->Wait("tool"), kExitNotReached);
  // Nothing ran at that host, so the next one is tried.
  ScriptedServer other({kWhole});
  fleet_->AddTool("ask", "sequoialb",
                  {"ask", "q", "--model=m", "--key=k",
                   "--server=127.0.0.1:" + std::to_string(port) + "," +
                       other.address().ToString()});
  fleet_->Start("ask");
  fleet_->Wait("ask");
  EXPECT_EQ(other.requests, 1);
}

}  // namespace
}  // namespace sequoialb
