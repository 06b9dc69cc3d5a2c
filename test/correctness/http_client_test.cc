// Tests of calls to misbehaving backend servers: no byte of one response may
// end up in another, and a connection is reused only after a complete exchange
// with no surplus bytes.
#include "http/http_client.h"

#include <gtest/gtest.h>

#include "../fakes/raw_sockets.h"

namespace sequoialb {
namespace {

using fakes::EndlessServer;
using fakes::LoopThread;
using fakes::RawServer;

struct Outcome {
  int status = 0;
  std::string body;
  bool complete = false;
  std::optional<CallFailure> failure;
};

class HttpClientTest : public ::testing::Test {
 protected:
  void SetUp() override {
    thread_.Run([this] {
      client_ = std::make_unique<HttpClient>(thread_.loop(), metrics_);
    });
  }
  void TearDown() override {
    thread_.Run([this] { client_.reset(); });
  }

  Outcome Call(const Address& address, const std::string& id,
               const std::string& body = "") {
    Outcome outcome;
    std::promise<void> ended;
    std::unique_ptr<HttpCall> call;
    thread_.loop().Post([&] {
      CallOptions options;
      options.request = "POST /a HTTP/1.1\r\nHost: h\r\nId: " + id +
                        "\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body;
      options.request_id_header = "Id";
      options.request_id = id;
      options.max_idle = milliseconds(60'000);
      options.connect_deadline = thread_.loop().now() + milliseconds(2'000);
      options.may_send = may_send_;
      CallEvents events;
      events.on_head = [&](const ResponseHead& head) {
        outcome.status = head.status;
      };
      events.on_data = [&](std::string_view data) { outcome.body += data; };
      events.on_complete = [&] {
        outcome.complete = true;
        ended.set_value();
      };
      events.on_failure = [&](CallFailure failure) {
        outcome.failure = failure;
        ended.set_value();
      };
      call = client_->Start(address, std::move(options), std::move(events));
    });
    ended.get_future().wait();
    thread_.Run([&] { call.reset(); });
    return outcome;
  }

  uint64_t Opened() {
    return metrics_.counter("sequoialb_backend_connections_total").value();
  }

  std::function<bool()> may_send_;
  Metrics metrics_;
  LoopThread thread_;
  std::unique_ptr<HttpClient> client_;
};

std::string Answer(const std::string& id, const std::string& body,
                   const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string IdOf(const std::string& request) {
  const size_t at = request.find("Id: ") + 4;
  return request.substr(at, request.find('\r', at) - at);
}

// Responds to every request on a connection with `reply(id)`.
RawServer::Script Replies(
    std::function<std::string(const std::string&)> reply) {
  return [reply = std::move(reply)](Poco::Net::StreamSocket& socket, int) {
    while (true) {
      const std::string request = RawServer::ReadRequest(socket);
      if (request.empty()) {
        return;
      }
      RawServer::Write(socket, reply(IdOf(request)));
    }
  };
}

// Guards against a request that reaches a server which was evacuated while the
// client connected to it.
TEST_F(HttpClientTest, AsksBeforeItWritesToANewConnection) {
  std::promise<std::string> received;
  RawServer server([&](Poco::Net::StreamSocket& socket, int) {
    received.set_value(RawServer::ReadRequest(socket));
  });
  may_send_ = [] { return false; };
  const Outcome outcome = Call(server.address(), "a");
  ASSERT_TRUE(outcome.failure.has_value());
  EXPECT_EQ(*outcome.failure, CallFailure::kWithheld);
  EXPECT_TRUE(IsUnsent(*outcome.failure));
  EXPECT_EQ(received.get_future().get(), "");

  RawServer other(
      Replies([](const std::string& id) { return Answer(id, "for " + id); }));
  may_send_ = [] { return true; };
  EXPECT_EQ(Call(other.address(), "b").body, "for b");
  thread_.Run([&] { client_->CloseIdle(other.address()); });
}

TEST_F(HttpClientTest, ReusesAConnectionAfterACompleteExchange) {
  RawServer server(
      Replies([](const std::string& id) { return Answer(id, "for " + id); }));
  EXPECT_EQ(Call(server.address(), "a").body, "for a");
  EXPECT_EQ(Call(server.address(), "b").body, "for b");
  EXPECT_EQ(Opened(), 1U);
  thread_.Run([&] { client_->CloseIdle(server.address()); });
}

TEST_F(HttpClientTest, SkipsAnAnswerToAnotherRequest) {
  RawServer server(Replies([](const std::string& id) {
    return Answer("earlier", "not yours") + Answer(id, "for " + id);
  }));
  const Outcome outcome = Call(server.address(), "a");
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.body, "for a");
  // A connection that carried such a response is not reused.
  EXPECT_EQ(Call(server.address(), "b").body, "for b");
  EXPECT_EQ(Opened(), 2U);
}

TEST_F(HttpClientTest, DropsAConnectionWithBytesAfterTheAnswer) {
  RawServer server(Replies([](const std::string& id) {
    return Answer(id, "for " + id) + Answer(id, "again");
  }));
  EXPECT_EQ(Call(server.address(), "a").body, "for a");
  EXPECT_EQ(Call(server.address(), "b").body, "for b");
  EXPECT_EQ(Opened(), 2U);
}

TEST_F(HttpClientTest, HonoursConnectionClose) {
  RawServer server(Replies([](const std::string& id) {
    return Answer(id, "x", "Connection: close\r\n");
  }));
  Call(server.address(), "a");
  Call(server.address(), "b");
  EXPECT_EQ(Opened(), 2U);
}

TEST_F(HttpClientTest, AcceptsAnAnswerThatEndsWithItsConnection) {
  RawServer server([](Poco::Net::StreamSocket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
    socket.shutdownSend();
    char c = 0;
    socket.receiveBytes(&c, 1);
  });
  const Outcome outcome = Call(server.address(), "a");
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.body, "whole");
}

TEST_F(HttpClientTest, AResetAnswerIsNotComplete) {
  RawServer server([](Poco::Net::StreamSocket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart");
    socket.setLinger(true, 0);
  });
  const Outcome outcome = Call(server.address(), "a");
  EXPECT_FALSE(outcome.complete);
  EXPECT_EQ(outcome.failure, CallFailure::kBroken);
}

// A server that answers before it has read the request. The request is more
// than the sockets of both ends buffer, so that some of it is unsent when the
// answer ends.
class EarlyAnswerTest : public HttpClientTest {
 protected:
  static constexpr char kPart[] = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart";

