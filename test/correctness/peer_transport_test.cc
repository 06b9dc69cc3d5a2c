// Tests of the message transport between hosts: messages arrive, and with keys
// only from the host whose key opened the connection.
#include "peer/peer_transport.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <thread>

namespace sequoialb {
namespace {

constexpr char kIp[] = "127.77.0.1";

uint16_t FreePort() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, kIp, &address.sin_addr);
  socklen_t size = sizeof(address);
  EXPECT_EQ(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size), 0);
  EXPECT_EQ(
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size),
      0);
  ::close(descriptor);
  return ntohs(address.sin_port);
}

struct Keys {
  std::string public_key;
  std::string secret_file;
};

Keys MakeKeys(const std::string& name) {
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
  EXPECT_EQ(zmq_curve_keypair(public_key.data(), secret_key.data()), 0);
  const std::string file =
      ::testing::TempDir() + name + std::to_string(::getpid());
  std::ofstream(file) << secret_key.data() << "\n";
  return {public_key.data(), file};
}

class PeerTransportTest : public ::testing::Test {
 protected:
  // Returns the settings of `host` in a deployment of the hosts a and b.
  Settings SettingsFor(const std::string& host, bool keys) {
    Settings settings;
    settings.host = host;
    settings.failure_domain = "d";
    for (const std::string name : {"a", "b"}) {
      HostEntry entry;
      entry.host = name;
      entry.failure_domain = "d";
      entry.peer = Address{kIp, ports_[name]};
      entry.curve_public_key = keys ? keys_[name].public_key : "";
      settings.hosts.push_back(entry);
    }
    settings.curve_secret_key_file = keys ? keys_[host].secret_file : "";
    return settings;
  }

  void SetUp() override {
    for (const std::string name : {"a", "b"}) {
      ports_[name] = FreePort();
      keys_[name] = MakeKeys(name);
    }
  }

  // Sends up to `tries` pings to host b until one arrives. Returns the number
  // of messages received.
  static int SendUntilReceived(PeerTransport& from, PeerTransport& to,
                               int tries) {
    int arrived = 0;
    for (int i = 0; i < tries && arrived == 0; ++i) {
      proto::Envelope envelope;
      envelope.mutable_ping();
      from.Send("b", envelope);
      std::this_thread::sleep_for(milliseconds(20));
      to.Drain([&](const proto::Envelope& got) {
        EXPECT_EQ(got.from(), "a");
        ++arrived;
      });
    }
    return arrived;
  }

  std::map<std::string, uint16_t> ports_;
  std::map<std::string, Keys> keys_;
  Metrics metrics_;
};

TEST_F(PeerTransportTest, MessagesArriveWithAndWithoutKeys) {
  for (const bool keys : {false, true}) {
    const Settings settings_a = SettingsFor("a", keys);
    const Settings settings_b = SettingsFor("b", keys);
    auto a = PeerTransport::Open(settings_a, 1, metrics_);
    auto b = PeerTransport::Open(settings_b, 1, metrics_);
    ASSERT_TRUE(a.has_value() && b.has_value());
    EXPECT_GT(SendUntilReceived(**a, **b, 250), 0) << "keys " << keys;
  }
}

TEST_F(PeerTransportTest, RejectsHostWithUnknownKey) {
  const Settings settings_b = SettingsFor("b", true);
  auto b = PeerTransport::Open(settings_b, 1, metrics_);
  ASSERT_TRUE(b.has_value());
  // The unknown host has the right settings but no key of the deployment.
  keys_["a"] = MakeKeys("unknown_host");
  const Settings unknown_host_settings = SettingsFor("a", true);
  auto unknown_host = PeerTransport::Open(unknown_host_settings, 1, metrics_);
  ASSERT_TRUE(unknown_host.has_value());
  EXPECT_EQ(SendUntilReceived(**unknown_host, **b, 30), 0);
}

TEST_F(PeerTransportTest, DropsMessagesOfBlockedHosts) {
  const Settings settings_a = SettingsFor("a", false);
  const Settings settings_b = SettingsFor("b", false);
  auto a = PeerTransport::Open(settings_a, 1, metrics_);
  auto b = PeerTransport::Open(settings_b, 1, metrics_);
  ASSERT_TRUE(a.has_value() && b.has_value());
  ASSERT_GT(SendUntilReceived(**a, **b, 250), 0);
  (*b)->SetBlockedHosts({"a"});
  EXPECT_EQ(SendUntilReceived(**a, **b, 10), 0);
  (*b)->SetBlockedHosts({});
  EXPECT_GT(SendUntilReceived(**a, **b, 250), 0);
}

TEST_F(PeerTransportTest, AMismatchedKeyFileIsRefusedAtStart) {
  Settings settings = SettingsFor("a", true);
  settings.curve_secret_key_file = keys_["b"].secret_file;
  const auto opened = PeerTransport::Open(settings, 1, metrics_);
  ASSERT_FALSE(opened.has_value());
  EXPECT_EQ(opened.error().code, ErrorCode::kInvalidField);
}

}  // namespace
}  // namespace sequoialb
