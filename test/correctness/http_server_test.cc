// Tests of the HTTP server with misbehaving callers: no bytes after a rejected
// head are parsed as a request, and callers that send incomplete heads do not
// delay others.
#include "http/http_server.h"

#include <gtest/gtest.h>

#include "../fakes/raw_sockets.h"

namespace sequoialb {
namespace {

using fakes::LoopThread;
using fakes::RawClient;

class HttpServerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    thread_.Run([this] {
      HttpServerLimits limits;
      limits.header_timeout = milliseconds(400);
      auto opened = HttpServer::Open(
          thread_.loop(), {"127.0.0.1", 0}, limits,
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            targets_.push_back(exchange->head().target);
            if (exchange->head().target == "/hold") {
              held_ = exchange;
              exchange->OnCallerDisconnect([this] { disconnected_ = true; });
              return;
            }
            exchange->Respond(200, {}, "body " + exchange->body());
          },
          metrics_);
      ASSERT_TRUE(opened.has_value()) << opened.error().detail;
      server_ = std::move(*opened);
    });
    port_ = server_->port();
  }
  void TearDown() override {
    thread_.Run([this] {
      held_.reset();
      server_.reset();
    });
  }

  std::vector<std::string> Targets() {
    std::vector<std::string> copy;
    thread_.Run([&] { copy = targets_; });
    return copy;
  }

  Metrics metrics_;
  LoopThread thread_;
  std::unique_ptr<HttpServer> server_;
  std::vector<std::string> targets_;
  std::shared_ptr<HttpExchange> held_;
  bool disconnected_ = false;
  uint16_t port_ = 0;
};

TEST_F(HttpServerTest, RejectsSmuggledRequests) {
  for (const char* fields :
       {"Content-Length: 4\r\nContent-Length: 60\r\n", "Content-Length: +4\r\n",
        "Content-Length : 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
    RawClient client(port_);
    client.Send(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + fields +
                "\r\nabcdGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = client.ReadAll();
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << fields;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << fields;
    EXPECT_EQ(answer.find("HTTP/1.1", 8), std::string::npos) << fields;
  }
  EXPECT_TRUE(Targets().empty());
}

TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  RawClient client(port_);
  client.Send(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
      "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\ntwo\r\n0\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string answers = client.ReadAll();
  const size_t one = answers.find("body one");
  const size_t two = answers.find("body two");
  ASSERT_NE(one, std::string::npos);
  ASSERT_NE(two, std::string::npos);
  EXPECT_LT(one, two);
  EXPECT_EQ(Targets(), (std::vector<std::string>{"/1", "/2", "/3"}));
}

TEST_F(HttpServerTest, ServesOtherCallersDespiteIncompleteHeads) {
  std::vector<std::unique_ptr<RawClient>> slow_clients;
  for (int i = 0; i < 300; ++i) {
    slow_clients.push_back(std::make_unique<RawClient>(port_));
    slow_clients.back()->Send("GET /half HTTP/1.1\r\nHost: h\r\nX: ");
  }
  RawClient client(port_);
  client.Send("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(client.ReadAll().substr(0, 12), "HTTP/1.1 200");
  // Each incomplete head gets a 408 response after the header timeout.
  EXPECT_EQ(slow_clients.front()->ReadAll().substr(0, 12), "HTTP/1.1 408");
  EXPECT_EQ(Targets(), (std::vector<std::string>{"/whole"}));
}

TEST_F(HttpServerTest, RefusesOversizedHeadsAndBodies) {
  RawClient head(port_);
  head.Send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(20'000, 'x'));
  EXPECT_EQ(head.ReadAll().substr(0, 12), "HTTP/1.1 431");
  RawClient body(port_);
  body.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
  EXPECT_EQ(body.ReadAll().substr(0, 12), "HTTP/1.1 413");
}

TEST_F(HttpServerTest, ReportsACallerDisconnect) {
  RawClient client(port_);
  client.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (Targets().empty()) {
  }
  client.Close();
  bool disconnected = false;
  while (!disconnected) {
    thread_.Run([&] { disconnected = disconnected_; });
  }
  thread_.Run([&] {
    EXPECT_TRUE(held_->ended());
    held_->Respond(200, {}, "to nobody");
  });
}

TEST_F(HttpServerTest, AnAbortedAnswerDoesNotLookComplete) {
  RawClient client(port_);
  client.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (Targets().empty()) {
  }
  thread_.Run([&] {
    held_->Start(200, {}, std::nullopt);
    held_->Send("part");
    held_->Abort();
  });
  EXPECT_EQ(client.ReadAll().find("0\r\n\r\n"), std::string::npos);
}

// Guards against a server that is closed between the check for requests and the
// arrival of another one.
TEST_F(HttpServerTest, ClosesOnlyWithoutARequestAndThenTakesNone) {
  RawClient busy(port_);
  RawClient kept(port_);
  kept.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  kept.ReadUntil("body ");
  busy.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (Targets().size() < 2) {
  }
  thread_.Run([&] {
    EXPECT_FALSE(server_->CloseIfIdle());
    held_->Respond(200, {}, "done");
  });
  EXPECT_NE(busy.ReadUntil("done").find("200"), std::string::npos);
  thread_.Run([&] { EXPECT_TRUE(server_->CloseIfIdle()); });
  try {
    kept.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  } catch (const Poco::Exception&) {
  }
  EXPECT_EQ(kept.ReadAll(), "");
  EXPECT_EQ(Targets().size(), 2U);
}

// An answer that a slow caller has not taken yet is not cut.
TEST_F(HttpServerTest, AnUnsentAnswerIsInProgress) {
  RawClient slow(port_);
  slow.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (Targets().empty()) {
  }
  const std::string body(32U << 20U, 'x');
  thread_.Run([&] {
    held_->Respond(200, {}, body);
    EXPECT_FALSE(server_->CloseIfIdle());
  });
  slow.ReadUntil("\r\n\r\n");
  size_t received = 0;
  while (received < body.size()) {
    const std::string part = slow.ReadSome();
    ASSERT_FALSE(part.empty());
    received += part.size();
  }
  bool closed = false;
  while (!closed) {
    thread_.Run([&] { closed = server_->CloseIfIdle(); });
  }
}

TEST_F(HttpServerTest, SendsConnectionCloseWhileDraining) {
  RawClient kept(port_);
  kept.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(kept.ReadUntil("body ").find("200"), std::string::npos);
  RawClient idle(port_);
  idle.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  idle.ReadUntil("body ");
  thread_.Run([&] { server_->Drain(thread_.loop().now() + seconds(60)); });
  kept.Send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(kept.ReadAll().find("Connection: close"), std::string::npos);
  // Idle connections are closed at the time given to Drain.
  thread_.Run([&] { server_->Drain(thread_.loop().now()); });
  EXPECT_EQ(idle.ReadAll(), "");
}

}  // namespace
}  // namespace sequoialb
