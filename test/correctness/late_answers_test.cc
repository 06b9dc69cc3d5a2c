// Tests a backend server that answers twice, the second time late, on a
// connection that is kept.
#include <gtest/gtest.h>

#include "../fakes/raw_sockets.h"
#include "requests/backend_client.h"

namespace sequoialb {
namespace {

using fakes::RawServer;

// Guards against an answer to one caller that reaches another.
TEST(LateAnswersTest, ASecondAnswerIsNotTakenForThatOfTheNextRequest) {
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  const std::string second =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
  RawServer server([&](Poco::Net::StreamSocket& socket, int number) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, number == 0 ? first : second);
    if (!RawServer::ReadRequest(socket).empty()) {
      RawServer::Write(socket, first + second);
    }
  });
  proto::Backend backend;
  backend.set_id("e1");
  backend.set_address(server.address().ToString());
  BackendClient client;
  const auto run = [&] {
    AttemptRequest request;
    request.path = "/v1/chat/completions";
    request.deadline = Clock::now() + seconds(3);
    return client.Run(std::make_shared<SlotLease>("d", 1, backend), request,
                      nullptr);
  };
  ASSERT_EQ(run().body, "first");
  const AttemptResult result = run();
  EXPECT_TRUE(result.outcome != AttemptOutcome::kComplete ||
              result.body == "second")
      << result.body;
}

}  // namespace
}  // namespace sequoialb
