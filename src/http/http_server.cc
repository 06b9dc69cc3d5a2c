#include "http/http_server.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr int kBacklog = 1'024;
// Connections accepted in one loop iteration; the limit leaves time for open
// connections.
constexpr int kMaxAcceptsPerIteration = 64;
// Input buffered behind the request in progress before the server pauses
// reading.
constexpr size_t kMaxPipelinedBytes = 65'536;
// How long a closing connection waits for the peer to close. Closing earlier
// could reset the connection and lose the response.
constexpr milliseconds kLingerTimeout{500};
// A body must grow by this many bytes within each idle timeout (68 bytes a
// second with the default of 15 s), which any link that carries calls does.
constexpr size_t kMinBodyProgress = 1'024;
// Memory of a connection besides its buffers: the objects of the connection,
// its stream and its timer.
constexpr size_t kConnectionBytes = 2'048;
// How long a listener waits before it accepts again when all connections carry
// accepted requests. Requests take longer than this on average.
constexpr milliseconds kAcceptPause{50};
// Interval of the log lines about closed connections, of each listener.
constexpr milliseconds kBudgetLogInterval{1'000};

}  // namespace

// A connection from a caller.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpServer &server, const Poco::Net::StreamSocket &socket)
      : server_(server),
        loop_(server.loop_),
        stream_(server.loop_, socket,
                {.on_input = [this] { OnInput(); },
                 .on_end = [this](StreamEnd) { OnEnd(); },
                 .on_drained = [this] { OnDrained(); }}),
        resources_(server.resources_),
        id_(resources_->Add(this, server.limits_.clients, loop_.now())) {
    SetDeadline(server_.limits_.header_timeout);
    UpdateHeld();
  }

  ~HttpConnection() {
    loop_.Cancel(timer_);
    resources_->Remove(id_);
    DropExchange();
  }

  bool busy() const {
    return exchange_ != nullptr || head_.has_value() || stream_.unsent() > 0;
  }
  size_t unsent() const { return stream_.unsent(); }

  void WriteHead(int status, const HttpHeaders &headers, bool chunked,
                 std::optional<uint64_t> length) {
    const bool keep_open = KeepsOpen();
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " +
                      std::string(ReasonPhrase(status)) + "\r\n";
    for (const HttpHeader &header : headers.fields()) {
      out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (chunked) {
      out += "Transfer-Encoding: chunked\r\n";
    } else if (length) {
      out += "Content-Length: " + std::to_string(*length) + "\r\n";
    }
    if (!keep_open) {
      out += "Connection: close\r\n";
      close_after_response_ = true;
    }
    out += "\r\n";
    Write(out);
  }

  void Write(std::string_view data) {
    stream_.Write(data);
    UpdateHeld();
  }

  // Ends the exchange after its complete response has been written.
  void Complete() {
    exchange_.reset();
    head_bytes_ = 0;
    resources_->SetPhase(id_, ConnectionPhase::kIdle, loop_.now());
    if (close_after_response_) {
      StartLingeringClose();
      return;
    }
    SetDeadline(server_.limits_.idle_timeout);
    if (stream_.unsent() > 0) {
      // The next request is read when the client has read this response, so
      // that a client that reads nothing costs one response.
      AwaitReader();
      stream_.PauseInput(true);
      return;
    }
    ReadNextRequest();
  }

  // The response is complete and the client has not read all of it.
  void AwaitReader() {
    resources_->SetPhase(id_, ConnectionPhase::kUnread, loop_.now());
    UpdateHeld();
    output_at_deadline_ = stream_.unsent();
    SetDeadline(server_.limits_.idle_timeout);
  }

  void ReadNextRequest() {
    UpdateHeld();
    if (stream_.input().empty()) {
      stream_.PauseInput(false);
      return;
    }
    // Posted rather than called, so that a handler that responds immediately
    // does not recurse once for each pipelined request.
    loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->stream_.PauseInput(false);
        self->OnInput();
      }
    });
  }

  void Abort() {
    exchange_.reset();
    Remove();
  }

  // Closes the connection if it is idle. A busy connection closes after its
  // response if the response starts during the drain.
  void Drain() {
    if (!busy() && stream_.input().empty()) {
      Remove();
    }
  }

  void Close() { Remove(); }

  // Frees the memory of a request that is not complete, which is refused as not
  // run, or of a response that the client does not read.
  void CloseForMemory() {
    LogBudgetClose("memory");
    server_.closed_for_memory_.Add();
    if (reading_request_) {
      Refuse(503);
    } else {
      Remove();
    }
  }

  // Closes a connection without an accepted request immediately.
  void CloseForConnection() {
    LogBudgetClose("connections");
    server_.closed_for_connections_.Add();
    Remove();
  }

 private:
  // At most one line a second for each listener.
  void LogBudgetClose(const char *reason) const {
    if (loop_.now() < server_.next_budget_log_at_) {
      return;
    }
    server_.next_budget_log_at_ = loop_.now() + kBudgetLogInterval;
    LogWarn(
        "client_closed",
        {{"short_of", reason},
         {"held_bytes", std::to_string(resources_->budget().bytes())},
         {"connections", std::to_string(resources_->budget().connections())}});
  }

  // Reports the memory that the connection holds.
  void UpdateHeld() {
    const size_t accepted =
        exchange_ == nullptr ? 0 : exchange_->body().capacity();
    resources_->SetBytes(id_, kConnectionBytes + stream_.buffered_bytes() +
                                  head_bytes_ + body_.capacity() + accepted +
                                  (decoder_ ? decoder_->held_bytes() : 0));
  }
  bool KeepsOpen() const {
    return !server_.draining_ && exchange_ != nullptr &&
           exchange_->head().keep_alive;
  }

  // The connection must advance until `wait` from now. A timer that runs before
  // the deadline is kept and set again when it fires.
  void SetDeadline(milliseconds wait) {
    deadline_ = loop_.now() + wait;
    if (timer_ != 0 && timer_at_ > deadline_) {
      loop_.Cancel(timer_);
      timer_ = 0;
    }
    if (timer_ == 0) {
      timer_at_ = deadline_;
      timer_ = loop_.RunAt(timer_at_, [this] { OnTimeout(); });
    }
  }

  void OnTimeout() {
    timer_ = 0;
    if (exchange_ != nullptr) {
      return;
    }
    if (loop_.now() < deadline_) {
      timer_at_ = deadline_;
      timer_ = loop_.RunAt(timer_at_, [this] { OnTimeout(); });
      return;
    }
    if (!reading_request_ && stream_.unsent() > 0 &&
        stream_.unsent() < output_at_deadline_) {
      // A slow client that reads its response.
      AwaitReader();
      return;
    }
    if (!closing_ && reading_request_) {
      server_.without_progress_.Add();
      Refuse(408);
      return;
    }
    Remove();
  }

  void OnInput() {
    if (closing_) {
      stream_.input().clear();
      return;
    }
    ReadRequest();
    // Nothing follows, because the budget may close this connection.
    if (!closing_ && resources_->Has(id_)) {
      UpdateHeld();
      resources_->Enforce(loop_.now());
    }
  }

  void ReadRequest() {
    if (exchange_ != nullptr) {
      stream_.PauseInput(stream_.input().size() > kMaxPipelinedBytes);
      return;
    }
    if (!head_ && !ReadHead()) {
      return;
    }
    ReadBody();
  }

  // Returns true once a complete head has been parsed.
  bool ReadHead() {
    std::string &input = stream_.input();
    if (!reading_request_) {
      // Empty lines between requests are allowed.
      const size_t begin = input.find_first_not_of("\r\n");
      input.erase(0, begin);
      if (input.empty()) {
        return false;
      }
      reading_request_ = true;
      resources_->SetPhase(id_, ConnectionPhase::kUnfinished, loop_.now());
      SetDeadline(server_.limits_.header_timeout);
    }
    const auto size = HeadSize(input);
    if (size.value_or(input.size()) > server_.limits_.max_header_bytes) {
      Refuse(431);
      return false;
    }
    if (!size) {
      return false;
    }
    auto head = ParseRequestHead(std::string_view{input}.substr(0, *size));
    if (!head) {
      LogInfo("request_malformed", {{"reason", head.error().detail}});
      Refuse(400);
      return false;
    }
    if (head->framing == BodyFraming::kLength &&
        head->length > server_.limits_.max_body_bytes) {
      Refuse(413);
      return false;
    }
    input.erase(0, *size);
    const std::string *expect = head->headers.Find("Expect");
    if (expect != nullptr && EqualsIgnoringCase(*expect, "100-continue")) {
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    decoder_.emplace(head->framing, head->length);
    // A head of many short fields takes far more memory than its text.
    head_bytes_ =
        *size + head->headers.fields().capacity() * sizeof(HttpHeader);
    head_ = std::move(*head);
    body_.clear();
    body_at_deadline_ = 0;
    SetDeadline(server_.limits_.idle_timeout);
    return true;
  }

  // Makes room for `size` more bytes of body, and no more than the largest body
  // needs: a string on its own would allocate up to twice as much.
  void ReserveBody(size_t size) {
    const size_t needed = body_.size() + size;
    if (needed > body_.capacity()) {
      const size_t largest = head_->framing == BodyFraming::kLength
                                 ? static_cast<size_t>(head_->length)
                                 : server_.limits_.max_body_bytes;
      body_.reserve(std::max(needed, std::min(largest, 2 * body_.capacity())));
    }
  }

  void ReadBody() {
    std::string &input = stream_.input();
    const size_t before = body_.size();
    if (decoder_->state() == BodyDecoder::State::kIncomplete) {
      ReserveBody(decoder_->MaxDecoded(input.size()));
    }
    input.erase(0, decoder_->Feed(input, body_));
    if (decoder_->state() == BodyDecoder::State::kMalformed) {
      Refuse(400);
      return;
    }
    if (body_.size() > server_.limits_.max_body_bytes) {
      Refuse(413);
      return;
    }
    if (decoder_->state() != BodyDecoder::State::kDone) {
      if (body_.size() > before) {
        resources_->RecordProgress(id_, loop_.now());
      }
      if (body_.size() >= body_at_deadline_ + kMinBodyProgress) {
        body_at_deadline_ = body_.size();
        SetDeadline(server_.limits_.idle_timeout);
      }
      return;
    }
    loop_.Cancel(timer_);
    timer_ = 0;
    resources_->SetPhase(id_, ConnectionPhase::kAccepted, loop_.now());
    exchange_ = std::make_shared<HttpExchange>(this, std::move(*head_),
                                               std::move(body_), loop_.now());
    head_.reset();
    decoder_.reset();
    body_ = {};
    reading_request_ = false;
    const std::shared_ptr<HttpExchange> exchange = exchange_;
    server_.handler_(exchange);
  }

  // Sends an error response without a body and closes the connection. For
  // requests that are malformed, too large or too slow.
  void Refuse(int status) {
    server_.malformed_.Add();
    head_.reset();
    decoder_.reset();
    head_bytes_ = 0;
    std::string().swap(body_);
    reading_request_ = false;
    HttpHeaders headers;
    if (status == 503) {
      headers.Add("Retry-After", "1");
    }
    WriteHead(status, headers, false, 0);
    StartLingeringClose();
  }

  void StartLingeringClose() {
    closing_ = true;
    std::string().swap(stream_.input());
    stream_.PauseInput(false);
    if (stream_.unsent() > 0) {
      AwaitReader();
    } else {
      Linger();
    }
  }

  // The response has been sent. Waits until the client closes.
  void Linger() {
    resources_->SetPhase(id_, ConnectionPhase::kIdle, loop_.now());
    UpdateHeld();
    SetDeadline(kLingerTimeout);
    stream_.ShutdownWrite();
  }

  void OnDrained() {
    UpdateHeld();
    if (closing_) {
      Linger();
      return;
    }
    if (exchange_ != nullptr) {
      if (exchange_->on_drained_) {
        exchange_->on_drained_();
      }
      return;
    }
    if (!reading_request_) {
      resources_->SetPhase(id_, ConnectionPhase::kIdle, loop_.now());
      SetDeadline(server_.limits_.idle_timeout);
      ReadNextRequest();
    }
  }

  void OnEnd() {
    const auto self = shared_from_this();
    if (exchange_ != nullptr) {
      const std::shared_ptr<HttpExchange> exchange = std::move(exchange_);
      exchange_.reset();
      exchange->NotifyCallerDisconnect();
    }
    Remove();
  }

  void DropExchange() {
    if (exchange_ != nullptr) {
      exchange_->NotifyCallerDisconnect();
      exchange_.reset();
    }
  }

  void Remove() {
    closing_ = true;
    stream_.Close();
    resources_->Remove(id_);
    server_.Remove(this);
  }

  HttpServer &server_;
  // Not reached through `server_`, because a connection may outlive its server
  // until the end of the loop iteration.
  EventLoop &loop_;
  TcpStream stream_;
  std::shared_ptr<HttpResources> resources_;
  ConnectionBudget::Id id_;
  TimerId timer_ = 0;
  TimePoint timer_at_;
  TimePoint deadline_;
  // The sizes of the body and of the unsent output when the deadline was set.
  size_t body_at_deadline_ = 0;
  size_t output_at_deadline_ = 0;
  // Memory of the parsed head.
  size_t head_bytes_ = 0;
  std::optional<RequestHead> head_;
  std::optional<BodyDecoder> decoder_;
  std::string body_;
  std::shared_ptr<HttpExchange> exchange_;
  bool reading_request_ = false;
  bool close_after_response_ = false;
  bool closing_ = false;
};

