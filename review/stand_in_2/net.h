// Blocking TCP and HTTP/1.1 for the stand-ins of a review: a client that sends
// one request on a connection of its own, and a server with a thread for each
// connection. Loopback addresses only.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Names are in lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header, or "".
std::string Find(const Headers& headers, const std::string& name);

// A connected socket, closed at destruction.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Connects; returns false when that fails before the deadline.
  bool Connect(const Address& address, Clock::time_point deadline);
  bool Write(const std::string& bytes, Clock::time_point deadline) const;
  // Appends what has arrived to `bytes`. Returns false at the end of the
  // connection, at a failure, or when nothing arrives before the deadline.
  bool Read(std::string& bytes, Clock::time_point deadline) const;
  // Whether the peer has closed the connection.
  bool PeerHasLeft() const;
  void Close();

 private:
  int fd_;
};

// A listening socket on a free port, or on the given one.
class Listener {
 public:
  explicit Listener(const Address& address);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Returns the descriptor of a new connection, or -1 after 50 ms without one.
  int Accept() const;
  int port() const { return port_; }
  bool open() const { return fd_ >= 0; }

 private:
  int fd_;
  int port_ = 0;
};

struct Response {
  // 0 when there was no complete answer.
  int status = 0;
  Headers headers;
  std::string body;
};

// Sends one request and reads its answer.
Response Call(const Address& address, const std::string& method,
              const std::string& target, const Headers& headers,
              const std::string& body, milliseconds timeout);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

// Writes an answer with a length.
std::string AnswerText(int status, const Headers& headers,
                       const std::string& body);

// Reads one request; `rest` holds bytes that belong to the next one.
bool ReadRequest(const Socket& socket, std::string& rest, Request& request,
                 const std::atomic<bool>& stopping);

}  // namespace review
