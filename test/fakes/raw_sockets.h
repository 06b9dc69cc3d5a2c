// Blocking sockets for tests that control the exact bytes on the wire, and a
// thread that runs an event loop for the code under test.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/event_loop.h"
#include "settings/settings.h"

namespace sequoialb::fakes {

// Runs an event loop on its own thread.
class LoopThread {
 public:
  LoopThread() : thread_([this] { loop_.Run(); }) {}
  ~LoopThread() {
    loop_.Stop();
    thread_.join();
  }

  EventLoop& loop() { return loop_; }

  // Runs `task` on the loop's thread and waits for it.
  void Run(const std::function<void()>& task) {
    std::promise<void> done;
    loop_.Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  EventLoop loop_;
  std::thread thread_;
};

// A client that sends given bytes unchanged.
class RawClient {
 public:
  explicit RawClient(uint16_t port) : RawClient(Address{"127.0.0.1", port}) {}
  explicit RawClient(const Address& address)
      : socket_(Poco::Net::SocketAddress(address.ip, address.port)) {
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
  }

  void Send(const std::string& bytes) {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }

  // Reads until `ending` has arrived or the connection has ended.
  std::string ReadUntil(const std::string& ending) {
    while (received_.find(ending) == std::string::npos && ReadMore()) {
    }
    const size_t at = received_.find(ending);
    if (at == std::string::npos) {
      return std::exchange(received_, "");
    }
    const std::string out = received_.substr(0, at + ending.size());
    received_.erase(0, at + ending.size());
    return out;
  }

  // Reads to the end of the connection.
  std::string ReadAll() {
    while (ReadMore()) {
    }
    return std::exchange(received_, "");
  }

  // Returns the bytes that have arrived, and waits for some if there are none.
  std::string ReadSome() {
    if (received_.empty()) {
      ReadMore();
    }
    return std::exchange(received_, "");
  }

  void Close() { socket_.close(); }

 private:
  bool ReadMore() {
    char buffer[4096];
    try {
      const int got = socket_.receiveBytes(buffer, sizeof(buffer));
      if (got <= 0) {
        return false;
      }
      received_.append(buffer, static_cast<size_t>(got));
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  Poco::Net::StreamSocket socket_;
  std::string received_;
};

// A server that runs a script on each connection, in a thread of its own. The
// script gets the connection and the number of connections accepted before it.
class RawServer {
 public:
  using Script = std::function<void(Poco::Net::StreamSocket&, int)>;

  explicit RawServer(Script script)
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        script_(std::move(script)),
        thread_([this] { Serve(); }) {}
  ~RawServer() {
    stopping_ = true;
    try {
      Poco::Net::StreamSocket wake(socket_.address());
    } catch (const Poco::Exception&) {
    }
    thread_.join();
    for (std::thread& handler : handlers_) {
      handler.join();
    }
  }

  Address address() const { return {"127.0.0.1", socket_.address().port()}; }

  // Reads one request: its head, and as much body as its Content-Length says.
  static std::string ReadRequest(Poco::Net::StreamSocket& socket) {
    std::string got;
    char c = 0;
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    while (got.find("\r\n\r\n") == std::string::npos) {
      if (socket.receiveBytes(&c, 1) <= 0) {
        return got;
      }
      got.push_back(c);
    }
    const size_t at = got.find("Content-Length: ");
    size_t length =
        at == std::string::npos ? 0 : std::stoul(got.substr(at + 16));
    for (; length > 0 && socket.receiveBytes(&c, 1) > 0; --length) {
      got.push_back(c);
    }
    return got;
  }

  static void Write(Poco::Net::StreamSocket& socket, const std::string& bytes) {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }

 private:
  void Serve() {
    int number = 0;
    while (true) {
      Poco::Net::StreamSocket connection = socket_.acceptConnection();
      if (stopping_) {
        return;
      }
      handlers_.emplace_back([this, connection, number]() mutable {
        try {
          script_(connection, number);
        } catch (const Poco::Exception&) {
          // The client disconnected; the test checks its own end.
        }
        connection.close();
      });
      ++number;
    }
  }

  Poco::Net::ServerSocket socket_;
  Script script_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> handlers_;
  std::thread thread_;
};

// A server in trouble: after `before` it sends `piece` again and again until
// the client closes the connection, or until kMaxBytes, where a client that
// reads without a limit is considered to have failed.
class EndlessServer : public RawServer {
 public:
  static constexpr size_t kMaxBytes = 64U << 20U;

  EndlessServer(std::string before, const std::string& piece,
                std::chrono::milliseconds pause = std::chrono::milliseconds(0))
      : RawServer([this, before = std::move(before), piece, pause](auto& socket,
                                                                   int) {
          if (ReadRequest(socket).empty()) {
            return;
          }
          ++requests;
          Write(socket, before);
          while (sent < kMaxBytes) {
            Write(socket, piece);
            sent += piece.size();
            std::this_thread::sleep_for(pause);
          }
        }) {}

  std::atomic<int> requests{0};
  // Bytes after `before` that have been handed to the network.
  std::atomic<size_t> sent{0};
};

}  // namespace sequoialb::fakes