void HttpExchange::Respond(int status, const HttpHeaders &headers,
                           std::string_view body) {
  if (connection_ == nullptr) {
    return;
  }
  started_ = true;
  HttpConnection *connection = connection_;
  connection_ = nullptr;
  on_disconnect_ = nullptr;
  connection->WriteHead(status, headers, false, body.size());
  if (head_.method != "HEAD") {
    connection->Write(body);
  }
  connection->Complete();
}

void HttpExchange::Start(int status, const HttpHeaders &headers,
                         std::optional<uint64_t> length) {
  if (connection_ == nullptr) {
    return;
  }
  started_ = true;
  chunked_ = !length;
  connection_->WriteHead(status, headers, chunked_, length);
}

void HttpExchange::Send(std::string_view data) {
  if (connection_ == nullptr || data.empty()) {
    return;
  }
  if (!chunked_) {
    connection_->Write(data);
    return;
  }
  std::string chunk;
  AppendChunk(chunk, data);
  connection_->Write(chunk);
}

void HttpExchange::Finish() {
  if (connection_ == nullptr) {
    return;
  }
  HttpConnection *connection = connection_;
  connection_ = nullptr;
  on_disconnect_ = nullptr;
  if (chunked_) {
    connection->Write("0\r\n\r\n");
  }
  connection->Complete();
}

