// The library's error type, and the name and HTTP status of each error code.
//
// A caller whose request fails must know whether repeating it could run it
// twice, so every error states whether the request was run. Failures that can
// occur in operation are reported as Error values, defects in the program by
// assertions (see check.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sequoialb {

// Whether the request that failed was run.
enum class RunState : uint8_t { kNotRun, kRan, kUnknown };

// All kinds of failures that the system reports.
enum class ErrorCode : uint8_t {
  kMalformed,         // the request or file cannot be parsed
  kInvalidField,      // a field has a wrong type, unit or value
  kUnknownField,      // a field that the schema does not have
  kTooLarge,          // a body, header or file over its limit
  kNoKey,             // a request that needs an API key has none
  kBadKey,            // the key is unknown or withdrawn
  kNotAllowed,        // the client account is not in the service document
  kNotFound,          // no such service, model, item, batch job or file
  kConflict,          // the name exists with different content
  kVersionConflict,   // a compare-and-set found another version
  kRateLimited,       // the client account exceeds its rate limit
  kOverloaded,        // no capacity is free before the deadline
  kDeadlineExceeded,  // the deadline passed
  kStaleConfig,       // keys and documents are not confirmed to be fresh
  kNoQuorum,          // the replicated state cannot be reached
  kBackendFailed,     // the backend server failed after the request was sent
  kQuarantined,       // requests with this prompt crash backend servers
  kItemFailed,        // the batch item cannot succeed
  kCancelled,         // the caller or an operator cancelled it
  kShuttingDown,      // this host is shutting down
  kUnauthorized,      // the operator's token is missing or wrong
  kCorrupt,           // stored data fails its checksum
  kIo,                // a file or socket operation failed
  kInternal,          // a defect in the program
};

// A failure: its code, a description, and whether the request was run.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  // One sentence for the user: what is wrong and how to fix it.
  std::string detail;
  RunState run = RunState::kNotRun;
  // Milliseconds after which a retry can succeed, if known.
  std::optional<int64_t> retry_after_ms = std::nullopt;
};

template <typename T>
using Result = tl::expected<T, Error>;

using Status = tl::expected<void, Error>;

// Returns an Error that a function with a Result or Status can return directly.
tl::unexpected<Error> Fail(ErrorCode code, std::string detail,
                           RunState run = RunState::kNotRun);

// Returns the stable machine-readable name of a code, such as "rate_limited".
std::string_view ErrorName(ErrorCode code);

// Returns the HTTP status code of an error code.
int HttpStatus(ErrorCode code);

// Returns "not_run", "ran" or "unknown".
std::string_view RunStateName(RunState run);

// Returns the code with the given name; unknown names give kInternal.
ErrorCode ErrorCodeFromName(std::string_view name);

}  // namespace sequoialb
