// One attempt of a request on one backend server, over HTTP.
//
// What is sent is built from an allow-list: method, path, content type, the
// body, and the trace context. Nothing of the caller's headers, above all no
// key, can reach a server by being forgotten in a list of headers to remove.
#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "dispatch/slot_lease.h"
#include "observe/trace.h"

namespace sequoialb {

// How an attempt ended.
enum class AttemptOutcome : uint8_t {
  kComplete,     // the whole answer arrived
  kNotSent,      // no byte of the request left this host
  kBroken,       // the connection ended before the answer did
  kServerError,  // the server answered 5xx
  kRejected,     // the server answered 4xx: another would answer the same
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
  // May be sent twice, which a broken kept-alive connection can lead to.
  bool idempotent = true;
};

class BackendClient {
 public:
  // Takes bytes of a streamed answer; false ends the attempt as kComplete (the
  // answer is whole) or, when `broken` was set, as kBroken.
  using StreamHandler =
      std::function<bool(std::string_view bytes, bool& broken)>;
  // Called when the connection stands and before the first byte is sent; false
  // ends the attempt as kNotSent.
  using BeforeSend = std::function<bool()>;

  // Runs the request on the slot's server; blocks. A revocation of the slot
  // ends it at once.
  AttemptResult Run(const std::shared_ptr<SlotLease>& lease,
                    const AttemptRequest& request,
                    const StreamHandler& on_bytes,
                    const BeforeSend& before_send = nullptr);

  // Refuses to connect to servers of the given domains; test-only.
  void SetBlockedDomains(std::vector<std::string> domains);

 private:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

  bool IsBlocked(const std::string& failure_domain);
  Session TakeIdle(const std::string& address);
  void StoreIdle(const std::string& address, Session session);
  Session Connect(const std::string& address);
  void Exchange(Poco::Net::HTTPClientSession& session,
                const AttemptRequest& request, const StreamHandler& on_bytes,
                AttemptResult& result, bool& reusable);

  std::mutex mutex_;
  std::map<std::string, std::vector<Session>> idle_;
  std::vector<std::string> blocked_domains_;
};

}  // namespace sequoialb