void HttpExchange::Abort() {
  if (connection_ == nullptr) {
    return;
  }
  HttpConnection *connection = connection_;
  connection_ = nullptr;
  on_disconnect_ = nullptr;
  connection->Abort();
}

size_t HttpExchange::unsent() const {
  return connection_ == nullptr ? 0 : connection_->unsent();
}

void HttpExchange::NotifyCallerDisconnect() {
  connection_ = nullptr;
  on_drained_ = nullptr;
  if (on_disconnect_) {
    const std::function<void()> callback = std::move(on_disconnect_);
    on_disconnect_ = nullptr;
    callback();
  }
}

class HttpServer::Acceptor : public IoHandler {
 public:
  explicit Acceptor(HttpServer &server) : server_(server) {}
  void OnReady(bool, bool, bool) override { server_.Accept(); }

 private:
  HttpServer &server_;
};

ConnectionBudget::Id HttpResources::Add(HttpConnection *connection,
                                        ClientKind kind, TimePoint now) {
  const ConnectionBudget::Id id = budget_.Add(kind, now);
  connections_.emplace(id, connection);
  return id;
}

void HttpResources::Remove(ConnectionBudget::Id id) {
  budget_.Remove(id);
  connections_.erase(id);
}

void HttpResources::Enforce(TimePoint now) {
  while (const auto id = budget_.NextForMemory(now)) {
    connections_.at(*id)->CloseForMemory();
  }
}

