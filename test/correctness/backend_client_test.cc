// Tests attempts at a backend server: answers without end, and which answers
// keep a connection.
#include "requests/backend_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>

#include "../fakes/malformed_heads.h"
#include "../fakes/raw_sockets.h"

namespace sequoialb {
namespace {

using fakes::EndlessServer;
using fakes::RawServer;

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class BackendClientTest : public ::testing::Test {
 protected:
  AttemptResult Run(const Address& address,
                    const BackendClient::StreamHandler& on_bytes = nullptr) {
    proto::Backend backend;
    backend.set_id("e1");
    backend.set_address(address.ToString());
    const auto lease = std::make_shared<SlotLease>("d", 1, backend);
    AttemptRequest request;
    request.path = "/v1/chat/completions";
    request.deadline = Clock::now() + seconds(3);
    return client_->Run(lease, request, on_bytes);
  }

  // Lets the threads of the server end.
  void CloseIdle() { client_ = nullptr; }

  std::unique_ptr<BackendClient> client_ = std::make_unique<BackendClient>();
};

TEST_F(BackendClientTest, ABodyWithoutEndIsBroken) {
  EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(4'096, 'x'));
  EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kBroken);
  EXPECT_LT(server.sent, EndlessServer::kMaxBytes);
}

TEST_F(BackendClientTest, ASlowBodyWithoutEndIsBrokenAtTheDeadline) {
  EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "x", milliseconds(20));
  const AttemptResult result = Run(server.address());
  EXPECT_EQ(result.outcome, AttemptOutcome::kBroken);
  EXPECT_EQ(result.detail, "the answer did not end before the deadline");
}

// Guards against an answer that ends early and reaches the caller as a whole
// one with an empty or short body.
TEST_F(BackendClientTest, AnAnswerThatEndsEarlyIsBroken) {
  for (const std::string whole :
       {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX: y\r\n"
        "Content-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"}) {
    for (size_t size = 0; size <= whole.size(); ++size) {
      RawServer server([&](Poco::Net::StreamSocket& socket, int) {
        RawServer::ReadRequest(socket);
        RawServer::Write(socket, whole.substr(0, size));
      });
      const AttemptResult result = Run(server.address());
      EXPECT_EQ(result.outcome, size == whole.size() ? AttemptOutcome::kComplete
                                                     : AttemptOutcome::kBroken)
          << whole.substr(0, size);
    }
  }
}

// Guards against an error whose body ends early and reaches the caller of a
// plain service as a whole one.
TEST_F(BackendClientTest, AnErrorThatEndsEarlyIsBroken) {
  const std::vector<std::pair<std::string, AttemptOutcome>> statuses = {
      {"404 Not Found", AttemptOutcome::kRejected},
      {"500 Failed", AttemptOutcome::kServerError}};
  for (const auto& [status, outcome] : statuses) {
    const std::string whole =
        "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody";
    for (size_t size = whole.size() - 4; size <= whole.size(); ++size) {
      RawServer server([&](Poco::Net::StreamSocket& socket, int) {
        RawServer::ReadRequest(socket);
        RawServer::Write(socket, whole.substr(0, size));
      });
      EXPECT_EQ(Run(server.address()).outcome,
                size == whole.size() ? outcome : AttemptOutcome::kBroken)
          << whole.substr(0, size);
    }
  }
}

TEST_F(BackendClientTest, AMalformedHeadIsBroken) {
  for (const char* head : fakes::kMalformedHeads) {
    RawServer server([&](Poco::Net::StreamSocket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket,
                       std::string(head) + "Content-Length: 2\r\n\r\n{}");
    });
    EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kBroken) << head;
  }
}

TEST_F(BackendClientTest, HeaderFieldsWithoutEndAreBroken) {
  EndlessServer server("HTTP/1.1 200 OK\r\n", "X: y\r\n");
  EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kBroken);
  EXPECT_LT(server.sent, EndlessServer::kMaxBytes);
}

TEST_F(BackendClientTest, ASlowHeadIsBrokenAtTheDeadline) {
  EndlessServer server("HTTP/1.1 200 OK\r\nX: ", "y", milliseconds(20));
  const AttemptResult result = Run(server.address());
  EXPECT_EQ(result.outcome, AttemptOutcome::kBroken);
  EXPECT_EQ(result.detail, "the answer did not end before the deadline");
}