  // `end` ends the connection after the answer.
  Outcome CallWithLongBody(
      const std::function<void(Poco::Net::StreamSocket&)>& end,
      const std::string& answer = kPart) {
    RawServer server([&](Poco::Net::StreamSocket& socket, int) {
      char head[512];
      socket.receiveBytes(head, sizeof(head));
      RawServer::Write(socket, answer);
      end(socket);
    });
    return Call(server.address(), "a", std::string(64U << 20U, 'x'));
  }

  static void Pause() { std::this_thread::sleep_for(milliseconds(30)); }
  static void Reset(Poco::Net::StreamSocket& socket) {
    socket.setLinger(true, 0);
  }
};

TEST_F(EarlyAnswerTest, IsBrokenWhenItsConnectionIsReset) {
  for (int i = 0; i < 10; ++i) {
    const Outcome outcome = CallWithLongBody([](auto& socket) {
      Pause();
      Reset(socket);
    });
    EXPECT_EQ(outcome.status, 200);
    EXPECT_EQ(outcome.failure, CallFailure::kBroken);
  }
}

// The process ends while nothing of the request is waiting in its socket: the
// kernel closes the connection and resets it when more arrives.
TEST_F(EarlyAnswerTest, IsBrokenWhenItsConnectionIsClosedAndThenReset) {
  for (int i = 0; i < 10; ++i) {
    const Outcome outcome = CallWithLongBody([](auto& socket) {
      socket.shutdownSend();
      Pause();
      Reset(socket);
    });
    EXPECT_EQ(outcome.failure, CallFailure::kBroken);
  }
}

TEST_F(EarlyAnswerTest, IsCompleteWhenTheServerReadsTheRequest) {
  const Outcome outcome = CallWithLongBody([](auto& socket) {
    socket.shutdownSend();
    std::vector<char> rest(1U << 20U);
    while (socket.receiveBytes(rest.data(), static_cast<int>(rest.size())) >
           0) {
    }
  });
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.body, "part");
}

// Its length shows that it is complete or cut, whatever becomes of the request.
TEST_F(EarlyAnswerTest, WithALengthEndsThere) {
  const auto reset = [](auto& socket) {
    Pause();
    Reset(socket);
  };
  EXPECT_TRUE(CallWithLongBody(reset, Answer("a", "whole")).complete);
  const std::string answer = Answer("a", "whole");
  EXPECT_EQ(
      CallWithLongBody(reset, answer.substr(0, answer.size() - 1)).failure,
      CallFailure::kBroken);
}

TEST_F(HttpClientTest, ATruncatedAnswerIsBroken) {
  for (const char* answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart",
        "HTTP/1.1 200 OK\r\nConten", ""}) {
    RawServer server([&](Poco::Net::StreamSocket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, answer);
    });
    const Outcome outcome = Call(server.address(), "a");
    EXPECT_EQ(outcome.failure, CallFailure::kBroken) << answer;
  }
}

