// Serves HTTP/1.1 on an event loop, one request at a time on a connection.
//
// A request whose head is refused gets its answer and the connection is closed,
// so that nothing behind it can be taken for another request. Connections with
// half-sent heads cost a buffer each, and are closed when their time is up.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http/event_loop.h"
#include "http/message.h"
#include "http/tcp_stream.h"
#include "observe/metrics.h"

namespace sequoialb {

class HttpConnection;

// A request and the means to answer it. Belongs to the loop's thread. After the
// caller has left, answers go nowhere.
class HttpExchange {
 public:
  HttpExchange(HttpConnection* connection, RequestHead head, std::string body,
               TimePoint received_at)
      : connection_(connection),
        head_(std::move(head)),
        body_(std::move(body)),
        received_at_(received_at) {}

  const RequestHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  TimePoint received_at() const { return received_at_; }

  // Answers with a whole body.
  void Respond(int status, const HttpHeaders& headers, std::string_view body);

  // Begins an answer whose body comes in parts; with `length` unknown it is
  // sent in chunks.
  void Start(int status, const HttpHeaders& headers,
             std::optional<uint64_t> length);
  void Send(std::string_view data);
  void Finish();

  // Ends the connection so that the answer cannot look complete.
  void Abort();

  bool started() const { return started_; }
  bool ended() const { return connection_ == nullptr; }
  // Bytes that the caller has not taken yet.
  size_t unsent() const;

  // Runs when the caller leaves before the answer is complete.
  void OnCallerDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }
  // Runs when the caller has taken all that was sent.
  void OnDrained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }

 private:
  friend class HttpConnection;
  void NotifyCallerDisconnect();

  HttpConnection* connection_;
  RequestHead head_;
  std::string body_;
  TimePoint received_at_;
  bool started_ = false;
  bool chunked_ = false;
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpServerLimits {
  size_t max_header_bytes = 16'384;
  size_t max_body_bytes = 4U << 20U;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

class HttpServer {
 public:
  // Binds the address; fails with kIo when it is taken.
  static Result<std::unique_ptr<HttpServer>> Open(EventLoop& loop,
                                                  const Address& address,
                                                  HttpServerLimits limits,
                                                  HttpHandler handler,
                                                  Metrics& metrics);
  ~HttpServer();

  void SetLimits(HttpServerLimits limits) { limits_ = limits; }

  // From now on answers ask callers to close, and idle connections end once
  // their callers have had `until` to send what was under way.
  void Drain(TimePoint close_idle_at);

  // Requests that are being read or answered.
  size_t busy() const;
  size_t connections() const { return connections_.size(); }
  uint16_t port() const;

 private:
  friend class HttpConnection;
  class Acceptor;
  HttpServer(EventLoop& loop, HttpServerLimits limits, HttpHandler handler,
             Metrics& metrics);
  void Accept();
  void Remove(HttpConnection* connection);

  EventLoop& loop_;
  HttpServerLimits limits_;
  HttpHandler handler_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<HttpConnection*, std::shared_ptr<HttpConnection>> connections_;
  bool draining_ = false;
  Counter& accepted_;
  Counter& malformed_;
};

}  // namespace sequoialb
