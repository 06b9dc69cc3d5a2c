#include "net.h"

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
#include <cstdlib>

namespace review {
namespace {

constexpr size_t kReadBytes = 65'536;
constexpr int kAcceptWaitMs = 50;
constexpr milliseconds kServerPoll{100};
constexpr milliseconds kBodyTimeout{10'000};

int LeftMs(Clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      deadline - Clock::now() + std::chrono::microseconds(999));
  return static_cast<int>(std::max<int64_t>(0, left.count()));
}

bool Wait(int fd, short events, Clock::time_point deadline) {
  pollfd item{fd, events, 0};
  return ::poll(&item, 1, LeftMs(deadline)) > 0;
}

sockaddr_in Raw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  });
  return text;
}

// Parses the lines after the first one of a head.
Headers ParseHeaders(const std::string& head) {
  Headers headers;
  size_t begin = head.find("\r\n");
  while (begin != std::string::npos && begin + 2 < head.size()) {
    begin += 2;
    const size_t end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, end - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers.emplace_back(
          Lower(line.substr(0, colon)),
          value == std::string::npos ? "" : line.substr(value));
    }
    begin = end;
  }
  return headers;
}

// Moves a body of `length` bytes, or one in chunks, from `bytes` to `body`.
bool ReadBody(const Socket& socket, const Headers& headers, std::string& bytes,
              std::string& body, Clock::time_point deadline) {
  if (Find(headers, "transfer-encoding") != "chunked") {
    const std::string length = Find(headers, "content-length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (bytes.size() < size) {
      if (!socket.Read(bytes, deadline)) {
        return false;
      }
    }
    body = bytes.substr(0, size);
    bytes.erase(0, size);
    return true;
  }
  while (true) {
    size_t line = bytes.find("\r\n");
    while (line == std::string::npos) {
      if (!socket.Read(bytes, deadline)) {
        return false;
      }
      line = bytes.find("\r\n");
    }
    const size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
    while (bytes.size() < line + 2 + size + 2) {
      if (!socket.Read(bytes, deadline)) {
        return false;
      }
    }
    body += bytes.substr(line + 2, size);
    bytes.erase(0, line + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

bool Socket::Connect(const Address& address, Clock::time_point deadline) {
  Close();
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in raw = Raw(address);
  if (::connect(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) ==
      0) {
    return true;
  }
  if (errno != EINPROGRESS || !Wait(fd_, POLLOUT, deadline)) {
    return false;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

bool Socket::Write(const std::string& bytes, Clock::time_point deadline) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
    } else if (errno != EAGAIN || !Wait(fd_, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

bool Socket::Read(std::string& bytes, Clock::time_point deadline) const {
  std::array<char, kReadBytes> buffer;
  while (true) {
    const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
      bytes.append(buffer.data(), static_cast<size_t>(count));
      return true;
    }
    if (count == 0 || errno != EAGAIN || !Wait(fd_, POLLIN, deadline)) {
      return false;
    }
  }
}

bool Socket::PeerHasLeft() const {
  char byte = 0;
  const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK);
  return count == 0 || (count < 0 && errno != EAGAIN);
}

void Socket::Close() {
  if (fd_ >= 0) {
    ::close(fd_);
    fd_ = -1;
  }
}

Listener::Listener(const Address& address)
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in raw = Raw(address);
  socklen_t size = sizeof(raw);
  if (::bind(fd_, reinterpret_cast<const sockaddr*>(&raw), size) != 0 ||
      ::listen(fd_, 1'024) != 0) {
    ::close(fd_);
    fd_ = -1;
    return;
  }
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size);
  port_ = ntohs(raw.sin_port);
}

Listener::~Listener() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

int Listener::Accept() const {
  if (!Wait(fd_, POLLIN, Clock::now() + milliseconds(kAcceptWaitMs))) {
    return -1;
  }
  const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

Response Call(const Address& address, const std::string& method,
              const std::string& target, const Headers& headers,
              const std::string& body, milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  if (Find(headers, "host").empty()) {
    text += "host: " + address.Text() + "\r\n";
  }
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "connection: close\r\n";
  text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  Socket socket;
  if (!socket.Connect(address, deadline) || !socket.Write(text, deadline)) {
    return {};
  }
  std::string bytes;
  size_t end = std::string::npos;
  while (end == std::string::npos) {
    if (!socket.Read(bytes, deadline)) {
      return {};
    }
    end = bytes.find("\r\n\r\n");
  }
  const std::string head = bytes.substr(0, end + 2);
  bytes.erase(0, end + 4);
  Response response;
  response.headers = ParseHeaders(head);
  if (!ReadBody(socket, response.headers, bytes, response.body, deadline)) {
    return {};
  }
  response.status = std::atoi(head.c_str() + std::string("HTTP/1.1 ").size());
  return response;
}

std::string AnswerText(int status, const Headers& headers,
                       const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

bool ReadRequest(const Socket& socket, std::string& rest, Request& request,
                 const std::atomic<bool>& stopping) {
  size_t end = rest.find("\r\n\r\n");
  while (end == std::string::npos) {
    const size_t before = rest.size();
    socket.Read(rest, Clock::now() + kServerPoll);
    if (stopping || (rest.size() == before && socket.PeerHasLeft())) {
      return false;
    }
    end = rest.find("\r\n\r\n");
  }
  const std::string head = rest.substr(0, end + 2);
  rest.erase(0, end + 4);
  const size_t first = head.find(' ');
  const size_t second = head.find(' ', first + 1);
  request.method = head.substr(0, first);
  request.target = head.substr(first + 1, second - first - 1);
  request.headers = ParseHeaders(head);
  request.body.clear();
  return ReadBody(socket, request.headers, rest, request.body,
                  Clock::now() + kBodyTimeout);
}

}  // namespace review
