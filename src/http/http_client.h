// An HTTP/1.1 client for calls to backend servers. It runs on an event loop and
// pools connections for reuse.
//
// A connection returns to the pool only if the whole request was written, the
// framing marked the end of the response, no bytes followed it, and the server
// did not ask to close. A response that names another request, such as a late
// second response to an earlier one, is read and discarded, and its connection
// is not reused. A request that is sent again goes on a connection that has not
// carried it before, where a late response to its first run cannot be taken for
// the response to the second.
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

// Why a call ended without a complete response.
enum class CallFailure : uint8_t {
  // The connection could not be established: nothing was sent.
  kUnreachable,
  // No process listens at the address: nothing was sent.
  kRefused,
  // CallOptions::may_send did not permit the request: nothing was sent.
  kWithheld,
  // The connection ended early.
  kBroken,
  // The response was malformed, or had no end.
  kFaulty,
};

// Whether the request was not sent at all.
inline bool IsUnsent(CallFailure failure) {
  return failure == CallFailure::kUnreachable ||
         failure == CallFailure::kRefused || failure == CallFailure::kWithheld;
}

struct CallEvents {
  // A new connection was accepted; not called when a connection is reused.
  std::function<void()> on_connected = nullptr;
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void()> on_complete;
  std::function<void(CallFailure)> on_failure;
};

struct CallOptions {
  // Request head and body exactly as sent.
  std::string request;
  // The request is HEAD, whose response has no body.
  bool head_request = false;
  // A response with the field `request_id_header` must have `request_id` in it;
  // otherwise it answers another request and is discarded. A response without
  // the field is accepted; ResponseHead::attributed tells whether it belongs to
  // the call for certain.
  std::string request_id_header;
  std::string request_id;
  // Only connections idle for less than this are reused. A request that may run
  // only once should not be sent on a connection that the server is closing.
  milliseconds max_idle{0};
  TimePoint connect_deadline;
  // Asked once a new connection is established, before the request is written;
  // false fails the call with kWithheld. May be empty.
  std::function<bool()> may_send = nullptr;
};

class ClientConnection;

// A call in progress. Destroying it before it has ended closes its connection,
// which tells the server that the response is no longer needed.
class HttpCall {
 public:
  explicit HttpCall(std::shared_ptr<ClientConnection> connection)
      : connection_(std::move(connection)) {}
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Pauses or resumes reading, so that a slow receiver limits buffered input.
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

  // Closes the idle connections to an address.
  void CloseIdle(const Address& address);
  // Number of idle connections to all addresses.
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
