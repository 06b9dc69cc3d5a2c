// Helpers that create and read the results of the ledger's commands.
#pragma once

#include <string>

#include "base/error.h"
#include "proto/ledger.pb.h"

namespace sequoialb {

inline proto::CommandResult Refused(ErrorCode code, const std::string& detail) {
  proto::CommandResult result;
  result.set_error_name(std::string(ErrorName(code)));
  result.set_detail(detail);
  return result;
}

inline proto::CommandResult Repeated() {
  proto::CommandResult result;
  result.set_repeated(true);
  return result;
}

// Returns the failure that a result carries, or success.
inline Status StatusOf(const proto::CommandResult& result) {
  if (result.error_name().empty()) {
    return {};
  }
  return Fail(ErrorCodeFromName(result.error_name()), result.detail());
}

}  // namespace sequoialb
