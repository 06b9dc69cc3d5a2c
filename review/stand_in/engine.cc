#include "engine.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace review {
namespace {

constexpr int64_t kPollMs = 50;
constexpr int64_t kBeatTimeoutMs = 1'000;
constexpr int64_t kRequestTimeoutMs = 120'000;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Chunk(const std::string& data) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

}  // namespace

Engine::Engine(EngineOptions options, std::vector<Endpoint> controls,
               size_t first_control)
    : options_(std::move(options)),
      controls_(std::move(controls)),
      control_(first_control),
      event_gap_ms_(options_.event_gap_ms),
      born_(UnixMs()) {
  listener_ = Listen(options_.ip, port_);
  acceptor_ = std::thread([this] { Accept(); });
  announcer_ = std::thread([this] { Announce(); });
}

Engine::~Engine() {
  Crash();
  announcer_.join();
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

void Engine::Crash() {
  stopping_ = true;
  if (acceptor_.joinable()) {
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
  }
}

void Engine::StopAnnouncing() { announcing_ = false; }

int Engine::Deregister(size_t control) {
  return Call(controls_[control], "DELETE",
              "/sequoialb/instances/" + options_.id, {}, "", kBeatTimeoutMs)
      .status;
}

void Engine::Announce() {
  uint64_t sequence = 0;
  int64_t next = NowMs();
  while (!stopping_) {
    if (!announcing_ || NowMs() < next) {
      SleepMs(10);
      continue;
    }
    next = NowMs() + options_.beat_ms;
    ++sequence;
    const std::string body =
        R"({"Service":")" + options_.service + R"(","Addr":")" +
        Endpoint{options_.ip, port_}.ToString() + R"(","Zone":")" +
        options_.zone + R"(","Version":"v1","Slots":)" +
        std::to_string(options_.slots) +
        R"(,"State":"ready","ColdLeftMs":0,"Stage":"mixed","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":)" +
        std::to_string(sequence) + R"(,"born":)" + std::to_string(born_) + "}";
    for (size_t tries = 0; tries < controls_.size(); ++tries) {
      const int status =
          Call(controls_[control_], "PUT",
               "/sequoialb/instances/" + options_.id,
               {{"Content-Type", "application/json"}}, body, kBeatTimeoutMs)
              .status;
      if (status >= 200 && status < 300) {
        break;
      }
      control_ = (control_ + 1) % controls_.size();
    }
  }
}

void Engine::Accept() {
  while (!stopping_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (::poll(&waiting, 1, kPollMs) != 1) {
      continue;
    }
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      connections_.emplace_back([this, fd] { Serve(fd); });
    }
  }
}

void Engine::Serve(int fd) {
  Connection connection(fd);
  Request request;
  while (!stopping_) {
    // Waits for the next request in short steps, so that the engine can stop.
    if (connection.buffer().empty() &&
        !connection.ReadMore(NowMs() + kPollMs)) {
      if (connection.PeerClosed()) {
        return;
      }
      continue;
    }
    if (!ReadRequest(connection, NowMs() + kRequestTimeoutMs, request) ||
        !Answer(connection, request)) {
      return;
    }
  }
}

bool Engine::Answer(Connection& connection, const Request& request) {
  const auto header = [&](const std::string& name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
  };
  const std::string echo = "Request-Id: " + header("request-id") + "\r\n";
  const auto refuse = [&](const std::string& status) {
    return connection.Send("HTTP/1.1 " + status + "\r\n" + echo +
                           "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  };
  if (request.method == "GET") {
    return connection.Send("HTTP/1.1 200 OK\r\nInstance-Id: " + options_.id +
                           "\r\nContent-Length: 0\r\n\r\n");
  }
  const std::string expected = header("expect-instance");
  if (!expected.empty() && expected != options_.id) {
    return refuse("421 Misdirected Request");
  }
  if (header("request-id").empty()) {
    return refuse("400 Bad Request");
  }
  if (running_.fetch_add(1) >= options_.slots) {
    --running_;
    return refuse("503 Service Unavailable");
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({options_.id, header("request-id"), header("tenant"),
                     request.target, NowMs()});
  }
  const bool kept = Stream(connection, request);
  --running_;
  return kept;
}

bool Engine::Stream(Connection& connection, const Request& request) {
  const auto last = request.headers.find("last-event-id");
  int next = last == request.headers.end() ? 0 : std::stoi(last->second) + 1;
  if (!connection.Send(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
          request.headers.at("request-id") + "\r\nResponse-Stamp: stamp." +
          options_.id + "\r\nServer-Load: " + std::to_string(running_.load()) +
          ",0," + std::to_string(options_.slots) +
          "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  const int64_t gap_ms = event_gap_ms_;
  SleepMs(options_.first_event_ms);
  for (; next < options_.events; ++next) {
    if (stopping_ || connection.PeerClosed() ||
        !connection.Send(Chunk("id: " + std::to_string(next) + "\ndata: t" +
                               std::to_string(next) + "\n\n"))) {
      return false;
    }
    SleepMs(gap_ms);
  }
  return connection.Send("0\r\n\r\n");
}

void WriteRuns(Record& record,
               const std::vector<std::unique_ptr<Engine>>& engines) {
  for (const auto& engine : engines) {
    for (const Run& run : engine->Runs()) {
      record.Line("run: " + run.engine + " began " + run.request + " (" +
                  run.target + ", " + run.tenant + ") at " +
                  std::to_string(run.at_ms) + " ms");
    }
  }
}

std::vector<Run> Engine::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

}  // namespace review