void HttpResources::MakeRoom() {
  while (budget_.full()) {
    const auto id = budget_.NextForConnection();
    if (!id) {
      return;
    }
    connections_.at(*id)->CloseForConnection();
  }
}

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits,
                       HttpHandler handler, Metrics &metrics,
                       std::shared_ptr<HttpResources> resources)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      resources_(std::move(resources)),
      accepted_(metrics.counter("sequoialb_http_connections_total")),
      malformed_(metrics.counter("sequoialb_http_malformed_total")),
      without_progress_(
          metrics.counter("sequoialb_http_without_progress_total")),
      closed_for_memory_(
          metrics.counter("sequoialb_http_closed_for_memory_total")),
      closed_for_connections_(
          metrics.counter("sequoialb_http_closed_for_connections_total")) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Open(
    EventLoop &loop, const Address &address, HttpServerLimits limits,
    HttpHandler handler, Metrics &metrics,
    std::shared_ptr<HttpResources> resources) {
  if (resources == nullptr) {
    resources = std::make_shared<HttpResources>(BudgetLimits{});
  }
  std::unique_ptr<HttpServer> server(new HttpServer(
      loop, limits, std::move(handler), metrics, std::move(resources)));
  try {
    server->socket_.bind(Poco::Net::SocketAddress(address.ip, address.port),
                         true);
    server->socket_.listen(kBacklog);
    server->socket_.setBlocking(false);
  } catch (const Poco::Exception &e) {
    return Fail(ErrorCode::kIo,
                "listen on " + address.ToString() + ": " + e.displayText());
  }
  server->acceptor_ = std::make_unique<Acceptor>(*server);
  loop.Watch(server->socket_.impl()->sockfd(), server->acceptor_.get(), true,
             false);
  return server;
}

