#include "base/error.h"

#include <algorithm>
#include <array>

namespace sequoialb {
namespace {

struct ErrorRow {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kErrorTable = {
    ErrorRow{ErrorCode::kMalformed, "malformed", 400},
    ErrorRow{ErrorCode::kInvalidField, "invalid_field", 400},
    ErrorRow{ErrorCode::kUnknownField, "unknown_field", 400},
    ErrorRow{ErrorCode::kTooLarge, "too_large", 413},
    ErrorRow{ErrorCode::kNoKey, "no_key", 401},
    ErrorRow{ErrorCode::kBadKey, "bad_key", 401},
    ErrorRow{ErrorCode::kNotAllowed, "not_allowed", 403},
    ErrorRow{ErrorCode::kNotFound, "not_found", 404},
    ErrorRow{ErrorCode::kConflict, "conflict", 409},
    ErrorRow{ErrorCode::kVersionConflict, "version_conflict", 409},
    ErrorRow{ErrorCode::kRateLimited, "rate_limited", 429},
    ErrorRow{ErrorCode::kOverloaded, "overloaded", 503},
    ErrorRow{ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504},
    ErrorRow{ErrorCode::kStaleConfig, "stale_config", 503},
    ErrorRow{ErrorCode::kNoQuorum, "no_quorum", 503},
    ErrorRow{ErrorCode::kBackendFailed, "backend_failed", 502},
    ErrorRow{ErrorCode::kQuarantined, "quarantined", 503},
    ErrorRow{ErrorCode::kItemFailed, "item_failed", 422},
    ErrorRow{ErrorCode::kCancelled, "cancelled", 409},
    ErrorRow{ErrorCode::kShuttingDown, "shutting_down", 503},
    ErrorRow{ErrorCode::kUnauthorized, "unauthorized", 401},
    ErrorRow{ErrorCode::kCorrupt, "corrupt", 500},
    ErrorRow{ErrorCode::kIo, "io", 500},
    ErrorRow{ErrorCode::kInternal, "internal", 500},
};

const ErrorRow& RowOf(ErrorCode code) {
  const auto* row =
      std::find_if(kErrorTable.begin(), kErrorTable.end(),
                   [code](const ErrorRow& r) { return r.code == code; });
  return row == kErrorTable.end() ? kErrorTable.back() : *row;
}

}  // namespace

tl::unexpected<Error> Fail(ErrorCode code, std::string detail, RunState run) {
  return tl::unexpected<Error>(Error{code, std::move(detail), run});
}

std::string_view ErrorName(ErrorCode code) { return RowOf(code).name; }

int HttpStatus(ErrorCode code) { return RowOf(code).http_status; }

std::string_view RunStateName(RunState run) {
  constexpr std::array<std::string_view, 3> kNames = {"not_run", "ran",
                                                      "unknown"};
  return kNames.at(static_cast<size_t>(run));
}

ErrorCode ErrorCodeFromName(std::string_view name) {
  for (const ErrorRow& row : kErrorTable) {
    if (row.name == name) {
      return row.code;
    }
  }
  return ErrorCode::kInternal;
}

}  // namespace sequoialb