// The stream's content is complete, but its chunked body goes on.
TEST_F(BackendClientTest, BytesAfterACompleteStreamDoNotHoldTheCaller) {
  EndlessServer server(std::string(kChunkedHead) + "3\r\nend\r\n",
                       "3\r\nxxx\r\n");
  const AttemptResult result =
      Run(server.address(), [](std::string_view bytes, bool& /*broken*/) {
        return bytes.find("end") == std::string_view::npos;
      });
  EXPECT_EQ(result.outcome, AttemptOutcome::kComplete);
  EXPECT_LT(server.sent, EndlessServer::kMaxBytes);
}

// Returns a whole answer that names the attempt of the request.
std::string NamedAnswer(const std::string& request, const std::string& body) {
  const std::string field = std::string(kAttemptHeader) + ": ";
  const size_t begin = request.find(field);
  const std::string id =
      begin == std::string::npos
          ? ""
          : request.substr(begin, request.find("\r\n", begin) - begin);
  return "HTTP/1.1 200 OK\r\n" + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST_F(BackendClientTest, AServerThatNamesItsAnswersKeepsItsConnection) {
  std::atomic<int> connections{0};
  RawServer server([&](Poco::Net::StreamSocket& socket, int) {
    ++connections;
    for (std::string request = RawServer::ReadRequest(socket); !request.empty();
         request = RawServer::ReadRequest(socket)) {
      RawServer::Write(socket, NamedAnswer(request, "{}"));
    }
  });
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kComplete);
  }
  EXPECT_EQ(connections, 1);
  CloseIdle();
}

TEST_F(BackendClientTest, AServerThatNamesNoAnswersGetsAConnectionForEach) {
  std::atomic<int> connections{0};
  RawServer server([&](Poco::Net::StreamSocket& socket, int) {
    ++connections;
    while (!RawServer::ReadRequest(socket).empty()) {
      RawServer::Write(socket,
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
  });
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kComplete);
  }
  EXPECT_EQ(connections, 20);
}

// Guards against a late second answer that is taken for that of the next
// request of a server that names its answers.
TEST_F(BackendClientTest, AnAnswerThatNamesAnotherRequestIsDiscarded) {
  std::atomic<int> connections{0};
  RawServer server([&](Poco::Net::StreamSocket& socket, int) {
    ++connections;
    std::string late;
    for (std::string request = RawServer::ReadRequest(socket); !request.empty();
         request = RawServer::ReadRequest(socket)) {
      RawServer::Write(socket, late + NamedAnswer(request, "right"));
      late = NamedAnswer(request, "late");
    }
  });
  for (int i = 0; i < 6; ++i) {
    const AttemptResult result = Run(server.address());
    EXPECT_EQ(result.outcome, AttemptOutcome::kComplete) << result.detail;
    EXPECT_EQ(result.body, "right");
  }
  // A connection ends with the first answer that names another request.
  EXPECT_EQ(connections, 3);
  CloseIdle();
}

TEST_F(BackendClientTest, AnAnswerWithoutANameOnAKeptConnectionIsBroken) {
  RawServer server([&](Poco::Net::StreamSocket& socket, int) {
    RawServer::Write(socket,
                     NamedAnswer(RawServer::ReadRequest(socket), "first"));
    RawServer::ReadRequest(socket);
    RawServer::Write(socket,
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
  });
  EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kComplete);
  const AttemptResult result = Run(server.address());
  EXPECT_EQ(result.outcome, AttemptOutcome::kBroken);
  EXPECT_EQ(result.detail, "the answer on a kept connection names no request");
}

// The server answers other requests until it is stopped.
TEST_F(BackendClientTest, AnswersToOtherRequestsWithoutEndAreBroken) {
  EndlessServer server("", "HTTP/1.1 200 OK\r\n" + std::string(kAttemptHeader) +
                               ": other\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(Run(server.address()).outcome, AttemptOutcome::kBroken);
  EXPECT_LT(server.sent, EndlessServer::kMaxBytes);
}

}  // namespace
}  // namespace sequoialb