// The connection has not ended, so nothing is known about the server's process.
TEST_F(HttpClientTest, AMalformedAnswerIsFaulty) {
  for (const char* answer :
       {"bytes that are no answer\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\npart"}) {
    RawServer server([&](Poco::Net::StreamSocket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, answer);
    });
    const Outcome outcome = Call(server.address(), "a");
    EXPECT_EQ(outcome.failure, CallFailure::kFaulty) << answer;
  }
}

// Guards against a server that stops inside the head of its answer and closes.
TEST_F(HttpClientTest, AnAnswerThatEndsInsideItsHeadIsBroken) {
  const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nServer: x\r\n\r\n";
  for (size_t size = 0; size < head.size(); ++size) {
    RawServer server([&](Poco::Net::StreamSocket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, head.substr(0, size));
    });
    const Outcome outcome = Call(server.address(), "a");
    EXPECT_EQ(outcome.failure, CallFailure::kBroken) << head.substr(0, size);
    EXPECT_EQ(outcome.status, 0);
  }
}

TEST_F(HttpClientTest, ClosesAfterAnAnswerThatCameBeforeTheBody) {
  // More than the sockets of both ends buffer. A body that they take whole
  // leaves nothing unsent, and the connection may be reused.
  const std::string large(128U << 20U, 'x');
  RawServer server([&](Poco::Net::StreamSocket& socket, int number) {
    if (number > 0) {
      const std::string request = RawServer::ReadRequest(socket);
      RawServer::Write(socket, Answer(IdOf(request), "second"));
      return;
    }
    char head[512];
    socket.receiveBytes(head, sizeof(head));
    RawServer::Write(socket, Answer("a", "early"));
    // Reads the rest of the request only now: no other request may follow it on
    // this connection.
    char rest[65536];
    std::string got;
    int size = 0;
    while ((size = socket.receiveBytes(rest, sizeof(rest))) > 0) {
      got.append(rest, static_cast<size_t>(size));
    }
    EXPECT_EQ(got.find("POST"), std::string::npos);
  });
  EXPECT_EQ(Call(server.address(), "a", large).body, "early");
  EXPECT_EQ(Call(server.address(), "b").body, "second");
  EXPECT_EQ(Opened(), 2U);
}

TEST_F(HttpClientTest, ReportsThatNoProcessListens) {
  uint16_t port = 0;
  {
    Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
    port = closed.address().port();
  }
  EXPECT_EQ(Call({"127.0.0.1", port}, "a").failure, CallFailure::kRefused);
}

// What the sockets of both ends may buffer of an endless answer, besides what
// the client has read.
constexpr size_t kSocketBuffers = 16U << 20U;

// Backend servers in trouble send bytes without end that are no answer. The
// client must close the connection after a bounded number of them.
class EndlessAnswerTest : public HttpClientTest {
 protected:
  void ExpectFaulty(const std::string& before, const std::string& piece) {
    EndlessServer server(before, piece);
    const Outcome outcome = Call(server.address(), "a");
    EXPECT_FALSE(outcome.complete);
    EXPECT_EQ(outcome.failure, CallFailure::kFaulty);
    EXPECT_LT(server.sent, kSocketBuffers);
  }
};

TEST_F(EndlessAnswerTest, AStatusLineWithoutEnd) {
  ExpectFaulty("HTTP/1.1 200 ", std::string(4'096, 'x'));
}

TEST_F(EndlessAnswerTest, AHeaderLineWithoutEnd) {
  ExpectFaulty("HTTP/1.1 200 OK\r\nX: ", std::string(4'096, 'x'));
}

TEST_F(EndlessAnswerTest, InformationalHeadsWithoutEnd) {
  ExpectFaulty("", "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST_F(EndlessAnswerTest, AChunkSizeWithoutEnd) {
  ExpectFaulty("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
               std::string(4'096, '0'));
}

TEST_F(EndlessAnswerTest, TrailersWithoutEnd) {
  ExpectFaulty(
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-Trailer: 1\r\n");
}

TEST_F(EndlessAnswerTest, TheBodyOfAnotherAnswerWithoutEnd) {
  ExpectFaulty("HTTP/1.1 200 OK\r\nId: earlier\r\n\r\n",
               std::string(4'096, 'x'));
}

TEST_F(EndlessAnswerTest, OtherAnswersWithoutEnd) {
  ExpectFaulty("",
               "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 1\r\n\r\nx");
}

TEST_F(EndlessAnswerTest, BytesAfterTheAnswerEndTheConnection) {
  EndlessServer server(Answer("a", "whole"), std::string(4'096, 'x'));
  const Outcome outcome = Call(server.address(), "a");
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.body, "whole");
  EXPECT_LT(server.sent, kSocketBuffers);
}

}  // namespace
}  // namespace sequoialb
