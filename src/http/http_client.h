// Calls over HTTP/1.1 to backend servers on an event loop, with connections
// kept for reuse.
//
// A connection goes back to the pool only after a provably clean exchange: the
// request was written whole, the answer ended by its own framing, nothing came
// behind it, and no word was given to close. An answer that names another
// request, which is how a late second answer shows itself, is read and dropped,
// and its connection is not used again.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/event_loop.h"
#include "http/message.h"
#include "http/tcp_stream.h"
#include "observe/metrics.h"

namespace sequoialb {

// How a call ended without a complete answer.
enum class CallFailure : uint8_t {
  // No connection could be made: nothing was sent.
  kUnreachable,
  // The connection ended, or what came was no answer in the protocol.
  kBroken,
};

struct CallEvents {
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void()> on_complete;
  std::function<void(CallFailure)> on_failure;
};

struct CallOptions {
  // Head and body as they go on the wire.
  std::string request;
  bool head_request = false;
  // The answer must carry this value in the field below, if it has that field.
  std::string echo_header;
  std::string echo_value;
  // No kept connection is used that has been idle for longer; a call that may
  // run only once should not meet a connection that its far end is closing.
  milliseconds max_idle{0};
  TimePoint connect_deadline;
};

class ClientConnection;

// A call under way. Destroying it before it has ended closes its connection,
// by which the far end learns that nobody waits any more.
class HttpCall {
 public:
  explicit HttpCall(std::shared_ptr<ClientConnection> connection)
      : connection_(std::move(connection)) {}
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Stops and restarts reading while the receiver is slow.
  void Pause(bool paused);

 private:
  std::shared_ptr<ClientConnection> connection_;
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop, Metrics& metrics);
  ~HttpClient();

  std::unique_ptr<HttpCall> Start(const Address& address, CallOptions options,
                                  CallEvents events);

  // Closes the kept connections to an address.
  void CloseIdle(const Address& address);
  size_t idle() const;

 private:
  friend class ClientConnection;
  struct IdleConnection {
    std::shared_ptr<ClientConnection> connection;
    TimePoint since;
    TimePoint expires;
  };

  void AddIdle(const std::shared_ptr<ClientConnection>& connection,
               TimePoint expires);
  void RemoveIdle(ClientConnection* connection);

  EventLoop& loop_;
  std::map<std::string, std::deque<IdleConnection>> idle_;
  Counter& opened_;
  Counter& reused_;
  Counter& mismatched_answers_;
  Counter& not_reusable_;
};

}  // namespace sequoialb
