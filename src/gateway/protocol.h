// The interface between the gateway and a platform's protocol: the fields that
// the gateway needs from the headers of callers and backend servers, decoded.
// An adapter for a platform implements it; no other code knows the platform's
// header names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "http/message.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

// Fields of a caller's request.
struct CallerRequest {
  // Identifies one attempt of the caller.
  std::string id;
  std::string key;
  // How much longer the caller waits for the answer.
  std::optional<milliseconds> time_left;
  // The last event of the stream that the caller has already received.
  std::optional<uint64_t> last_event;
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
  // The parts of the prompt that requests of other sessions may have too, in
  // order: all but the last.
  std::vector<std::string> shared_parts;
  // The last part of the prompt, which only requests of one session have.
  std::string session;
};

// The load that a backend server reports with an answer.
struct BackendLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work takes on the server's machine at this moment, in percent of
  // the usual time. Only servers that share their machines state it.
  std::optional<uint32_t> work_percent;
};

// What the gateway needs from the head of a backend server's answer.
struct BackendAnswer {
  // The server states that it has not run the request.
  bool not_run = false;
  // The server at this address is not the one that the request was sent to.
  bool other_server = false;
  // The server is leaving and must get no further requests.
  bool leaving = false;
  std::optional<BackendLoad> load;
};

// Fields that the gateway adds to a request for a backend server.
struct ForwardFields {
  std::string id;
  std::string backend;
  std::string account;
  // Not sent when there is no limit.
  std::optional<int64_t> time_left_ms;
  std::optional<uint64_t> last_event;
};

// The batch requests of a caller other than a submission: reading the results
// of a job, reading the body of one item, and ending a job.
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
  // Returns the headers to send to a backend server: the caller's headers,
  // without those of one hop, and the fields that the gateway adds.
  virtual HttpHeaders ForwardHeaders(const HttpHeaders& headers,
                                     const ForwardFields& fields) const = 0;
  virtual BackendAnswer DecodeAnswer(const ResponseHead& head) const = 0;
  // Returns the header in which a server repeats the id of the request that it
  // answers.
  virtual std::string request_id_header() const = 0;
  // Returns the header that says after how many seconds the caller should
  // retry.
  virtual HttpHeader RetryAfter(double seconds) const = 0;

  // Returns the decoded batch request, or nothing for other requests.
  virtual std::optional<JobRequest> DecodeJobRequest(
      const RequestHead& head) const = 0;
  // Decodes a submitted job: its identity and items. Fails with kMalformed.
  virtual Result<proto::JobRecord> DecodeSubmission(
      const RequestHead& head, const std::string& body) const = 0;
  virtual std::string EncodeResults(const proto::JobAnswer& answer) const = 0;
};

}  // namespace sequoialb
