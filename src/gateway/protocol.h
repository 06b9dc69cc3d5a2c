// What the gateway needs to know of the headers that callers and backend
// servers use, decoded into fields. An adapter for a platform implements it;
// nothing else knows a platform's names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/time.h"
#include "http/message.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

// What a caller's request says of itself.
struct CallerRequest {
  // Names one attempt of the caller.
  std::string id;
  std::string key;
  // How long the caller waits from now.
  std::optional<milliseconds> time_left;
  // The caller has the stream up to this event.
  std::optional<uint64_t> last_event;
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
  // The prompt's last shared part; requests of a session share it.
  std::string session;
};

// What a backend server says beside its answer.
struct BackendLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};
struct BackendAnswer {
  // The server states that it has not run the request.
  bool not_run = false;
  // The address belongs to another server than the request was meant for.
  bool other_server = false;
  std::optional<BackendLoad> load;
};

// What the system says to a backend server beside the caller's request.
struct ForwardFields {
  std::string id;
  std::string backend;
  std::string account;
  // Left out when there is no limit.
  std::optional<int64_t> time_left_ms;
  std::optional<uint64_t> last_event;
};

// A batch call of a caller other than a submission.
struct ReadJob {
  std::string job;
  uint64_t after = 0;
};
struct ReadItemBody {
  std::string job;
  std::string item;
};
struct EndJob {
  std::string job;
};
using JobRequest = std::variant<ReadJob, ReadItemBody, EndJob>;

class GatewayProtocol {
 public:
  virtual ~GatewayProtocol() = default;

  virtual CallerRequest DecodeRequest(const RequestHead& head) const = 0;
  // The caller's headers as they are passed on, with the system's own.
  virtual HttpHeaders ForwardHeaders(const HttpHeaders& headers,
                                     const ForwardFields& fields) const = 0;
  virtual BackendAnswer DecodeAnswer(const ResponseHead& head) const = 0;
  // The field by which a server names the request that it answers.
  virtual std::string echo_header() const = 0;
  // The field that tells a caller when to come back, in seconds.
  virtual HttpHeader RetryAfter(double seconds) const = 0;

  // Returns a batch call, or nothing for other requests.
  virtual std::optional<JobRequest> DecodeJobRequest(
      const RequestHead& head) const = 0;
  // Decodes a submitted job: its identity and items. Fails with kMalformed.
  virtual Result<proto::JobRecord> DecodeSubmission(
      const RequestHead& head, const std::string& body) const = 0;
  virtual std::string EncodeResults(const proto::JobAnswer& answer) const = 0;
};

}  // namespace sequoialb
