#include "requests/backend_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <istream>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr seconds kConnectTimeout{1};
constexpr seconds kIdleTimeout{20};
constexpr milliseconds kMinTimeout{10};
constexpr size_t kMaxIdlePerServer = 64;
constexpr size_t kReadBytes = 16U << 10U;
constexpr size_t kMaxBodyBytes = 16U << 20U;
// Bytes that are read after the end of a stream so that its connection can be
// reused; a server that sends more loses the connection.
constexpr size_t kMaxTrailingBytes = 65'536;
constexpr int kFirstServerError = 500;
constexpr int kFirstClientError = 400;

Poco::Timespan ToTimespan(Duration d) {
  return {std::chrono::duration_cast<std::chrono::microseconds>(d).count()};
}

// A session that can connect before its first request, so that the intent to
// send a call that may not be repeated is recorded after the connection is open
// and before the first byte is sent.
class EagerSession : public Poco::Net::HTTPClientSession {
 public:
  explicit EagerSession(const Poco::Net::SocketAddress& target)
      : HTTPClientSession(target) {}
  void ConnectNow(const Poco::Net::SocketAddress& target) { connect(target); }
};

// Ends blocking reads on a socket from another thread. The descriptor stays
// open, so that its number cannot be reused by another connection meanwhile.
void ShutDown(const Poco::Net::StreamSocket& socket) {
  ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
}

// Reads the end of a chunked body whose content is complete, so that the
// connection can be reused. Returns false when the end does not come.
bool SkipToEnd(std::istream& body, TimePoint deadline) {
  for (size_t skipped = 0; skipped < kMaxTrailingBytes; ++skipped) {
    if (body.get() == std::istream::traits_type::eof()) {
      return true;
    }
    if (Clock::now() >= deadline) {
      return false;
    }
  }
  return false;
}

}  // namespace

void BackendClient::SetBlockedDomains(std::vector<std::string> domains) {
  const std::lock_guard<std::mutex> lock(mutex_);
  blocked_domains_ = std::move(domains);
}

bool BackendClient::IsBlocked(const std::string& failure_domain) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::find(blocked_domains_.begin(), blocked_domains_.end(),
                   failure_domain) != blocked_domains_.end();
}

BackendClient::Session BackendClient::TakeIdle(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& sessions = idle_[address];
  while (!sessions.empty()) {
    Session session = std::move(sessions.back());
    sessions.pop_back();
    // A readable idle connection has been closed by the server.
    if (!session->socket().poll(Poco::Timespan(0),
                                Poco::Net::Socket::SELECT_READ)) {
      return session;
    }
  }
  return nullptr;
}

void BackendClient::StoreIdle(const std::string& address, Session session) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& sessions = idle_[address];
  if (sessions.size() < kMaxIdlePerServer) {
    sessions.push_back(std::move(session));
  }
}

BackendClient::Session BackendClient::Connect(const std::string& address) {
  const Poco::Net::SocketAddress target(address);
  auto session = std::make_unique<EagerSession>(target);
  session->setTimeout(ToTimespan(kConnectTimeout));
  session->setKeepAlive(true);
  session->setKeepAliveTimeout(ToTimespan(kIdleTimeout));
  session->ConnectNow(target);
  session->socket().setNoDelay(true);
  return session;
}

