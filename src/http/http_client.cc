#include "http/http_client.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr size_t kMaxHeadBytes = 65'536;
// A call fails after this many bytes of interim responses and of answers to
// other requests, because a failing server may send them without end.
constexpr size_t kMaxSkippedBytes = 262'144;
// Idle connections kept for one backend server.
constexpr size_t kMaxIdlePerServer = 16;
// Longest time for which an idle connection is kept. The server's Keep-Alive
// timeout can shorten it.
constexpr milliseconds kMaxIdleTime{10'000};
// A connection that has carried this many calls is closed, so that the calls
// that it remembers are all that it has carried.
constexpr size_t kMaxCallsPerConnection = 256;
// Fraction of the server's Keep-Alive timeout for which a connection is kept.
constexpr double kIdleTimeoutFraction = 0.7;

// Returns N of "timeout=N" in the Keep-Alive field, in seconds.
std::optional<uint64_t> KeepAliveSeconds(const HttpHeaders& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* field = headers.Find("Keep-Alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  const size_t begin = field->find(kTimeout);
  const std::string_view value =
      begin == std::string::npos
          ? std::string_view{*field}
          : std::string_view{*field}.substr(begin + kTimeout.size());
  return ParseDecimal(value.substr(0, value.find_first_not_of("0123456789")));
}

}  // namespace

// A connection to a backend server. It runs one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(HttpClient& client, const Address& address)
      : client_(client),
        loop_(client.loop_),
        address_(address.ToString()),
        stream_(
            client.loop_, address,
            {.on_input = [this] { OnInput(); },
             .on_end = [this](StreamEnd end) { OnEnd(end); },
             .on_connected = [this] { OnConnected(); },
             .sends_after_input = [this] { return EndsWithConnection(); }}) {}

  ~ClientConnection() { loop_.Cancel(timer_); }

  const std::string& address() const { return address_; }

  // Returns whether a request with this id has been sent on the connection.
  // Requests without an id, such as health checks, are not told apart.
  bool HasCarried(const std::string& request_id) const {
    return !request_id.empty() &&
           std::find(carried_.begin(), carried_.end(), Hash64(request_id)) !=
               carried_.end();
  }

  void StartCall(CallOptions options, CallEvents events) {
    options_ = std::move(options);
    events_ = std::move(events);
    active_ = true;
    carried_.push_back(Hash64(options_.request_id));
    mismatched_ = false;
    skipped_bytes_ = 0;
    head_.reset();
    if (!stream_.connected()) {
      timer_ = loop_.RunAt(options_.connect_deadline, [this] {
        timer_ = 0;
        Fail(CallFailure::kUnreachable);
      });
      return;
    }
    stream_.Write(options_.request);
    // The stream has a copy of what it has not sent.
    std::string().swap(options_.request);
  }

  void Cancel() {
    if (active_) {
      active_ = false;
      Close();
    }
  }

  void Close() {
    loop_.Cancel(timer_);
    timer_ = 0;
    stream_.Close();
    loop_.ReleaseAfterIteration(shared_from_this());
  }

  void Pause(bool paused) {
    if (active_) {
      stream_.PauseInput(paused);
    }
  }

 private:
  void OnConnected() {
    loop_.Cancel(timer_);
    timer_ = 0;
    if (events_.on_connected) {
      events_.on_connected();
    }
    if (active_ && options_.may_send && !options_.may_send()) {
      Fail(CallFailure::kWithheld);
      return;
    }
    stream_.Write(options_.request);
  }

  void OnInput() {
    if (!active_) {
      // Bytes that belong to no call: the connection cannot be reused.
      client_.mismatched_answers_.Add();
      client_.RemoveIdle(this);
      return;
    }
    const auto self = shared_from_this();
    while (active_ && !stream_.input().empty()) {
      const size_t before = stream_.input().size();
      if (!head_) {
        ReadHead();
      }
      if (active_ && head_) {
        ReadBody();
      }
      if (active_ && stream_.input().size() == before) {
        return;
      }
    }
  }

  void ReadHead() {
    std::string& input = stream_.input();
    const auto size = HeadSize(input);
    if (!size) {
      if (input.size() > kMaxHeadBytes) {
        Fail(CallFailure::kFaulty);
      }
      return;
    }
    auto head = ParseResponseHead(std::string_view{input}.substr(0, *size),
                                  options_.head_request);
    if (!head) {
      LogWarn("answer_malformed",
              {{"backend", address_}, {"reason", head.error().detail}});
      Fail(CallFailure::kFaulty);
      return;
    }
    input.erase(0, *size);
    if (head->status < 200) {
      Skip(*size);
      return;
    }
    const NamedRequest named =
        RequestNamedBy(*head, options_.request_id_header, options_.request_id);
    mismatched_ = named == NamedRequest::kOther;
    head->attributed = named != NamedRequest::kNone || carried_.size() == 1;
    decoder_.emplace(head->framing, head->length);
    head_ = std::move(*head);
    if (mismatched_) {
      client_.mismatched_answers_.Add();
      not_reusable_ = true;
      LogWarn(
          "answer_of_another_request",
          {{"backend", address_},
           {"request", options_.request_id},
           {"answer_to", *head_->headers.Find(options_.request_id_header)}});
    } else {
      events_.on_head(*head_);
    }
    if (mismatched_ && !Skip(*size)) {
      return;
    }
    if (active_ && decoder_->state() == BodyDecoder::State::kDone) {
      OnBodyDone();
    }
  }

  void ReadBody() {
    std::string& input = stream_.input();
    std::string data;
    const size_t used = decoder_->Feed(input, data);
    input.erase(0, used);
    if (mismatched_ && !Skip(used)) {
      return;
    }
    if (!data.empty() && !mismatched_) {
      events_.on_data(data);
      if (!active_) {
        return;
      }
    }
    if (decoder_->state() == BodyDecoder::State::kMalformed) {
      Fail(CallFailure::kFaulty);
    } else if (decoder_->state() == BodyDecoder::State::kDone) {
      OnBodyDone();
    }
  }

  // Whether only the end of the connection shows that the response is complete.
  // A server may end it before it has read the request; one that crashes does
  // so too, but then resets the connection when more of the request arrives.
  bool EndsWithConnection() const {
    return active_ && head_ && !mismatched_ &&
           head_->framing == BodyFraming::kUntilClose;
  }

  // Counts bytes that are no part of the call's answer. Fails the call and
  // returns false when there are too many.
  bool Skip(size_t bytes) {
    skipped_bytes_ += bytes;
    if (skipped_bytes_ <= kMaxSkippedBytes) {
      return true;
    }
    LogWarn("answer_without_end",
            {{"backend", address_}, {"request", options_.request_id}});
    Fail(CallFailure::kFaulty);
    return false;
  }

  void OnBodyDone() {
    if (mismatched_) {
      head_.reset();
      mismatched_ = false;
      return;
    }
    active_ = false;
    const bool reusable = head_->keep_alive && !not_reusable_ &&
                          carried_.size() < kMaxCallsPerConnection &&
                          stream_.unsent() == 0 && stream_.input().empty();
    const auto complete = std::move(events_.on_complete);
    events_ = {};
    if (reusable) {
      stream_.PauseInput(false);
      milliseconds idle_timeout = kMaxIdleTime;
      if (const auto server_timeout_s = KeepAliveSeconds(head_->headers)) {
        idle_timeout =
            std::min(idle_timeout, milliseconds(static_cast<int64_t>(
                                       static_cast<double>(*server_timeout_s) *
                                       1'000 * kIdleTimeoutFraction)));
      }
      client_.AddIdle(shared_from_this(), loop_.now() + idle_timeout);
    } else {
      client_.not_reusable_.Add();
      Close();
    }
    complete();
  }

  void OnEnd(StreamEnd end) {
    loop_.Cancel(timer_);
    timer_ = 0;
    if (!active_) {
      client_.RemoveIdle(this);
      return;
    }
    const bool complete = end == StreamEnd::kClosed && head_ && !mismatched_ &&
                          decoder_->OnConnectionClosed();
    if (complete) {
      not_reusable_ = true;
      OnBodyDone();
      return;
    }
    if (end == StreamEnd::kRefused) {
      Fail(CallFailure::kRefused);
      return;
    }
    Fail(stream_.connected() ? CallFailure::kBroken
                             : CallFailure::kUnreachable);
  }

  void Fail(CallFailure failure) {
    const auto self = shared_from_this();
    active_ = false;
    const auto callback = std::move(events_.on_failure);
    events_ = {};
    Close();
    callback(failure);
  }

  HttpClient& client_;
  // Not reached through `client_`, because a connection may outlive its client
  // until the end of the loop iteration.
  EventLoop& loop_;
  std::string address_;
  TcpStream stream_;
  TimerId timer_ = 0;
  CallOptions options_;
  CallEvents events_;
  std::optional<ResponseHead> head_;
  std::optional<BodyDecoder> decoder_;
  bool active_ = false;
  // Hashes of the ids of the requests that were sent on this connection.
  std::vector<uint64_t> carried_;
  // The response being read belongs to another request.
  bool mismatched_ = false;
  size_t skipped_bytes_ = 0;
  bool not_reusable_ = false;
};

HttpCall::~HttpCall() { connection_->Cancel(); }

void HttpCall::Pause(bool paused) { connection_->Pause(paused); }

HttpClient::HttpClient(EventLoop& loop, Metrics& metrics)
    : loop_(loop),
      opened_(metrics.counter("sequoialb_backend_connections_total")),
      reused_(metrics.counter("sequoialb_backend_reuses_total")),
      mismatched_answers_(
          metrics.counter("sequoialb_backend_stray_answers_total")),
      not_reusable_(metrics.counter("sequoialb_backend_unclean_total")) {}

HttpClient::~HttpClient() {
  for (const auto& [address, connections] : idle_) {
    for (const IdleConnection& idle : connections) {
      idle.connection->Close();
    }
  }
}

std::unique_ptr<HttpCall> HttpClient::Start(const Address& address,
                                            CallOptions options,
                                            CallEvents events) {
  std::deque<IdleConnection>& idle = idle_[address.ToString()];
  while (!idle.empty() && idle.front().expires <= loop_.now()) {
    idle.front().connection->Close();
    idle.pop_front();
  }
  std::shared_ptr<ClientConnection> connection;
  // The connection that was used last is the least likely to be closed.
  const auto usable = std::find_if(
      idle.rbegin(), idle.rend(), [&](const IdleConnection& entry) {
        return entry.since + options.max_idle > loop_.now() &&
               entry.expires > loop_.now() &&
               !entry.connection->HasCarried(options.request_id);
      });
  if (usable != idle.rend()) {
    connection = std::move(usable->connection);
    idle.erase(std::next(usable).base());
    reused_.Add();
  } else {
    connection = std::make_shared<ClientConnection>(*this, address);
    opened_.Add();
  }
  connection->StartCall(std::move(options), std::move(events));
  return std::make_unique<HttpCall>(connection);
}

void HttpClient::AddIdle(const std::shared_ptr<ClientConnection>& connection,
                         TimePoint expires) {
  std::deque<IdleConnection>& idle = idle_[connection->address()];
  idle.push_back({connection, loop_.now(), expires});
  if (idle.size() > kMaxIdlePerServer) {
    idle.front().connection->Close();
    idle.pop_front();
  }
}

void HttpClient::RemoveIdle(ClientConnection* connection) {
  std::deque<IdleConnection>& idle = idle_[connection->address()];
  for (auto it = idle.begin(); it != idle.end(); ++it) {
    if (it->connection.get() == connection) {
      const auto removed = it->connection;
      idle.erase(it);
      removed->Close();
      return;
    }
  }
}

void HttpClient::CloseIdle(const Address& address) {
  const auto found = idle_.find(address.ToString());
  if (found == idle_.end()) {
    return;
  }
  for (const IdleConnection& idle : found->second) {
    idle.connection->Close();
  }
  idle_.erase(found);
}

size_t HttpClient::idle() const {
  size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

}  // namespace sequoialb
