// Sends one attempt of a request to one backend server over HTTP.
//
// The outgoing request is built from an allow-list: method, path, content type,
// body, trace context and attempt id. The caller's headers are never copied, so
// none of them, in particular no key, can reach a server because a deny-list
// omitted it. The answer is read by the strict parser of src/http: one that
// ends inside its head, or before its framing says so, is broken.
//
// Each attempt carries an id of its own. Only a connection whose server repeats
// the id in its answers is kept for further attempts. An answer that names
// another attempt, such as a late second answer to an earlier one, is read and
// discarded, and its connection is not kept.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "dispatch/slot_lease.h"
#include "observe/trace.h"

namespace sequoialb {

// The header field with the id of an attempt, and of its answer.
inline constexpr char kAttemptHeader[] = "X-Sequoialb-Attempt";

// How an attempt ended.
enum class AttemptOutcome : uint8_t {
  kComplete,     // the whole answer arrived
  kNotSent,      // no byte of the request left this host
  kBroken,       // the answer ended early or was invalid
  kServerError,  // the server answered 5xx
  kRejected,     // the server answered 4xx, as any other would
  kRevoked,      // the slot was revoked
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  int http_status = 0;
  std::string content_type;
  // The body, unless it was streamed to the handler.
  std::string body;
  uint32_t first_byte_ms = 0;
  std::string detail;
};

struct AttemptRequest {
  std::string method = "POST";
  std::string path;
  std::string content_type = "application/json";
  std::string body;
  TraceContext trace;
  TimePoint deadline;
  // Whether the request may be sent twice. Reusing a keep-alive connection that
  // has broken can do so; requests that are not idempotent get a new
  // connection.
  bool idempotent = true;
};

class BackendClient {
 public:
  // Receives bytes of a streamed answer. Returning false ends the attempt as
  // kBroken when `broken` was set, and otherwise as kComplete (the answer is
  // complete).
  using StreamHandler =
      std::function<bool(std::string_view bytes, bool& broken)>;
  // Called after the connection is open and before the first byte is sent.
  // Returning false ends the attempt as kNotSent.
  using BeforeSend = std::function<bool()>;

  // Runs the request on the server of the leased slot and blocks until it ends.
  // Revoking the slot ends it immediately.
  AttemptResult Run(const std::shared_ptr<SlotLease>& lease,
                    const AttemptRequest& request,
                    const StreamHandler& on_bytes,
                    const BeforeSend& before_send = nullptr);

  // Refuses to connect to servers of the given domains; test-only.
  void SetBlockedDomains(std::vector<std::string> domains);

 private:
  struct IdleConnection {
    Poco::Net::StreamSocket socket;
    TimePoint expires;
  };

  bool IsBlocked(const std::string& failure_domain);
  std::optional<Poco::Net::StreamSocket> TakeIdle(const std::string& address);
  void StoreIdle(const std::string& address,
                 const Poco::Net::StreamSocket& socket);
  // Sends the request and reads the answer. `reused` tells whether the
  // connection has carried another attempt. Returns whether it can be used
  // again.
  static bool Exchange(Poco::Net::StreamSocket& socket, bool reused,
                       const std::string& address,
                       const AttemptRequest& request,
                       const StreamHandler& on_bytes, AttemptResult& result);

  std::mutex mutex_;
  std::map<std::string, std::vector<IdleConnection>> idle_;
  std::vector<std::string> blocked_domains_;
};

}  // namespace sequoialb
