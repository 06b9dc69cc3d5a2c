// Clients that exceed the limits, against one host in a process of its own: a
// control host and front with little memory and few descriptors. Each test
// opens a fixed crowd on one listener and checks that the process lives, that
// its peak memory and its open descriptors stay within the limits of its
// settings, and that an ordinary request is answered while the crowd is still
// connected. Nothing here depends on the speed of the machine.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include "../fakes/fleet_fixture.h"
#include "../scenarios/fleet.h"

namespace sequoialb {
namespace {

using fakes::Answer;
using fakes::Call;

// Limits in the settings of the host. The test's bounds are the same figures.
constexpr size_t kMemoryLimitMb = 64;
constexpr size_t kMaxDescriptors = 160;

constexpr int kBodyClients = 40;
constexpr int kReadingClients = 24;
constexpr int kConnectedClients = 400;
constexpr int kHeadClients = 300;
// Fields of three bytes each, which take far more memory once parsed. The head
// is just under the limit.
constexpr int kHeadFields = 3'200;
constexpr size_t kChunkBytes = 65'536;
// Client bodies end just short of the limits of the listeners.
constexpr size_t kCallerBodyBytes = 4'100'000;
constexpr size_t kOperatorBodyBytes = 8'300'000;
// Bytes of pipelined requests that each client sends without reading.
constexpr size_t kPipelinedBytes = 262'144;
constexpr size_t kTurnBytes = 131'072;
// The crowd has finished when none of its clients can send for this long.
constexpr milliseconds kCrowdRest{1'500};
constexpr milliseconds kSettleTime{500};

// A client that sends `head` and then `piece` until `total` bytes have been
// sent, reads nothing, and leaves its connection open.
struct CrowdClient {
  int fd = -1;
  std::string head;
  std::string piece;
  size_t total = 0;
  size_t sent = 0;

  // Sends what the connection takes now, up to kTurnBytes, so that all clients
  // advance together; returns whether that was anything.
  bool SendSome() {
    bool any = false;
    const size_t turn_ends = std::min(total, sent + kTurnBytes);
    while (sent < turn_ends) {
      const size_t in_body = sent < head.size() ? 0 : sent - head.size();
      const std::string_view next =
          sent < head.size()
              ? std::string_view(head).substr(sent)
              : std::string_view(piece).substr(in_body % piece.size());
      const ssize_t got =
          ::send(fd, next.data(), std::min(next.size(), turn_ends - sent),
                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (got <= 0) {
        if (got < 0 && errno != EAGAIN) {
          total = sent;
        }
        break;
      }
      sent += static_cast<size_t>(got);
      any = true;
    }
    return any;
  }
};

std::string ChunkedHead(const std::string& target) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(size_t size) {
  std::string chunk;
  AppendChunk(chunk, std::string(size, 'x'));
  return chunk;
}

class HostileClients : public ::testing::Test {
 protected:
  void SetUp() override {
    SetLogLevel("error");
    const auto folder =
        std::filesystem::temp_directory_path() / ("hostile_" + RandomHex(8));
    fleet_ =
        std::make_unique<scenario::Fleet>(SEQUOIALB_PROGRAMS, folder.string());
    ip_ = fleet_->network() + "1";
    const int free = scenario::FreePort(ip_);
    port_ = static_cast<uint16_t>(free > 60'000 ? free - 5 : free);
    engine_ = std::make_unique<fakes::PlatformEngine>("e0");
    const auto at = [&](int offset) {
      return "\"" + ip_ + ":" + std::to_string(port_ + offset) + "\"";
    };
    std::ofstream(fleet_->folder() + "/h.json")
        << R"({"host": "h", "failure_domain": "d0",
 "duties": ["control", "front"], "tolerated_losses": 0, "first_start": true,
 "peer": )"
        << at(0) << R"(, "front": )" << at(1) << R"(, "ready": )" << at(2)
        << R"(, "control": )" << at(3) << R"(, "metrics": )" << at(4)
        << R"(, "seeds": [")" << ip_ << R"(:1"], "data_folder": ")"
        << fleet_->folder() << R"(/h.data", "memory_limit_mb": )"
        << kMemoryLimitMb << R"(, "max_descriptors": )" << kMaxDescriptors
        << "}\n";
    fleet_->AddProcess("h", {fleet_->programs() + "/sequoialb-platform",
                             "--settings=" + fleet_->folder() + "/h.json"});
    fleet_->Start("h");
    WaitUntil([&] { return PutConfig().status == 200; });
    WaitUntil([&] { return AskFront() == 200; });
  }

  void TearDown() override {
    for (const CrowdClient& client : crowd_) {
      ::close(client.fd);
    }
    const std::string folder = fleet_->folder();
    fleet_.reset();
    std::filesystem::remove_all(folder);
  }

  Address Front() const { return {ip_, static_cast<uint16_t>(port_ + 1)}; }
  Address Ready() const { return {ip_, static_cast<uint16_t>(port_ + 2)}; }
  Address Control() const { return {ip_, static_cast<uint16_t>(port_ + 3)}; }
  Address MetricsAt() const { return {ip_, static_cast<uint16_t>(port_ + 4)}; }

  // Polls until `done` returns true; fails the test after kWaitTimeout.
  void WaitUntil(const std::function<bool()>& done) {
    const auto limit = Clock::now() + fakes::kWaitTimeout;
    while (!done()) {
      ASSERT_LT(Clock::now(), limit);
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  Answer PutConfig() {
    return Call(Control(), "PUT /sequoialb/config", "",
                R"({"Version":1,"Routes":[
 {"Name":"r","Host":"h.example","PathPrefix":"/a/","Kind":"stream",
  "TimeoutMs":20000,"SloMs":5000,"Service":"s","Attempts":3,"Resumable":true,
  "GapTargetMs":2000}],
 "Services":[{"Name":"s","Engine":{"Slots":4}}],
 "Tenants":[{"Name":"acct","ApiKeys":["k1"],"RatePerS":500,"Burst":500}]})");
  }

  // One ordinary request on each listener; returns its status, or 0.
  int AskFront() {
    Call(Control(), "PUT /sequoialb/instances/e0", "",
         engine_->AnnouncementBody("d0", ++sequence_));
    return Call(Front(), "POST /a/x",
                "Request-Id: " + RandomHex(8) +
                    "\r\nKey: k1\r\nDeadline-Ms: 19000\r\n",
                "question")
        .status;
  }
  int AskReady() const { return Call(Ready(), "GET /").status; }
  int AskControl() const {
    return Call(Control(), "GET /sequoialb/config").status;
  }
  int AskMetrics() const { return Call(MetricsAt(), "GET /metrics").status; }

  void AddClient(const Address& address, const std::string& head,
                 const std::string& piece, size_t total) {
    const Poco::Net::SocketAddress to(address.ip, address.port);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(fd, 0);
    // A client that reads nothing should not have the kernel read for it.
    const int receive_bytes = 4'096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof(receive_bytes));
    ::connect(fd, to.addr(), to.length());
    crowd_.push_back({fd, head, piece, head.size() + total, 0});
    crowd_.back().SendSome();
  }

  // Lets all clients send at the same time, until none can for kCrowdRest.
  void RunCrowd() {
    TimePoint rests_at = Clock::now() + kCrowdRest;
    while (Clock::now() < rests_at) {
      bool any = false;
      for (CrowdClient& client : crowd_) {
        any |= client.SendSome();
      }
      if (any) {
        rests_at = Clock::now() + kCrowdRest;
      } else {
        std::this_thread::sleep_for(milliseconds(5));
      }
      most_descriptors_ = std::max(most_descriptors_, OpenDescriptors());
    }
  }

  // Half of the clients send large chunks and half chunks of one byte.
  void SendBodies(const Address& address, const std::string& target,
                  size_t bytes) {
    const std::string large = Chunk(kChunkBytes);
    std::string small;
    while (small.size() < kChunkBytes) {
      AppendChunk(small, "x");
    }
    for (int i = 0; i < kBodyClients; ++i) {
      AddClient(address, ChunkedHead(target), i % 2 == 0 ? large : small,
                bytes);
    }
    RunCrowd();
  }

  void SendWithoutReading(const Address& address, const std::string& target) {
    const std::string request =
        "GET " + target + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
    std::string requests;
    while (requests.size() < kChunkBytes) {
      requests += request;
    }
    for (int i = 0; i < kReadingClients; ++i) {
      AddClient(address, "", requests, kPipelinedBytes);
    }
    RunCrowd();
  }

  void Connect(const Address& address) {
    for (int i = 0; i < kConnectedClients; ++i) {
      AddClient(address, "POST /a/x HTTP/1.1\r\nHost: ", "x", 8);
    }
    RunCrowd();
  }

  size_t OpenDescriptors() {
    const std::filesystem::path folder =
        "/proc/" + std::to_string(fleet_->At("h").pid) + "/fd";
    std::error_code error;
    size_t count = 0;
    for (std::filesystem::directory_iterator it(folder, error), end;
         !error && it != end; it.increment(error)) {
      ++count;
    }
    return count;
  }

  size_t PeakMemoryKb() {
    std::ifstream status("/proc/" + std::to_string(fleet_->At("h").pid) +
                         "/status");
    std::string name;
    size_t kb = 0;
    while (status >> name) {
      if (name == "VmHWM:" && status >> kb) {
        return kb;
      }
    }
    return 0;
  }

  // Checks the bounds, and that `ask` is answered beside the crowd.
  void Check(const std::function<int()>& ask) {
    WaitUntil([&] { return ask() == 200 || fleet_->PollExitCode("h"); });
    std::this_thread::sleep_for(kSettleTime);
    EXPECT_FALSE(fleet_->PollExitCode("h").has_value());
    ASSERT_GT(fleet_->At("h").pid, 0) << "the process has ended";
    const size_t peak_kb = PeakMemoryKb();
    most_descriptors_ = std::max(most_descriptors_, OpenDescriptors());
    EXPECT_GT(peak_kb, 0U);
    EXPECT_LE(peak_kb, kMemoryLimitMb * 1'024);
    EXPECT_LE(most_descriptors_, kMaxDescriptors);
    std::cout << "peak_kb=" << peak_kb << " descriptors=" << most_descriptors_
              << "\n";
  }

  std::unique_ptr<scenario::Fleet> fleet_;
  std::string ip_;
  uint16_t port_ = 0;
  int sequence_ = 0;
  std::unique_ptr<fakes::PlatformEngine> engine_;
  std::vector<CrowdClient> crowd_;
  size_t most_descriptors_ = 0;
};

// Guards against a process that keeps every unfinished body: 40 clients stop
// just short of the largest body.
TEST_F(HostileClients, BodiesFront) {
  SendBodies(Front(), "/a/x", kCallerBodyBytes);
  Check([&] { return AskFront(); });
}
TEST_F(HostileClients, BodiesReady) {
  SendBodies(Ready(), "/", kCallerBodyBytes);
  Check([&] { return AskReady(); });
}
TEST_F(HostileClients, BodiesControl) {
  SendBodies(Control(), "/sequoialb/config", kOperatorBodyBytes);
  Check([&] { return AskControl(); });
}
TEST_F(HostileClients, BodiesMetrics) {
  SendBodies(MetricsAt(), "/metrics", kCallerBodyBytes);
  Check([&] { return AskMetrics(); });
}

// Guards against a process that keeps parsed heads, which are larger than what
// was received, without counting them: 300 clients stop after their heads.
TEST_F(HostileClients, HeadsFront) {
  std::string head =
      "POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n";
  for (int i = 0; i < kHeadFields; ++i) {
    head += "x:\r\n";
  }
  for (int i = 0; i < kHeadClients; ++i) {
    AddClient(Front(), head + "\r\n", "x", 1);
  }
  RunCrowd();
  Check([&] { return AskFront(); });
}

// Guards against a process that answers pipelined requests into memory although
// the client reads none of the answers.
TEST_F(HostileClients, ReadersControl) {
  SendWithoutReading(Control(), "/sequoialb/config");
  Check([&] { return AskControl(); });
}
TEST_F(HostileClients, ReadersMetrics) {
  SendWithoutReading(MetricsAt(), "/metrics");
  Check([&] { return AskMetrics(); });
}

// Guards against a process that runs out of descriptors: 400 clients connect
// and do not finish their heads.
TEST_F(HostileClients, DescriptorsFront) {
  Connect(Front());
  Check([&] { return AskFront(); });
}
TEST_F(HostileClients, DescriptorsReady) {
  Connect(Ready());
  Check([&] { return AskReady(); });
}
TEST_F(HostileClients, DescriptorsControl) {
  Connect(Control());
  Check([&] { return AskControl(); });
}
TEST_F(HostileClients, DescriptorsMetrics) {
  Connect(MetricsAt());
  Check([&] { return AskMetrics(); });
}

// Guards against a sequoialbd whose threads all wait for clients that send one
// byte of a head from time to time: a byte restarts its read timeout, so that
// it serves no one else.
TEST(HostileClientsOfDaemon, TricklesHeads) {
  constexpr int kConnections = 16;
  constexpr int kClients = 32;
  constexpr milliseconds kByteInterval{200};
  const auto folder =
      std::filesystem::temp_directory_path() / ("hostile_" + RandomHex(8));
  {
    scenario::Fleet fleet(SEQUOIALB_PROGRAMS, folder.string());
    fleet.MakeHosts(1, 1, 1,
                    "  \"http_limits\": {\"max_connections\": " +
                        std::to_string(kConnections) + "},\n",
                    false, false);
    fleet.Start("h1");
    const Address address = *ParseAddress(fleet.At("h1").http);
    const auto is_answered = [&] {
      const TimePoint limit = Clock::now() + fakes::kWaitTimeout;
      while (Call(address, "GET /healthz").status != 200) {
        if (Clock::now() >= limit) {
          return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
      }
      return true;
    };
    ASSERT_TRUE(is_answered());
    std::atomic<bool> stopping{false};
    std::thread crowd([&] {
      std::vector<std::unique_ptr<fakes::RawClient>> clients;
      for (int i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<fakes::RawClient>(address));
      }
      for (std::string next = "GET /healthz HTTP/1.1\r\nX: "; !stopping;
           next = "x") {
        for (const auto& client : clients) {
          try {
            client->Send(next);
          } catch (const Poco::Exception&) {
            // The process has closed this connection.
          }
        }
        std::this_thread::sleep_for(kByteInterval);
      }
    });
    std::this_thread::sleep_for(kSettleTime);
    EXPECT_TRUE(is_answered());
    stopping = true;
    crowd.join();
    EXPECT_FALSE(fleet.PollExitCode("h1").has_value());
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace sequoialb
