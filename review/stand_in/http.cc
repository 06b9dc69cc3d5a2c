#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

const std::chrono::steady_clock::time_point kStart =
    std::chrono::steady_clock::now();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

sockaddr_in SocketAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Parses the lines of a head after the first one.
void ParseHeaders(const std::string& head,
                  std::map<std::string, std::string>& headers) {
  size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = end;
  }
}

// Reads the head into `head`, without the empty line at its end.
bool ReadHead(Connection& connection, int64_t deadline, std::string& head) {
  size_t end = 0;
  while ((end = connection.buffer().find("\r\n\r\n")) == std::string::npos) {
    if (!connection.ReadMore(deadline)) {
      return false;
    }
  }
  head = connection.buffer().substr(0, end);
  connection.buffer().erase(0, end + 4);
  return true;
}

bool ReadBytes(Connection& connection, int64_t deadline, size_t count,
               std::string& out) {
  while (connection.buffer().size() < count) {
    if (!connection.ReadMore(deadline)) {
      out += connection.buffer();
      return false;
    }
  }
  out += connection.buffer().substr(0, count);
  connection.buffer().erase(0, count);
  return true;
}

bool ReadChunks(Connection& connection, int64_t deadline, std::string& out) {
  while (true) {
    size_t end = 0;
    while ((end = connection.buffer().find("\r\n")) == std::string::npos) {
      if (!connection.ReadMore(deadline)) {
        return false;
      }
    }
    const size_t size = std::strtoul(connection.buffer().c_str(), nullptr, 16);
    connection.buffer().erase(0, end + 2);
    std::string line_end;
    if (size > 0 && !ReadBytes(connection, deadline, size, out)) {
      return false;
    }
    if (!ReadBytes(connection, deadline, 2, line_end)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

Connection::Connection(Connection&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    buffer_ = std::move(other.buffer_);
  }
  return *this;
}

void Connection::Close() {
  if (fd_ >= 0) {
    ::close(fd_);
    fd_ = -1;
  }
}

bool Connection::Open(const Endpoint& to, int64_t timeout_ms) {
  Close();
  buffer_.clear();
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int flags = ::fcntl(fd_, F_GETFL);
  ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in address = SocketAddress(to.ip, to.port);
  int result = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd waiting{fd_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    result = ::poll(&waiting, 1, static_cast<int>(timeout_ms)) == 1 ? 0 : -1;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0 ? result : -1;
  }
  if (result != 0) {
    Close();
    return false;
  }
  ::fcntl(fd_, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool Connection::Send(const std::string& bytes) {
  size_t sent = 0;
  while (fd_ >= 0 && sent < bytes.size()) {
    const ssize_t got =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (got <= 0) {
      return false;
    }
    sent += static_cast<size_t>(got);
  }
  return fd_ >= 0;
}

bool Connection::ReadMore(int64_t deadline) {
  const int64_t left = deadline - NowMs();
  pollfd waiting{fd_, POLLIN, 0};
  if (fd_ < 0 || left <= 0 ||
      ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  std::array<char, 16384> bytes{};
  const ssize_t got = ::recv(fd_, bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  buffer_.append(bytes.data(), static_cast<size_t>(got));
  return true;
}

bool Connection::PeerClosed() {
  pollfd waiting{fd_, POLLIN | POLLRDHUP, 0};
  return fd_ < 0 || (::poll(&waiting, 1, 0) == 1 &&
                     (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

std::string RequestBytes(const std::string& method, const std::string& target,
                         const Headers& headers, const std::string& body) {
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    bytes += name + ": " + value + "\r\n";
  }
  if (!body.empty() || method == "POST" || method == "PUT") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

Response ReadResponse(Connection& connection, int64_t deadline) {
  Response response;
  std::string head;
  if (ReadHead(connection, deadline, head) && head.size() >= 12) {
    response.status = std::atoi(head.c_str() + 9);
    ParseHeaders(head, response.headers);
    const auto length = response.headers.find("content-length");
    if (response.headers["transfer-encoding"] == "chunked") {
      response.complete = ReadChunks(connection, deadline, response.body);
    } else if (length != response.headers.end()) {
      response.complete = ReadBytes(connection, deadline,
                                    std::stoul(length->second), response.body);
    } else {
      while (connection.ReadMore(deadline)) {
      }
      response.body = std::exchange(connection.buffer(), "");
      response.complete = NowMs() < deadline;
    }
  }
  response.ended_ms = NowMs();
  return response;
}

Response Call(const Endpoint& to, const std::string& method,
              const std::string& target, const Headers& headers,
              const std::string& body, int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  Connection connection;
  Headers all = headers;
  const bool has_host =
      std::any_of(headers.begin(), headers.end(),
                  [](const auto& header) { return header.first == "Host"; });
  if (!has_host) {
    all.emplace_back("Host", to.ToString());
  }
  if (!connection.Open(to, std::min<int64_t>(timeout_ms, 1'000)) ||
      !connection.Send(RequestBytes(method, target, all, body))) {
    Response none;
    none.ended_ms = NowMs();
    return none;
  }
  return ReadResponse(connection, deadline);
}

bool ReadRequest(Connection& connection, int64_t deadline, Request& request) {
  std::string head;
  request = {};
  if (!ReadHead(connection, deadline, head)) {
    return false;
  }
  const size_t first = head.find(' ');
  const size_t second = head.find(' ', first + 1);
  request.method = head.substr(0, first);
  request.target = head.substr(first + 1, second - first - 1);
  ParseHeaders(head, request.headers);
  const auto length = request.headers.find("content-length");
  return length == request.headers.end() ||
         ReadBytes(connection, deadline, std::stoul(length->second),
                   request.body);
}

int Listen(const std::string& ip, uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress(ip, port);
  socklen_t size = sizeof(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(fd, 256) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    ::close(fd);
    return -1;
  }
  port = ntohs(address.sin_port);
  return fd;
}

}  // namespace review
