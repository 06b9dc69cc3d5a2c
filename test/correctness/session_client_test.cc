// Tests how soon a host that was paused has its keys confirmed again, and where
// heartbeats go while the leader answers them.
#include "membership/session_client.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoialb {
namespace {

const std::vector<std::string> kReplicas = {"h1", "h2", "h3"};
// Host::Run calls Tick this often.
constexpr milliseconds kTick{20};
// The interval of heartbeats while no leader answers.
constexpr milliseconds kSearch{100};

// Delivers heartbeats to replicas of which one leads, and their replies, with a
// delay. Messages sent before `connected_at` are lost.
class Network : public PeerSender {
 public:
  Network(std::string leader, milliseconds one_way)
      : leader_(std::move(leader)), one_way_(one_way) {}

  void Send(const std::string& host, proto::Envelope envelope) override {
    ++sent[host];
    if (now >= connected_at && down.count(host) == 0) {
      replies_.emplace_back(now + 2 * one_way_,
                            Reply{host, envelope.heartbeat().sent_at()});
    }
  }

  void Deliver(SessionClient& session) {
    while (!replies_.empty() && replies_.front().first <= now) {
      const Reply reply = replies_.front().second;
      replies_.pop_front();
      proto::HeartbeatReply message;
      message.set_sent_at(reply.sent_at);
      if (reply.from == leader_) {
        message.set_confirmed(true);
      } else {
        message.set_not_leader(true);
        message.set_leader(leader_);
      }
      session.OnReply(reply.from, message, now);
    }
  }

  TimePoint now = Clock::now();
  TimePoint connected_at;
  std::set<std::string> down;
  std::map<std::string, int> sent;

 private:
  struct Reply {
    std::string from;
    uint64_t sent_at = 0;
  };

  std::string leader_;
  milliseconds one_way_;
  std::deque<std::pair<TimePoint, Reply>> replies_;
};

struct SimulatedHost {
  SimulatedHost(const std::string& leader, milliseconds one_way)
      : network(leader, one_way) {}

  // Runs the host for `length`, and returns how long it took until its
  // configuration was fresh, or `length` if it was not.
  milliseconds Run(milliseconds length) {
    std::optional<milliseconds> fresh_after;
    const TimePoint begin = network.now;
    for (; network.now < begin + length; network.now += kTick) {
      session.Tick(network.now, BlobsMissing{});
      network.Deliver(session);
      if (!fresh_after && config.Fresh(network.now, Duration(0))) {
        fresh_after =
            std::chrono::duration_cast<milliseconds>(network.now - begin);
      }
    }
    return fresh_after.value_or(length);
  }

  Network network;
  ConfigHolder config;
  LeaderClient leader{network, kReplicas, 0};
  SessionClient session{network, leader, config, 1};
};

// A machine with 40 runnable processes on 7 cores takes about 100 ms for a
// message; a connection that ended during the pause is back after about 240 ms.
// Guards against a resumed host that takes its own pause for silence of the
// leader, turns to one replica after the other, 250 ms each, and refuses keys
// for most of a second meanwhile (scenario withdrawn-while-frozen).
TEST(SessionClientTest, AResumedHostReachesTheLeaderOnceItIsConnected) {
  constexpr milliseconds kOneWay{100};
  constexpr milliseconds kReconnect{240};
  const std::vector<std::string> failed = {"", "h1", "h2", "h3"};
  for (const std::string& leader : kReplicas) {
    for (const std::string& down : failed) {
      if (down == leader) {
        continue;
      }
      SimulatedHost host(leader, kOneWay);
      host.Run(seconds(2));
      host.network.now += seconds(4);
      host.network.connected_at = host.network.now + kReconnect;
      host.network.down = {down};
      ASSERT_FALSE(host.config.Fresh(host.network.now, Duration(0)));
      EXPECT_LE(host.Run(seconds(3)),
                kReconnect + kSearch + 2 * kOneWay + 2 * kTick)
          << "leader " << leader << ", down " << down;
    }
  }
}

// All hosts search at once when the leader fails, so the rate is bounded.
TEST(SessionClientTest, ASearchForTheLeaderIsPaced) {
  SimulatedHost host("h1", milliseconds(1));
  host.Run(seconds(2));
  host.network.down = {"h1"};
  host.network.sent.clear();
  host.Run(seconds(4));
  for (const std::string& replica : kReplicas) {
    EXPECT_GE(host.network.sent[replica], 25) << replica;
    EXPECT_LE(host.network.sent[replica], 45) << replica;
  }
}

// Guards against a restarted host that refuses keys given before its restart,
// or accepts keys withdrawn before it: changes since the configuration of its
// earlier process are not complete, although their index is current.
TEST(SessionClientTest, ChangesForAnEarlierProcessAreNotApplied) {
  SimulatedHost host("h1", milliseconds(1));
  proto::HeartbeatReply push;
  push.set_sent_at(static_cast<uint64_t>(
      (host.network.now - seconds(1)).time_since_epoch().count()));
  push.set_config_index(9);
  push.mutable_config()->set_index(9);
  host.session.OnReply("h1", push, host.network.now);
  EXPECT_EQ(host.config.current()->index, 0U);
  host.Run(milliseconds(100));
  host.session.OnReply("h1", push, host.network.now);
  EXPECT_EQ(host.config.current()->index, 0U);
  push.set_sent_at(static_cast<uint64_t>(
      (host.network.now - milliseconds(50)).time_since_epoch().count()));
  host.session.OnReply("h1", push, host.network.now);
  EXPECT_EQ(host.config.current()->index, 9U);
}

// Guards against heartbeats to every replica in ordinary operation.
TEST(SessionClientTest, HeartbeatsGoToTheLeaderOnlyWhileItAnswers) {
  SimulatedHost host("h2", milliseconds(1));
  host.Run(seconds(2));
  host.network.sent.clear();
  host.Run(seconds(4));
  EXPECT_EQ(host.network.sent.size(), 1U);
  EXPECT_GE(host.network.sent["h2"], 14);
  EXPECT_LE(host.network.sent["h2"], 17);
}

}  // namespace
}  // namespace sequoialb
