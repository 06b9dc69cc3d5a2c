#include "engine.h"

#include <cstdio>

namespace review {
namespace {

constexpr milliseconds kWriteTimeout{2'000};
constexpr milliseconds kAnnounceTimeout{1'000};

}  // namespace

Engine::Engine(EngineOptions options, const std::string& ip, Record& record)
    : options_(std::move(options)),
      listener_({ip, 0}),
      address_{ip, listener_.port()},
      record_(record),
      born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      acceptor_([this] { Accept(); }) {}

Engine::~Engine() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

void Engine::Announce(Fleet& fleet) {
  const std::string body =
      R"({"Service":")" + options_.service + R"(","Addr":")" + address_.Text() +
      R"(","Zone":")" + options_.zone + R"(","Version":"v1","Slots":)" +
      std::to_string(options_.slots) +
      R"(,"State":"ready","ColdLeftMs":0,"Stage":"mixed","Models":[],"Seq":)" +
      std::to_string(++sequence_) + R"(,"born":)" + std::to_string(born_) + "}";
  fleet.Operate("PUT", "/sequoialb/instances/" + options_.id, body,
                kAnnounceTimeout);
}

std::map<std::string, int> Engine::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Engine::Accept() {
  while (!stopping_) {
    const int fd = listener_.Accept();
    if (fd >= 0) {
      connections_.emplace_back([this, fd] { Serve(fd); });
    }
  }
}

void Engine::Serve(int fd) {
  const Socket socket(fd);
  std::string rest;
  Request request;
  while (!stopping_ && ReadRequest(socket, rest, request, stopping_)) {
    const auto deadline = Clock::now() + kWriteTimeout;
    const std::string id = Find(request.headers, "request-id");
    const std::string expected = Find(request.headers, "expect-instance");
    if (!expected.empty() && expected != options_.id) {
      if (!socket.Write(AnswerText(421, {{"Request-Id", id}}, ""), deadline)) {
        return;
      }
      continue;
    }
    if (active_.fetch_add(1) >= static_cast<size_t>(options_.slots)) {
      --active_;
      if (!socket.Write(
              AnswerText(503, {{"Request-Id", id}, {"Not-Run", "1"}}, ""),
              deadline)) {
        return;
      }
      continue;
    }
    const bool done = Stream(socket, request);
    --active_;
    if (!done) {
      return;
    }
  }
}

bool Engine::Stream(const Socket& socket, const Request& request) {
  const std::string id = Find(request.headers, "request-id");
  const std::string last = Find(request.headers, "last-event-id");
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  record_.Line("engine " + options_.id + " runs " + id + " after event " +
               (last.empty() ? "none" : last));
  const auto write = [&](const std::string& bytes) {
    return socket.Write(bytes, Clock::now() + kWriteTimeout);
  };
  if (!write("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
             "\r\nResponse-Stamp: stamp-" + options_.id +
             "\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int event = last.empty() ? 1 : std::stoi(last) + 1;
       event <= options_.events; ++event) {
    std::this_thread::sleep_for(options_.event_interval);
    // The request ends when its connection closes.
    if (stopping_ || socket.PeerHasLeft()) {
      return false;
    }
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + id +
                             "-" + std::to_string(event) +
                             std::string(options_.event_bytes, 'x') + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!write(size + text + "\r\n")) {
      return false;
    }
  }
  return write("0\r\n\r\n");
}

}  // namespace review
