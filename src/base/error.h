// The one error type of the library, and the table that gives each kind of
// failure its name, its HTTP status and what it says about execution.
//
// A caller that is refused must know whether repeating the request could run
// it twice, so every error states whether the request was run. Errors made by
// a user and errors found inside the program are told apart: the first kind is
// an Error value, the second an assertion (see check.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sequoialb {

// What an error says about the execution of the request that it answers.
enum class RunState : uint8_t { kNotRun, kRan, kUnknown };

// Every kind of failure that the system reports.
enum class ErrorCode : uint8_t {
  kMalformed,         // the request or file cannot be parsed
  kInvalidField,      // a field has a wrong type, unit or value
  kUnknownField,      // a field that the schema does not have
  kTooLarge,          // a body, header or file over its limit
  kNoKey,             // no key came with a keyed request
  kBadKey,            // the key is unknown or withdrawn
  kNotAllowed,        // the client account is not in the service document
  kNotFound,          // no such service, model, item, batch job or file
  kConflict,          // same name, other content
  kVersionConflict,   // a compare-and-set lost against another change
  kRateLimited,       // the client account is over its rate and burst
  kOverloaded,        // no capacity before the deadline
  kDeadlineExceeded,  // the deadline passed
  kStaleConfig,       // no confirmed fresh view of keys and documents
  kNoQuorum,          // the replicated state cannot be reached
  kBackendFailed,     // the backend server failed after the request was sent
  kItemFailed,        // the item can never be done
  kCancelled,         // the caller or an operator cancelled it
  kShuttingDown,      // this host is stopping
  kUnauthorized,      // the operator's token is missing or wrong
  kCorrupt,           // stored data fails its checksum
  kIo,                // a file or socket operation failed
  kInternal,          // a defect in the program
};

// A failure: its kind, what to mend, and whether the request was run.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  // One sentence for a person: what is wrong and what to change.
  std::string detail;
  RunState run = RunState::kNotRun;
  // Milliseconds after which a repetition can succeed, where that is known.
  std::optional<int64_t> retry_after_ms = std::nullopt;
};

template <typename T>
using Result = tl::expected<T, Error>;

using Status = tl::expected<void, Error>;

// Returns an unexpected value to return from a function with a Result.
tl::unexpected<Error> Fail(ErrorCode code, std::string detail,
                           RunState run = RunState::kNotRun);

// Returns the stable machine-readable name of a code, such as "rate_limited".
std::string_view ErrorName(ErrorCode code);

// Returns the HTTP status that answers a code.
int HttpStatus(ErrorCode code);

// Returns "not_run", "ran" or "unknown".
std::string_view RunStateName(RunState run);

// Returns the code with the given name; unknown names give kInternal.
ErrorCode ErrorCodeFromName(std::string_view name);

}  // namespace sequoialb
