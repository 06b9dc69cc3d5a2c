#include "requests/backend_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

#include <algorithm>

#include "base/hash.h"
#include "http/message.h"
#include "http/response_reader.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr seconds kConnectTimeout{1};
constexpr seconds kIdleTimeout{20};
constexpr size_t kMaxIdlePerServer = 64;
constexpr size_t kMaxBodyBytes = 16U << 20U;
// Bytes that are read after the end of a stream so that its connection can be
// reused; a server that sends more loses the connection.
constexpr size_t kMaxTrailingBytes = 65'536;
// An attempt fails after this many bytes of heads and of answers to other
// attempts.
constexpr size_t kMaxSkippedBytes = 256U << 10U;
constexpr size_t kAttemptIdBytes = 8;
constexpr int kFirstServerError = 500;
constexpr int kFirstClientError = 400;

Poco::Net::StreamSocket Connect(const std::string& address) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(address),
                 TimeLeft(Clock::now() + kConnectTimeout));
  socket.setNoDelay(true);
  return socket;
}

std::string RequestBytes(const AttemptRequest& request,
                         const std::string& address, const std::string& id) {
  return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + address +
         "\r\nContent-Type: " + request.content_type +
         "\r\ntraceparent: " + request.trace.ToHeader() + "\r\n" +
         kAttemptHeader + ": " + id +
         "\r\nContent-Length: " + std::to_string(request.body.size()) +
         "\r\n\r\n" + request.body;
}

// Reads the answer to one attempt from a blocking connection.
class AnswerReader {
 public:
  AnswerReader(Poco::Net::StreamSocket& socket, TimePoint deadline)
      : response_(socket, deadline) {}

  // Reads the head of the answer to the attempt, after any answers to other
  // attempts. Fails if the head names no attempt and the connection has carried
  // others.
  Result<ResponseHead> ReadHead(const std::string& id, bool reused) {
    while (true) {
      auto head = response_.ReadHead();
      if (!head) {
        return head;
      }
      named_ = RequestNamedBy(*head, kAttemptHeader, id);
      if (named_ == NamedRequest::kNone && reused) {
        return Fail(ErrorCode::kBackendFailed,
                    "the answer on a kept connection names no request");
      }
      if (named_ != NamedRequest::kOther) {
        return head;
      }
      if (!other_answers_) {
        LogWarn("answer_of_another_request",
                {{"request", id},
                 {"answer_to", *head->headers.Find(kAttemptHeader)}});
      }
      other_answers_ = true;
      if (response_.skipped() > kMaxSkippedBytes ||
          !response_.SkipBody(kMaxSkippedBytes - response_.skipped())) {
        return Fail(ErrorCode::kBackendFailed,
                    "answers to other requests do not end");
      }
    }
  }

  Result<std::string> ReadBody() { return response_.ReadBody(); }
  bool SkipBody(size_t max_bytes) { return response_.SkipBody(max_bytes); }

  // The answer was the only one and named the attempt, nothing follows it, and
  // the connection is open.
  bool connection_clean() const {
    return named_ == NamedRequest::kThis && !other_answers_ &&
           response_.clean();
  }

 private:
  ResponseReader response_;
  NamedRequest named_ = NamedRequest::kNone;
  bool other_answers_ = false;
};

// Ends blocking reads on a socket from another thread. The descriptor stays
// open, so that its number cannot be reused by another connection meanwhile.
void ShutDown(const Poco::Net::StreamSocket& socket) {
  ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
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

std::optional<Poco::Net::StreamSocket> BackendClient::TakeIdle(
    const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& connections = idle_[address];
  while (!connections.empty()) {
    const IdleConnection idle = connections.back();
    connections.pop_back();
    // A readable idle connection has been closed by the server.
    if (Clock::now() < idle.expires &&
        !idle.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return idle.socket;
    }
  }
  return std::nullopt;
}

void BackendClient::StoreIdle(const std::string& address,
                              const Poco::Net::StreamSocket& socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& connections = idle_[address];
  if (connections.size() < kMaxIdlePerServer) {
    connections.push_back({socket, Clock::now() + kIdleTimeout});
  }
}

AttemptResult BackendClient::Run(const std::shared_ptr<SlotLease>& lease,
                                 const AttemptRequest& request,
                                 const StreamHandler& on_bytes,
                                 const BeforeSend& before_send) {
  AttemptResult result;
  const std::string& address = lease->backend().address();
  std::optional<Poco::Net::StreamSocket> socket;
  bool sent = false;
  bool reusable = false;
  try {
    if (IsBlocked(lease->backend().failure_domain())) {
      throw Poco::Net::ConnectionRefusedException(
          "the failure domain of the backend server is blocked");
    }
    if (request.idempotent) {
      socket = TakeIdle(address);
    }
    const bool reused = socket.has_value();
    if (!socket) {
      socket = Connect(address);
    }
    lease->SetInterrupt([socket = *socket] { ShutDown(socket); });
    if (before_send && !before_send()) {
      result.outcome = AttemptOutcome::kNotSent;
      lease->SetInterrupt(nullptr);
      return result;
    }
    sent = true;
    reusable = Exchange(*socket, reused, address, request, on_bytes, result);
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
    StoreIdle(address, *socket);
  }
  return result;
}

bool BackendClient::Exchange(Poco::Net::StreamSocket& socket, bool reused,
                             const std::string& address,
                             const AttemptRequest& request,
                             const StreamHandler& on_bytes,
                             AttemptResult& result) {
  const TimePoint begin = Clock::now();
  const auto note_first_byte = [&] {
    result.first_byte_ms = static_cast<uint32_t>(
        std::max<int64_t>(1, RemainingMs(Clock::now(), begin)));
  };
  socket.setSendTimeout(TimeLeft(request.deadline));
  const std::string id = RandomHex(kAttemptIdBytes);
  SendAll(socket, RequestBytes(request, address, id));
  AnswerReader answer(socket, request.deadline);
  const auto head = answer.ReadHead(id, reused);
  if (!head) {
    result.outcome = AttemptOutcome::kBroken;
    result.detail = head.error().detail;
    return false;
  }
  note_first_byte();
  result.http_status = head->status;
  const std::string* content_type = head->headers.Find("Content-Type");
  result.content_type = content_type == nullptr ? "" : *content_type;
  const bool streamed =
      on_bytes != nullptr && result.http_status < kFirstClientError;
  bool content_complete = false;
  bool broken = false;
  for (bool first = true; !content_complete && !broken; first = false) {
    const auto data = answer.ReadBody();
    if (!data) {
      broken = true;
      result.detail = data.error().detail;
      break;
    }
    if (data->empty()) {
      break;
    }
    if (first) {
      note_first_byte();
    }
    if (streamed) {
      content_complete = !on_bytes(*data, broken);
    } else if (result.body.size() + data->size() > kMaxBodyBytes) {
      broken = true;
      result.detail = "the body does not end";
    } else {
      result.body.append(*data);
    }
  }
  if (broken || (streamed && !content_complete)) {
    result.outcome = AttemptOutcome::kBroken;
  } else if (result.http_status >= kFirstServerError) {
    result.outcome = AttemptOutcome::kServerError;
  } else if (result.http_status >= kFirstClientError) {
    result.outcome = AttemptOutcome::kRejected;
  } else {
    result.outcome = AttemptOutcome::kComplete;
    // A connection that is not kept needs no reading to the end of the body.
    return head->keep_alive && answer.SkipBody(kMaxTrailingBytes) &&
           answer.connection_clean();
  }
  return false;
}

}  // namespace sequoialb
