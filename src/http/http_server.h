// An HTTP/1.1 server on an event loop. Each connection handles one request at a
// time.
//
// When the server rejects a request's head, it sends an error response and
// closes the connection, so that the bytes that follow cannot be taken for
// another request. A connection with an incomplete head costs one buffer, and
// is closed when the header timeout expires. A body must advance within each
// idle timeout; a client that does not read its response gets no further one.
//
// The servers of a process share HttpResources, which bounds the memory and the
// number of their connections together.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/connection_budget.h"
#include "http/event_loop.h"
#include "http/message.h"
#include "http/tcp_stream.h"
#include "observe/metrics.h"

namespace sequoialb {

class HttpConnection;

// A request and its response. May be used only on the loop's thread. Once the
// caller has disconnected, response data is discarded.
class HttpExchange {
 public:
  HttpExchange(HttpConnection *connection, RequestHead head, std::string body,
               TimePoint received_at)
      : connection_(connection),
        head_(std::move(head)),
        body_(std::move(body)),
        received_at_(received_at) {}

  const RequestHead &head() const { return head_; }
  const std::string &body() const { return body_; }
  TimePoint received_at() const { return received_at_; }

  // Sends a complete response.
  void Respond(int status, const HttpHeaders &headers, std::string_view body);

  // Starts a response whose body follows in several Send calls. Without
  // `length` the body uses chunked coding.
  void Start(int status, const HttpHeaders &headers,
             std::optional<uint64_t> length);
  void Send(std::string_view data);
  void Finish();

  // Closes the connection without ending the body, so that the caller cannot
  // take the response for complete.
  void Abort();

  bool started() const { return started_; }
  bool ended() const { return connection_ == nullptr; }
  // Response bytes not yet handed to the kernel.
  size_t unsent() const;

  // Sets the callback that runs if the caller disconnects before the response
  // is complete.
  void OnCallerDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }
  // Sets the callback that runs when all buffered response bytes have been
  // handed to the kernel.
  void OnDrained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }

 private:
  friend class HttpConnection;
  void NotifyCallerDisconnect();

  HttpConnection *connection_;
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
  // Whose connections the listener takes.
  ClientKind clients = ClientKind::kCaller;
};

// The memory and descriptors that the connections of several servers share.
// Used on the loop's thread.
class HttpResources {
 public:
  explicit HttpResources(BudgetLimits limits) : budget_(limits) {}

  const ConnectionBudget &budget() const { return budget_; }

 private:
  friend class HttpConnection;
  friend class HttpServer;

  ConnectionBudget::Id Add(HttpConnection *connection, ClientKind kind,
                           TimePoint now);
  void Remove(ConnectionBudget::Id id);
  bool Has(ConnectionBudget::Id id) const { return connections_.count(id) > 0; }
  void SetPhase(ConnectionBudget::Id id, ConnectionPhase phase, TimePoint now) {
    budget_.SetPhase(id, phase, now);
  }
  void SetBytes(ConnectionBudget::Id id, size_t bytes) {
    budget_.SetBytes(id, bytes);
  }
  void RecordProgress(ConnectionBudget::Id id, TimePoint now) {
    budget_.RecordProgress(id, now);
  }
  // Closes connections until the memory that is held is within its limit, or
  // only accepted requests hold memory.
  void Enforce(TimePoint now);
  // Whether there is room for another connection, or one that can be closed.
  bool HasRoom() const {
    return !budget_.full() || budget_.NextForConnection().has_value();
  }
  // Closes connections until there is room for another one.
  void MakeRoom();

  ConnectionBudget budget_;
  std::unordered_map<ConnectionBudget::Id, HttpConnection *> connections_;
};

class HttpServer {
 public:
  // Listens on `address`; fails with kIo if it cannot be bound. Without
  // `resources` neither memory nor connections are limited.
  static Result<std::unique_ptr<HttpServer>> Open(
      EventLoop &loop, const Address &address, HttpServerLimits limits,
      HttpHandler handler, Metrics &metrics,
      std::shared_ptr<HttpResources> resources = nullptr);
  ~HttpServer();

  void SetLimits(HttpServerLimits limits) { limits_ = limits; }

  // From now on, responses carry "Connection: close". Idle connections are
  // closed at `close_idle_at`, so that requests already on their way still
  // arrive.
  void Drain(TimePoint close_idle_at);

  // Closes all connections and accepts no more, unless a request is being read
  // or answered; then returns false. No request is handed to the handler after
  // it has returned true.
  bool CloseIfIdle();

  // Number of requests being read or answered. An answer whose bytes have not
  // all been handed to the kernel counts.
  size_t busy() const;
  size_t connections() const { return connections_.size(); }
  uint16_t port() const;

 private:
  friend class HttpConnection;
  class Acceptor;
  HttpServer(EventLoop &loop, HttpServerLimits limits, HttpHandler handler,
             Metrics &metrics, std::shared_ptr<HttpResources> resources);
  void Accept();
  void PauseAccepting();
  void StopAccepting();
  // A copy, because closing a connection removes it.
  std::vector<std::shared_ptr<HttpConnection>> AllConnections() const;
  void Remove(HttpConnection *connection);

  EventLoop &loop_;
  HttpServerLimits limits_;
  HttpHandler handler_;
  // Shared with the connections, which may outlive the server until the end of
  // the loop iteration.
  std::shared_ptr<HttpResources> resources_;
  TimerId accept_timer_ = 0;
  TimePoint next_budget_log_at_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<HttpConnection *, std::shared_ptr<HttpConnection>> connections_;
  bool draining_ = false;
  Counter &accepted_;
  Counter &malformed_;
  Counter &without_progress_;
  Counter &closed_for_memory_;
  Counter &closed_for_connections_;
};

}  // namespace sequoialb