HttpServer::~HttpServer() {
  StopAccepting();
  connections_.clear();
}

void HttpServer::StopAccepting() {
  if (acceptor_ != nullptr) {
    loop_.Cancel(accept_timer_);
    accept_timer_ = 0;
    loop_.Unwatch(socket_.impl()->sockfd());
    acceptor_.reset();
    socket_.close();
  }
}

bool HttpServer::CloseIfIdle() {
  if (busy() > 0) {
    return false;
  }
  StopAccepting();
  for (const auto &connection : AllConnections()) {
    connection->Close();
  }
  return true;
}

std::vector<std::shared_ptr<HttpConnection>> HttpServer::AllConnections()
    const {
  std::vector<std::shared_ptr<HttpConnection>> all;
  for (const auto &[pointer, connection] : connections_) {
    all.push_back(connection);
  }
  return all;
}

uint16_t HttpServer::port() const { return socket_.address().port(); }

void HttpServer::Accept() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    if (!resources_->HasRoom()) {
      PauseAccepting();
      return;
    }
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE) {
        PauseAccepting();
      }
      return;
    }
    // After accept4, so that a connection is closed only for one that exists.
    resources_->MakeRoom();
    accepted_.Add();
    auto connection = std::make_shared<HttpConnection>(
        *this, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)));
    connections_.emplace(connection.get(), connection);
  }
}

// A listener that cannot accept stays readable, and the loop would spin.
void HttpServer::PauseAccepting() {
  loop_.SetInterest(socket_.impl()->sockfd(), false, false);
  accept_timer_ = loop_.RunAt(loop_.now() + kAcceptPause, [this] {
    accept_timer_ = 0;
    loop_.SetInterest(socket_.impl()->sockfd(), true, false);
  });
}

void HttpServer::Remove(HttpConnection *connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    loop_.ReleaseAfterIteration(std::move(found->second));
    connections_.erase(found);
  }
}

void HttpServer::Drain(TimePoint close_idle_at) {
  draining_ = true;
  loop_.RunAt(close_idle_at, [this] {
    for (const auto &connection : AllConnections()) {
      connection->Drain();
    }
  });
}

size_t HttpServer::busy() const {
  size_t count = 0;
  for (const auto &[pointer, connection] : connections_) {
    count += connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace sequoialb
