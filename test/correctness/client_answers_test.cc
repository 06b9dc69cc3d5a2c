// Tests of the HTTP client of the command line and of callers' programs: an
// answer that is malformed or cut is an error, and the error tells the truth
// about execution.
#include <gtest/gtest.h>

#include "../fakes/malformed_heads.h"
#include "../fakes/raw_sockets.h"
#include "client/http_client.h"

namespace sequoialb {
namespace {

using fakes::RawServer;

Result<HttpResponse> Post(
    const Address& address, const std::string& body = "",
    const std::function<void(std::string_view)>& on_bytes = nullptr) {
  HttpRequest request;
  request.method = "POST";
  request.server = address.ToString();
  request.path = "/x";
  request.body = body;
  request.deadline = Clock::now() + seconds(5);
  return SendHttpRequest(request, on_bytes);
}

void ExpectUnknown(const Result<HttpResponse>& answer,
                   const std::string& bytes) {
  ASSERT_FALSE(answer.has_value()) << bytes;
  EXPECT_EQ(answer.error().code, ErrorCode::kIo) << bytes;
  EXPECT_EQ(answer.error().run, RunState::kUnknown) << bytes;
}

TEST(ClientAnswersTest, ACutAnswerIsAnError) {
  for (const std::string whole :
       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 503 Busy\r\nContent-Length: 17\r\n\r\n{\"run\":\"not_run\"}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n"}) {
    for (size_t size = 0; size <= whole.size(); ++size) {
      RawServer server([&](Poco::Net::StreamSocket& socket, int) {
        RawServer::ReadRequest(socket);
        RawServer::Write(socket, whole.substr(0, size));
      });
      const auto answer = Post(server.address());
      if (size == whole.size()) {
        ASSERT_TRUE(answer.has_value()) << answer.error().detail;
        EXPECT_TRUE(answer->body == "body" || answer->status == 503);
      } else {
        ExpectUnknown(answer, whole.substr(0, size));
      }
    }
  }
}

TEST(ClientAnswersTest, ACutAnswerThatIsStreamedIsAnError) {
  RawServer server([](Poco::Net::StreamSocket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket,
                     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  });
  std::string received;
  const auto answer = Post(server.address(), "",
                           [&](std::string_view bytes) { received += bytes; });
  ExpectUnknown(answer, received);
  EXPECT_EQ(received, "part");
}

TEST(ClientAnswersTest, AMalformedHeadIsAnError) {
  for (const char* head : fakes::kMalformedHeads) {
    RawServer server([&](Poco::Net::StreamSocket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket,
                       std::string(head) + "Content-Length: 2\r\n\r\nok");
    });
    ExpectUnknown(Post(server.address()), head);
  }
}

TEST(ClientAnswersTest, APartBeforeAResetDuringTheRequestIsAnError) {
  RawServer server([](Poco::Net::StreamSocket& socket, int) {
    char head[64];
    socket.receiveBytes(head, sizeof(head));
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(milliseconds(30));
    socket.setLinger(true, 0);
  });
  ExpectUnknown(Post(server.address(), std::string(64U << 20U, 'x')), "part");
}

// A host refuses a body that is too large before it has read it, and may close
// its side of the connection before it resets it.
TEST(ClientAnswersTest, AnEarlyRefusalIsRead) {
  for (const bool closes : {false, true}) {
    RawServer server([closes](Poco::Net::StreamSocket& socket, int) {
      char head[64];
      socket.receiveBytes(head, sizeof(head));
      RawServer::Write(socket,
                       "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
      if (closes) {
        socket.shutdownSend();
      }
      std::this_thread::sleep_for(milliseconds(30));
      socket.setLinger(true, 0);
    });
    const auto answer = Post(server.address(), std::string(64U << 20U, 'x'));
    ASSERT_TRUE(answer.has_value()) << answer.error().detail;
    EXPECT_EQ(answer->status, 413);
  }
}

TEST(ClientAnswersTest, ARefusedConnectionHasRunNothing) {
  uint16_t port = 0;
  {
    Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
    port = closed.address().port();
  }
  const auto answer = Post({"127.0.0.1", port});
  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().run, RunState::kNotRun);
}

}  // namespace
}  // namespace sequoialb
