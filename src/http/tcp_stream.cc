#include "http/tcp_stream.h"

#include <Poco/Net/NetException.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr size_t kReadBytes = 16'384;
// An empty buffer keeps at most this much memory, so that thousands of idle
// connections do not each keep the size of their largest message.
constexpr size_t kKeptBufferBytes = 1'024;
// A connection fails when the peer acknowledges no sent data for this long.
// This is shorter than the stall after which callers abandon a stream, so that
// the stream can still be resumed in time.
constexpr int kUserTimeoutMs = 2'500;
// An idle connection is probed after kKeepAliveIdleS seconds and then every
// kKeepAliveIntervalS seconds.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

void ReleaseEmpty(std::string &buffer) {
  if (buffer.empty() && buffer.capacity() > kKeptBufferBytes) {
    std::string().swap(buffer);
  }
}

// Returns whether a read or a write that failed with this error may succeed
// later.
bool IsTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void SetOption(int fd, int level, int option, int value) {
  ::setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

TcpStream::TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                     Callbacks callbacks)
    : loop_(loop),
      socket_(socket),
      callbacks_(std::move(callbacks)),
      connected_(true) {
  socket_.setBlocking(false);
  SetSocketOptions();
  loop_.Watch(socket_.impl()->sockfd(), this, true, false);
}

TcpStream::TcpStream(EventLoop &loop, const Address &address,
                     Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {
  try {
    socket_.connectNB(Poco::Net::SocketAddress(address.ip, address.port));
    SetSocketOptions();
    wants_write_ = true;
    loop_.Watch(socket_.impl()->sockfd(), this, true, true);
  } catch (const Poco::Net::ConnectionRefusedException &) {
    FailToConnect(StreamEnd::kRefused);
  } catch (const Poco::Exception &e) {
    LogWarn("connect_failed",
            {{"address", address.ToString()}, {"reason", e.displayText()}});
    FailToConnect(StreamEnd::kBroken);
  }
}

void TcpStream::FailToConnect(StreamEnd end) {
  open_ = false;
  loop_.Post([this, end, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock() && callbacks_.on_end) {
      callbacks_.on_end(end);
    }
  });
}

TcpStream::~TcpStream() {
  if (open_) {
    loop_.Unwatch(socket_.impl()->sockfd());
  }
}

void TcpStream::SetSocketOptions() {
  const int fd = socket_.impl()->sockfd();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

void TcpStream::Write(std::string_view data) {
  if (!open_) {
    return;
  }
  const bool idle = unsent() == 0;
  // A buffer that is never empty would otherwise keep all that it has sent. The
  // condition bounds the bytes moved by the bytes sent.
  if (output_sent_ > unsent()) {
    output_.erase(0, output_sent_);
    output_sent_ = 0;
  }
  output_.append(data);
  if (idle && connected_) {
    Flush();
  }
}

void TcpStream::Flush() {
  while (unsent() > 0) {
    const ssize_t sent =
        ::send(socket_.impl()->sockfd(), output_.data() + output_sent_,
               unsent(), MSG_NOSIGNAL);
    if (sent < 0) {
      // If the connection is broken, epoll also reports an error event.
      write_failed_ = write_failed_ || !IsTransient(errno);
      break;
    }
    output_sent_ += static_cast<size_t>(sent);
  }
  if (unsent() == 0) {
    output_.clear();
    output_sent_ = 0;
    ReleaseEmpty(output_);
  }
  UpdateInterest();
}

void TcpStream::UpdateInterest() {
  const bool write = unsent() > 0 || !connected_;
  if (write != wants_write_ && open_) {
    wants_write_ = write;
    loop_.SetInterest(socket_.impl()->sockfd(), !paused_ && !input_ended_,
                      wants_write_);
  }
}

void TcpStream::PauseInput(bool paused) {
  if (paused != paused_ && open_) {
    paused_ = paused;
    loop_.SetInterest(socket_.impl()->sockfd(), !paused_ && !input_ended_,
                      wants_write_);
  }
}

void TcpStream::Close() {
  if (!open_) {
    return;
  }
  open_ = false;
  loop_.Unwatch(socket_.impl()->sockfd());
  socket_.close();
}

void TcpStream::ShutdownWrite() {
  if (open_) {
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
  }
}

void TcpStream::CloseAndNotify(StreamEnd end) {
  Close();
  if (callbacks_.on_end) {
    const auto callback = callbacks_.on_end;
    callback(end);
  }
}

void TcpStream::OnReady(bool readable, bool writable, bool failed) {
  const std::weak_ptr<bool> alive = alive_;
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (failed && !writable)) {
      CloseAndNotify(error == ECONNREFUSED ? StreamEnd::kRefused
                                           : StreamEnd::kBroken);
      return;
    }
    if (!writable) {
      return;
    }
    connected_ = true;
    Flush();
    if (callbacks_.on_connected) {
      callbacks_.on_connected();
      if (!alive.lock() || !open_) {
        return;
      }
    }
  }
  if (writable && unsent() > 0) {
    Flush();
    if (unsent() == 0 && callbacks_.on_drained) {
      callbacks_.on_drained();
      if (!alive.lock() || !open_) {
        return;
      }
    }
  }
  if (input_ended_) {
    if (failed || write_failed_) {
      CloseAndNotify(StreamEnd::kBroken);
    } else if (unsent() == 0) {
      CloseAndNotify(StreamEnd::kClosed);
    }
    return;
  }
  if (readable || failed) {
    ReadOnce();
  }
}

void TcpStream::ReadOnce() {
  const std::weak_ptr<bool> alive = alive_;
  std::array<char, kReadBytes> buffer;
  const ssize_t got =
      ::recv(socket_.impl()->sockfd(), buffer.data(), buffer.size(), 0);
  if (got > 0) {
    input_.append(buffer.data(), static_cast<size_t>(got));
    const auto callback = callbacks_.on_input;
    callback();
    if (alive.lock()) {
      ReleaseEmpty(input_);
    }
    return;
  }
  if (got == 0) {
    OnInputEnd();
  } else if (!IsTransient(errno)) {
    CloseAndNotify(StreamEnd::kBroken);
  }
}

void TcpStream::OnInputEnd() {
  if (write_failed_) {
    CloseAndNotify(StreamEnd::kBroken);
    return;
  }
  if (unsent() > 0 && callbacks_.sends_after_input &&
      callbacks_.sends_after_input()) {
    // The end of the input stays readable and would make the loop spin.
    input_ended_ = true;
    loop_.SetInterest(socket_.impl()->sockfd(), false, wants_write_);
    return;
  }
  CloseAndNotify(StreamEnd::kClosed);
}

}  // namespace sequoialb
