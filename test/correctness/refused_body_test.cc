// Tests that a caller whose request is refused before its body has been read
// gets to read the refusal, and that the rest of the body is not taken for
// further requests.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../fakes/raw_sockets.h"
#include "base/hash.h"
#include "entry/entry_context.h"
#include "entry/entry_server.h"

namespace sequoialb {
namespace {

using fakes::RawClient;

constexpr char kTwoHundred[] = "HTTP/1.1 200";

uint16_t FreePort() {
  return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
      .address()
      .port();
}

std::string Head(const std::string& target, size_t length) {
  return target +
         " HTTP/1.1\r\nHost: h1\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

// Sends all bytes, and returns false if the connection was closed before.
bool SendAll(RawClient& client, const std::string& bytes) {
  try {
    client.Send(bytes);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

class RefusedBodyTest : public ::testing::Test {
 protected:
  RefusedBodyTest() {
    settings_.host = "h1";
    settings_.failure_domain = "d1";
    settings_.data_folder =
        ::testing::TempDir() + "refused_body_" + std::to_string(::getpid());
    settings_.http = {"127.0.0.1", FreePort()};
    settings_.operator_token_sha256 = Sha256Hex("operator");
    settings_.backend_token_sha256 = Sha256Hex("backend");
    settings_.http_limits.read_timeout = milliseconds(2'000);
    settings_.hosts.push_back(HostEntry{
        "h1", "d1", {"127.0.0.1", FreePort()}, settings_.http, true, ""});
  }

  ~RefusedBodyTest() override {
    server_.reset();
    context_.reset();
    host_.reset();
    std::filesystem::remove_all(settings_.data_folder);
  }

  void Start() {
    auto host = Host::Start(settings_);
    ASSERT_TRUE(host) << host.error().detail;
    host_ = std::move(*host);
    context_ = std::make_unique<EntryContext>(*host_);
    auto server = EntryServer::Start(*context_);
    ASSERT_TRUE(server) << server.error().detail;
    server_ = std::move(*server);
  }

  Settings settings_;
  std::unique_ptr<Host> host_;
  std::unique_ptr<EntryContext> context_;
  std::unique_ptr<EntryServer> server_;
};

// Guards against a reset while a caller that writes its whole request first is
// still writing: it saw a broken pipe instead of the refusal (scenario
// leader-killed). The bodies are larger than the buffers of the connection.
TEST_F(RefusedBodyTest, ACallerThatWritesFirstReadsTheRefusal) {
  struct Case {
    std::string target;
    size_t length;
    std::string status;
  };
  const std::vector<Case> cases = {
      {"POST /v1/files", 24U << 20U, "401"},
      {"POST /v1/batches", 12U << 20U, "401"},
      {"POST /v1/models", 12U << 20U, "401"},
      {"POST /v1/chat/completions", 12U << 20U, "401"},
      {"POST /no/such/route", 12U << 20U, "404"},
      {"POST /v1/backends/announce", 12U << 20U, "401"},
      {"PUT /admin/v1/documents/desk", 12U << 20U, "401"},
      {"GET /healthz", 12U << 20U, "200"},
  };
  Start();
  for (const Case& c : cases) {
    SCOPED_TRACE(c.target);
    RawClient client(settings_.http);
    EXPECT_TRUE(SendAll(client, Head(c.target, c.length)));
    EXPECT_TRUE(SendAll(client, std::string(c.length, 'x')));
    EXPECT_EQ(client.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 " + c.status);
  }
}

TEST_F(RefusedBodyTest, ACallerReadsThatTheHostIsStopping) {
  Start();
  context_->gate.Close();
  RawClient client(settings_.http);
  EXPECT_TRUE(SendAll(client, Head("POST /v1/files", 12U << 20U)));
  EXPECT_TRUE(SendAll(client, std::string(12U << 20U, 'x')));
  EXPECT_EQ(client.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 503");
}

TEST_F(RefusedBodyTest, ACallerReadsThatItsBodyIsTooLarge) {
  Start();
  RawClient client(settings_.http);
  const std::string token = "Authorization: Bearer operator\r\n";
  std::string head = Head("PUT /admin/v1/documents/desk", 12U << 20U);
  head.insert(head.find("Host:"), token);
  EXPECT_TRUE(SendAll(client, head));
  EXPECT_TRUE(SendAll(client, std::string(12U << 20U, 'x')));
  EXPECT_EQ(client.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 413");
}

// Guards against the smuggling of requests: behind a proxy that shares its
// connections between callers, the body of one caller would be run as the
// request of another.
TEST_F(RefusedBodyTest, TheRestOfARefusedBodyIsNoRequest) {
  Start();
  RawClient client(settings_.http);
  const std::string body = "GET /healthz HTTP/1.1\r\nHost: h1\r\n\r\n";
  client.Send(Head("POST /v1/files", body.size()));
  EXPECT_EQ(client.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 401");
  client.ReadUntil("}");
  client.Send(body);
  client.Send("GET /metrics HTTP/1.1\r\nHost: h1\r\nConnection: close\r\n\r\n");
  const std::string rest = client.ReadAll();
  const size_t answer = rest.find(kTwoHundred);
  ASSERT_NE(answer, std::string::npos) << "the connection was closed";
  EXPECT_EQ(rest.find(kTwoHundred, answer + 1), std::string::npos);
  EXPECT_NE(rest.find("sequoialb_"), std::string::npos);
}

TEST_F(RefusedBodyTest, TheRestOfAChunkedBodyIsNoRequest) {
  Start();
  RawClient client(settings_.http);
  const std::string chunk = "GET /healthz HTTP/1.1\r\nHost: h1\r\n\r\n";
  client.Send(
      "POST /v1/files HTTP/1.1\r\nHost: h1\r\nTransfer-Encoding: chunked"
      "\r\n\r\n");
  EXPECT_EQ(client.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 401");
  client.ReadUntil("}");
  client.Send("23\r\n" + chunk + "\r\n0\r\n\r\n");
  EXPECT_EQ(client.ReadAll().find(kTwoHundred), std::string::npos);
}

// Guards against a caller that holds a thread of the host with a refused body
// that it never ends.
TEST_F(RefusedBodyTest, ARefusedBodyIsNotReadForever) {
  settings_.http_limits.read_timeout = milliseconds(200);
  Start();
  for (const bool silent : {true, false}) {
    RawClient client(settings_.http);
    client.Send(Head("POST /v1/files", 1U << 20U));
    EXPECT_EQ(client.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 401");
    client.ReadUntil("}");
    constexpr int kMaxBytes = 500;
    int sent = 0;
    while (!silent && sent < kMaxBytes && SendAll(client, "x")) {
      ++sent;
      std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_LT(sent, kMaxBytes);
    // An open connection ends the client's reading only after 10 s.
    const TimePoint begin = Clock::now();
    client.ReadAll();
    EXPECT_LT(Clock::now(), begin + seconds(9));
  }
}

}  // namespace
}  // namespace sequoialb
