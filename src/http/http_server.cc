#include "http/http_server.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

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

}  // namespace

// A connection from a caller.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpServer& server, const Poco::Net::StreamSocket& socket)
      : server_(server),
        loop_(server.loop_),
        stream_(server.loop_, socket,
                {.on_input = [this] { OnInput(); },
                 .on_end = [this](StreamEnd) { OnEnd(); },
                 .on_drained = [this] { OnDrained(); }}) {
    ScheduleTimeout(server_.limits_.header_timeout);
  }

  ~HttpConnection() {
    loop_.Cancel(timer_);
    DropExchange();
  }

  bool busy() const {
    return exchange_ != nullptr || head_.has_value() || stream_.unsent() > 0;
  }
  size_t unsent() const { return stream_.unsent(); }

  void WriteHead(int status, const HttpHeaders& headers, bool chunked,
                 std::optional<uint64_t> length) {
    const bool keep_open = KeepsOpen();
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " +
                      std::string(ReasonPhrase(status)) + "\r\n";
    for (const HttpHeader& header : headers.fields()) {
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
    stream_.Write(out);
  }

  void Write(std::string_view data) { stream_.Write(data); }

  // Ends the exchange after its complete response has been written.
  void Complete() {
    exchange_.reset();
    if (close_after_response_) {
      StartLingeringClose();
      return;
    }
    ScheduleTimeout(server_.limits_.idle_timeout);
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

 private:
  bool KeepsOpen() const {
    return !server_.draining_ && exchange_ != nullptr &&
           exchange_->head().keep_alive;
  }

  void ScheduleTimeout(milliseconds wait) {
    loop_.Cancel(timer_);
    timer_ = loop_.RunAt(loop_.now() + wait, [this] { OnTimeout(); });
  }

  void OnTimeout() {
    timer_ = 0;
    if (exchange_ != nullptr) {
      return;
    }
    if (!closing_ && (head_ || !stream_.input().empty())) {
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
    std::string& input = stream_.input();
    if (!reading_request_) {
      // Empty lines between requests are allowed.
      const size_t begin = input.find_first_not_of("\r\n");
      input.erase(0, begin);
      if (input.empty()) {
        return false;
      }
      reading_request_ = true;
      ScheduleTimeout(server_.limits_.header_timeout);
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
    const std::string* expect = head->headers.Find("Expect");
    if (expect != nullptr && EqualsIgnoringCase(*expect, "100-continue")) {
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    decoder_.emplace(head->framing, head->length);
    head_ = std::move(*head);
    body_.clear();
    ScheduleTimeout(server_.limits_.idle_timeout);
    return true;
  }

  void ReadBody() {
    std::string& input = stream_.input();
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
      return;
    }
    loop_.Cancel(timer_);
    timer_ = 0;
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
    HttpHeaders none;
    WriteHead(status, none, false, 0);
    StartLingeringClose();
  }

  void StartLingeringClose() {
    closing_ = true;
    stream_.input().clear();
    ScheduleTimeout(kLingerTimeout);
    stream_.PauseInput(false);
    if (stream_.unsent() == 0) {
      stream_.ShutdownWrite();
    }
  }

  void OnDrained() {
    if (closing_) {
      stream_.ShutdownWrite();
    }
    if (exchange_ != nullptr && exchange_->on_drained_) {
      exchange_->on_drained_();
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
    stream_.Close();
    server_.Remove(this);
  }

  HttpServer& server_;
  // Not reached through `server_`, because a connection may outlive its server
  // until the end of the loop iteration.
  EventLoop& loop_;
  TcpStream stream_;
  TimerId timer_ = 0;
  std::optional<RequestHead> head_;
  std::optional<BodyDecoder> decoder_;
  std::string body_;
  std::shared_ptr<HttpExchange> exchange_;
  bool reading_request_ = false;
  bool close_after_response_ = false;
  bool closing_ = false;
};

void HttpExchange::Respond(int status, const HttpHeaders& headers,
                           std::string_view body) {
  if (connection_ == nullptr) {
    return;
  }
  started_ = true;
  HttpConnection* connection = connection_;
  connection_ = nullptr;
  on_disconnect_ = nullptr;
  connection->WriteHead(status, headers, false, body.size());
  if (head_.method != "HEAD") {
    connection->Write(body);
  }
  connection->Complete();
}

void HttpExchange::Start(int status, const HttpHeaders& headers,
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
  HttpConnection* connection = connection_;
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
  HttpConnection* connection = connection_;
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
  explicit Acceptor(HttpServer& server) : server_(server) {}
  void OnReady(bool, bool, bool) override { server_.Accept(); }

 private:
  HttpServer& server_;
};

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits,
                       HttpHandler handler, Metrics& metrics)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      accepted_(metrics.counter("sequoialb_http_connections_total")),
      malformed_(metrics.counter("sequoialb_http_malformed_total")) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Open(EventLoop& loop,
                                                     const Address& address,
                                                     HttpServerLimits limits,
                                                     HttpHandler handler,
                                                     Metrics& metrics) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(loop, limits, std::move(handler), metrics));
  try {
    server->socket_.bind(Poco::Net::SocketAddress(address.ip, address.port),
                         true);
    server->socket_.listen(kBacklog);
    server->socket_.setBlocking(false);
  } catch (const Poco::Exception& e) {
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
  for (const auto& connection : AllConnections()) {
    connection->Close();
  }
  return true;
}

std::vector<std::shared_ptr<HttpConnection>> HttpServer::AllConnections()
    const {
  std::vector<std::shared_ptr<HttpConnection>> all;
  for (const auto& [pointer, connection] : connections_) {
    all.push_back(connection);
  }
  return all;
}

uint16_t HttpServer::port() const { return socket_.address().port(); }

void HttpServer::Accept() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    accepted_.Add();
    auto connection = std::make_shared<HttpConnection>(
        *this, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)));
    connections_.emplace(connection.get(), connection);
  }
}

void HttpServer::Remove(HttpConnection* connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    loop_.ReleaseAfterIteration(std::move(found->second));
    connections_.erase(found);
  }
}

void HttpServer::Drain(TimePoint close_idle_at) {
  draining_ = true;
  loop_.RunAt(close_idle_at, [this] {
    for (const auto& connection : AllConnections()) {
      connection->Drain();
    }
  });
}

size_t HttpServer::busy() const {
  size_t count = 0;
  for (const auto& [pointer, connection] : connections_) {
    count += connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace sequoialb
