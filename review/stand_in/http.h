// Blocking HTTP/1.1 for the stand-ins of the review: one call at a time on a
// connection, with a time limit for the whole call.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

// Milliseconds on the steady clock since the program started.
int64_t NowMs();
void SleepMs(int64_t ms);

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// Reads and writes a connected socket; closes it at the end.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;

  // Returns false when the connection is not established within the time.
  bool Open(const Endpoint& to, int64_t timeout_ms);
  void Close();
  bool open() const { return fd_ >= 0; }
  bool Send(const std::string& bytes);
  // Appends what arrives until `deadline` to buffer(). Returns false at the end
  // of the connection, after an error, or at the deadline.
  bool ReadMore(int64_t deadline);
  // Returns whether the peer has closed the connection.
  bool PeerClosed();
  std::string& buffer() { return buffer_; }

 private:
  int fd_ = -1;
  std::string buffer_;
};

struct Response {
  // 0 when no complete head arrived.
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // The body has arrived whole.
  bool complete = false;
  int64_t ended_ms = 0;
};

std::string RequestBytes(const std::string& method, const std::string& target,
                         const Headers& headers, const std::string& body);
Response ReadResponse(Connection& connection, int64_t deadline);

// Makes one call on a new connection.
Response Call(const Endpoint& to, const std::string& method,
              const std::string& target, const Headers& headers,
              const std::string& body, int64_t timeout_ms);

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Returns false when the connection ended before a whole request.
bool ReadRequest(Connection& connection, int64_t deadline, Request& request);

// Listens on a free port of `ip`, or on `port` if it is not 0; returns the
// descriptor and sets `port`, or returns -1.
int Listen(const std::string& ip, uint16_t& port);

}  // namespace review
