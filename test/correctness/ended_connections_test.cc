// Tests requests in flight while the network ends connections to servers that
// go on running.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "../fakes/fleet_fixture.h"

namespace sequoialb {
namespace {

using fakes::Answer;
using fakes::Call;

class EndedConnectionsTest : public fakes::FleetFixture {
 protected:
  // Sends a request whose prompt has the part "ff", at one of two fronts.
  Answer Ask(int front, const std::string& id) {
    return Call(FrontAt(6 + front), "POST /a/x",
                "Request-Id: " + id +
                    "\r\nKey: k1\r\nDeadline-Ms: 1000\r\n"
                    "Prompt-Prefix: ff:100," +
                    id + ":50\r\n",
                "question");
  }
};

// Guards against a part of prompts that is quarantined because the network
// ended the connections of requests with it.
TEST_F(EndedConnectionsTest, AreNoCrashesOfServers) {
  for (const auto& engine : engines_) {
    engine->SetEventInterval(milliseconds(200));
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([this, caller, &stop] {
      for (int i = 0; !stop; ++i) {
        Ask(caller % 2, "n" + std::to_string(caller) + "-" + std::to_string(i));
      }
    });
  }
  for (int i = 0; i < 10; ++i) {
    AnnounceEngines();
    std::this_thread::sleep_for(milliseconds(300));
    for (const auto& engine : engines_) {
      engine->ResetConnections();
    }
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& engine : engines_) {
    engine->SetEventInterval(milliseconds(5));
  }
  std::this_thread::sleep_for(seconds(1));
  AnnounceEngines();
  const Answer answer = Ask(0, "last");
  EXPECT_EQ(answer.status, 200) << answer.body;
}

}  // namespace
}  // namespace sequoialb
