#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace case3 {
namespace {

constexpr milliseconds kTurn{50};

sockaddr_in SocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(endpoint.port));
  ::inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

// Waits until the descriptor is ready; returns false at the deadline.
bool Await(int fd, short events, Clock::time_point deadline) {
  while (true) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    pollfd entry{fd, events, 0};
    const int ready =
        ::poll(&entry, 1, static_cast<int>(std::max<int64_t>(0, left.count())));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

// Appends what has arrived; returns false at the end of the connection.
bool ReadSome(int fd, std::string& bytes) {
  std::array<char, 65536> buffer;
  const ssize_t got = ::recv(fd, buffer.data(), buffer.size(), 0);
  if (got <= 0) {
    return got < 0 && (errno == EAGAIN || errno == EINTR);
  }
  bytes.append(buffer.data(), static_cast<size_t>(got));
  return true;
}

Fields ParseFields(const std::string& head) {
  Fields fields;
  size_t at = head.find("\r\n") + 2;
  while (at < head.size()) {
    const size_t end = head.find("\r\n", at);
    const std::string line = head.substr(at, end - at);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      break;
    }
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    fields.emplace_back(line.substr(0, colon), line.substr(value));
    at = end + 2;
  }
  return fields;
}

// Takes a whole body from the front of `rest`. Returns false while it is not
// there; `ended` says that the connection has ended.
bool TakeBody(const Message& message, std::string& rest, bool ended,
              std::string& body) {
  if (message.Field("Transfer-Encoding") == "chunked") {
    std::string decoded;
    size_t at = 0;
    while (true) {
      const size_t line = rest.find("\r\n", at);
      if (line == std::string::npos) {
        return false;
      }
      const size_t size = std::strtoul(rest.c_str() + at, nullptr, 16);
      if (rest.size() < line + 2 + size + 2) {
        return false;
      }
      decoded += rest.substr(line + 2, size);
      at = line + 2 + size + 2;
      if (size == 0) {
        rest.erase(0, at);
        body = decoded;
        return true;
      }
    }
  }
  const std::string length = message.Field("Content-Length");
  if (length.empty() && message.method.empty()) {
    body = rest;
    return ended;
  }
  const size_t size = std::strtoul(length.c_str(), nullptr, 10);
  if (rest.size() < size) {
    return false;
  }
  body = rest.substr(0, size);
  rest.erase(0, size);
  return true;
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  for (const auto& [field, value] : fields) {
    if (::strcasecmp(field.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

int ConnectTo(const Endpoint& to, milliseconds timeout) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(to);
  ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  int error = 0;
  socklen_t size = sizeof(error);
  if (!Await(fd, POLLOUT, Clock::now() + timeout) ||
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

bool WriteAll(int fd, const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent =
        ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent > 0) {
      done += static_cast<size_t>(sent);
    } else if (errno != EAGAIN && errno != EINTR) {
      return false;
    } else if (!Await(fd, POLLOUT, Clock::now() + milliseconds(5'000))) {
      return false;
    }
  }
  return true;
}

Message Ask(const Endpoint& to, const std::string& method,
            const std::string& target, const Fields& fields,
            const std::string& body, milliseconds timeout,
            const std::function<void()>& sent) {
  const Clock::time_point deadline = Clock::now() + timeout;
  const int fd = ConnectTo(to, std::min(timeout, milliseconds(1'000)));
  if (fd < 0) {
    return {};
  }
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    bytes += name + ": " + value + "\r\n";
  }
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  Message answer;
  std::string rest;
  bool ended = !WriteAll(fd, bytes);
  if (!ended && sent) {
    sent();
  }
  bool has_head = false;
  while (true) {
    const size_t end = has_head ? 0 : rest.find("\r\n\r\n");
    if (!has_head && end != std::string::npos) {
      const std::string head = rest.substr(0, end + 2);
      rest.erase(0, end + 4);
      answer.status = std::atoi(head.c_str() + 9);
      answer.fields = ParseFields(head);
      has_head = answer.status >= 200;
      continue;
    }
    if (has_head && TakeBody(answer, rest, ended, answer.body)) {
      break;
    }
    if (ended || !Await(fd, POLLIN, deadline)) {
      answer = {};
      break;
    }
    ended = !ReadSome(fd, rest);
  }
  ::close(fd);
  return answer;
}

bool ReadRequest(int fd, std::string& rest, Message& request,
                 const std::atomic<bool>& stopping) {
  request = {};
  bool has_head = false;
  while (!stopping) {
    const size_t end = has_head ? 0 : rest.find("\r\n\r\n");
    if (!has_head && end != std::string::npos) {
      const std::string head = rest.substr(0, end + 2);
      rest.erase(0, end + 4);
      const size_t first = head.find(' ');
      const size_t second = head.find(' ', first + 1);
      request.method = head.substr(0, first);
      request.target = head.substr(first + 1, second - first - 1);
      request.fields = ParseFields(head);
      has_head = true;
      continue;
    }
    if (has_head && TakeBody(request, rest, false, request.body)) {
      return true;
    }
    if (Await(fd, POLLIN, Clock::now() + kTurn) && !ReadSome(fd, rest)) {
      return false;
    }
  }
  return false;
}

bool PeerLeft(int fd) {
  char byte = 0;
  const ssize_t got = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

Server::Server(const std::string& ip, std::function<void(int)> serve)
    : serve_(std::move(serve)) {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress({ip, 0});
  ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  ::listen(fd_, 256);
  socklen_t size = sizeof(address);
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  endpoint_ = {ip, ntohs(address.sin_port)};
  acceptor_ = std::thread([this] {
    while (!stopping_) {
      if (!Await(fd_, POLLIN, Clock::now() + kTurn)) {
        continue;
      }
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      ++open_;
      std::thread([this, fd] {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        serve_(fd);
        ::close(fd);
        --open_;
      }).detach();
    }
  });
}

Server::~Server() {
  stopping_ = true;
  acceptor_.join();
  while (open_ > 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  ::close(fd_);
}

}  // namespace case3
