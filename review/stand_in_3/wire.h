// Blocking HTTP/1.1 on loopback addresses for the stand-ins of the cases 11 to
// 15: a client of one request a connection, and a server with a thread for each
// connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace case3 {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Endpoint {
  std::string ip;
  int port = 0;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
  // 0 in an answer means that no complete answer came.
  int status = 0;
  std::string method;
  std::string target;
  Fields fields;
  std::string body;

  // Returns the value of a header field, whatever the case of its name, or "".
  std::string Field(const std::string& name) const;
};

// Returns a connected descriptor, or -1.
int ConnectTo(const Endpoint& to, milliseconds timeout);
bool WriteAll(int fd, const std::string& bytes);

// Sends one request on a connection of its own and reads the whole answer.
// `sent`, if any, is called when the request has been written.
Message Ask(const Endpoint& to, const std::string& method,
            const std::string& target, const Fields& fields,
            const std::string& body, milliseconds timeout,
            const std::function<void()>& sent = {});

// Reads one request. Returns false when the connection ends or `stopping`.
bool ReadRequest(int fd, std::string& rest, Message& request,
                 const std::atomic<bool>& stopping);

// Whether the peer has closed the connection.
bool PeerLeft(int fd);

// Listens on a free port of an address and serves each connection on a thread.
class Server {
 public:
  Server(const std::string& ip, std::function<void(int fd)> serve);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  const Endpoint& endpoint() const { return endpoint_; }
  const std::atomic<bool>& stopping() const { return stopping_; }

 private:
  int fd_ = -1;
  Endpoint endpoint_;
  std::function<void(int)> serve_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> open_ = 0;
  std::thread acceptor_;
};

}  // namespace case3
