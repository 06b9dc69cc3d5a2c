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
      limits.idle_timeout = milliseconds(2'000);
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
          metrics_, resources_);
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
  // Without limits.
  std::shared_ptr<HttpResources> resources_ =
      std::make_shared<HttpResources>(BudgetLimits{});
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

// Guards against a time limit for a whole body: a client within the limits may
// be slow, as long as its body advances within each idle timeout.
TEST_F(HttpServerTest, ServesASlowBodyThatAdvances) {
  constexpr int kPieces = 6;
  const std::string piece(2'048, 'x');
  RawClient client(port_);
  client.Send(
      "POST /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(kPieces * piece.size()) + "\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    std::this_thread::sleep_for(milliseconds(500));
    client.Send(piece);
  }
  EXPECT_EQ(client.ReadAll().substr(0, 12), "HTTP/1.1 200");
}

// Guards against a client that keeps a request open with bytes that are not
// body: chunk extensions with one byte of body after each.
TEST_F(HttpServerTest, RefusesABodyThatHardlyAdvances) {
  RawClient client(port_);
  client.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "1;" + std::string(2'000, 'e') + "\r\nx\r\n";
  bool refused = false;
  for (int i = 0; i < 300 && !refused; ++i) {
    try {
      client.Send(chunk);
    } catch (const Poco::Exception&) {
      refused = true;
    }
    std::this_thread::sleep_for(milliseconds(50));
    refused |=
        metrics_.counter("sequoialb_http_without_progress_total").value() > 0;
  }
  EXPECT_TRUE(refused);
  EXPECT_TRUE(Targets().empty());
}

TEST_F(HttpServerTest, RefusesLengthsFarOverTheLimit) {
  for (const auto& [length, status] :
       std::vector<std::pair<std::string, std::string>>{
           {"9223372036854775808", "413"},
           {"18446744073709551615", "413"},
           {"18446744073709551616", "400"},
           {"-1", "400"}}) {
    RawClient client(port_);
    client.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + length +
                "\r\n\r\n");
    EXPECT_EQ(client.ReadAll().substr(9, 3), status) << length;
  }
  EXPECT_TRUE(Targets().empty());
}

// Guards against cutting the last response of a connection after the time that
// a closed connection lingers.
TEST_F(HttpServerTest, ASlowReaderGetsAllOfTheLastResponse) {
  RawClient slow(port_);
  slow.Send("GET /hold HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  while (Targets().empty()) {
  }
  const std::string body(32U << 20U, 'x');
  thread_.Run([&] { held_->Respond(200, {}, body); });
  std::this_thread::sleep_for(milliseconds(1'000));
  slow.ReadUntil("\r\n\r\n");
  size_t received = 0;
  for (std::string part = slow.ReadSome(); !part.empty();
       part = slow.ReadSome()) {
    received += part.size();
  }
  EXPECT_EQ(received, body.size());
}

// Guards against keeping the bytes that a slow caller has already taken for as
// long as others wait behind them: the output buffer of an endless response
// would grow without bound.
TEST_F(HttpServerTest, KeepsOnlyUnsentBytesForASlowReader) {
  // More than the kernel takes at once.
  constexpr size_t kUnsent = 8U << 20U;
  constexpr size_t kReceived = 64U << 20U;
  constexpr size_t kMaxHeld = 3 * kUnsent;
  const std::string piece(65'536, 'x');
  RawClient slow(port_);
  slow.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (Targets().empty()) {
  }
  thread_.Run([&] { held_->Start(200, {}, std::nullopt); });
  size_t most_held = 0;
  for (size_t received = 0; received < kReceived;) {
    thread_.Run([&] {
      while (held_->unsent() < kUnsent) {
        held_->Send(piece);
      }
      most_held = std::max(most_held, resources_->budget().bytes());
    });
    const std::string part = slow.ReadSome();
    ASSERT_FALSE(part.empty());
    received += part.size();
  }
  EXPECT_LE(most_held, kMaxHeld);
}

}  // namespace
}  // namespace sequoialb