AttemptResult BackendClient::Run(const std::shared_ptr<SlotLease>& lease,
                                 const AttemptRequest& request,
                                 const StreamHandler& on_bytes,
                                 const BeforeSend& before_send) {
  AttemptResult result;
  const std::string& address = lease->backend().address();
  Session session = request.idempotent ? TakeIdle(address) : nullptr;
  bool sent = false;
  bool reusable = false;
  try {
    if (IsBlocked(lease->backend().failure_domain())) {
      throw Poco::Net::ConnectionRefusedException(
          "the failure domain of the backend server is blocked");
    }
    if (session == nullptr) {
      session = Connect(address);
    }
    const Poco::Net::StreamSocket socket = session->socket();
    lease->SetInterrupt([socket] { ShutDown(socket); });
    if (before_send && !before_send()) {
      result.outcome = AttemptOutcome::kNotSent;
      lease->SetInterrupt(nullptr);
      return result;
    }
    sent = true;
    Exchange(*session, request, on_bytes, result, reusable);
  } catch (const Poco::Exception& e) {
    result.outcome = sent ? AttemptOutcome::kBroken : AttemptOutcome::kNotSent;
    result.detail = e.displayText();
  } catch (const std::exception& e) {
    result.outcome = AttemptOutcome::kBroken;
    result.detail = e.what();
  }
  lease->SetInterrupt(nullptr);
  if (lease->revoked() && result.outcome != AttemptOutcome::kComplete) {
    result.outcome = AttemptOutcome::kRevoked;
  }
  if (reusable && !lease->revoked()) {
    StoreIdle(address, std::move(session));
  }
  return result;
}

void BackendClient::Exchange(Poco::Net::HTTPClientSession& session,
                             const AttemptRequest& request,
                             const StreamHandler& on_bytes,
                             AttemptResult& result, bool& reusable) {
  const TimePoint begin = Clock::now();
  session.setTimeout(
      ToTimespan(std::max<Duration>(kMinTimeout, request.deadline - begin)));
  Poco::Net::HTTPRequest http(request.method, request.path, "HTTP/1.1");
  http.setContentType(request.content_type);
  http.setContentLength(static_cast<std::streamsize>(request.body.size()));
  http.set("traceparent", request.trace.ToHeader());
  session.sendRequest(http) << request.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& body = session.receiveResponse(response);
  result.first_byte_ms = static_cast<uint32_t>(
      std::max<int64_t>(1, RemainingMs(Clock::now(), begin)));
  result.http_status = response.getStatus();
  result.content_type = response.getContentType();
  const bool streamed =
      on_bytes != nullptr && result.http_status < kFirstClientError;
  std::array<char, kReadBytes> buffer{};
  bool whole = false;
  bool broken = false;
  bool first = true;
  while (!whole && !broken) {
    body.read(buffer.data(), 1);
    std::streamsize count = body.gcount();
    if (count == 0) {
      break;
    }
    count += body.readsome(buffer.data() + 1,
                           static_cast<std::streamsize>(buffer.size() - 1));
    if (first) {
      first = false;
      result.first_byte_ms = static_cast<uint32_t>(
          std::max<int64_t>(1, RemainingMs(Clock::now(), begin)));
    }
    const std::string_view bytes(buffer.data(), static_cast<size_t>(count));
    if (Clock::now() >= request.deadline) {
      // Each read is limited by the deadline, but a server may send a byte at a
      // time without end.
      broken = true;
      result.detail = "the answer did not end before the deadline";
    } else if (streamed) {
      whole = !on_bytes(bytes, broken);
    } else if (result.body.size() + bytes.size() > kMaxBodyBytes) {
      broken = true;
    } else {
      result.body.append(bytes);
    }
  }
  const bool failed = session.networkException() != nullptr || broken;
  const bool short_body =
      response.hasContentLength() && !streamed &&
      result.body.size() != static_cast<size_t>(response.getContentLength64());
  if (result.http_status >= kFirstServerError) {
    result.outcome = AttemptOutcome::kServerError;
  } else if (result.http_status >= kFirstClientError) {
    result.outcome = AttemptOutcome::kRejected;
  } else if (failed || short_body || (streamed && !whole)) {
    result.outcome = AttemptOutcome::kBroken;
  } else {
    result.outcome = AttemptOutcome::kComplete;
    reusable = response.getKeepAlive() && SkipToEnd(body, request.deadline) &&
               session.networkException() == nullptr;
  }
}

}  // namespace sequoialb
