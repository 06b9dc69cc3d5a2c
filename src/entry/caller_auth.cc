#include "entry/caller_auth.h"

#include "base/hash.h"
#include "entry/http_io.h"

namespace sequoialb {

Result<Caller> Authenticate(const Poco::Net::HTTPServerRequest& request,
                            Host& host, Duration staleness) {
  const std::string token = BearerToken(request);
  if (token.empty()) {
    return Fail(ErrorCode::kNoKey,
                "send your key as \"Authorization: Bearer KEY\"");
  }
  if (!host.config().Fresh(Clock::now(), staleness)) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kStaleConfig,
              "this host cannot confirm that keys are still valid; "
              "nothing was run",
              RunState::kNotRun, 1'000});
  }
  const ConfigPointer config = host.config().current();
  const std::string sha256 = Sha256Hex(token);
  const KeyEntry* key = config->FindKey(sha256);
  if (key == nullptr || key->withdrawn) {
    return Fail(ErrorCode::kBadKey, "the key is unknown or was withdrawn");
  }
  return Caller{key->account, sha256};
}

bool KeyStillValid(const Caller& caller, Host& host) {
  const ConfigPointer config = host.config().current();
  const KeyEntry* key = config->FindKey(caller.key_sha256);
  return key != nullptr && !key->withdrawn;
}

}  // namespace sequoialb
