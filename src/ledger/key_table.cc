#include "ledger/key_table.h"

#include "ledger/command_results.h"

namespace sequoialb {

proto::CommandResult KeyTable::Apply(const proto::GiveKey& command,
                                     uint64_t index) {
  const proto::KeyRecord& wanted = command.key();
  const auto found = keys_.find(wanted.key_id());
  if (found != keys_.end()) {
    const bool same = found->second.key_sha256() == wanted.key_sha256() &&
                      found->second.account() == wanted.account() &&
                      !found->second.withdrawn();
    return same
               ? Repeated()
               : Refused(ErrorCode::kConflict, "key id " + wanted.key_id() +
                                                   " is taken; choose another");
  }
  proto::KeyRecord key = wanted;
  key.set_index(index);
  key.set_withdrawn(false);
  keys_[key.key_id()] = key;
  proto::CommandResult result;
  *result.mutable_key() = key;
  return result;
}

proto::CommandResult KeyTable::Apply(const proto::WithdrawKey& command,
                                     uint64_t index) {
  const auto found = keys_.find(command.key_id());
  if (found == keys_.end()) {
    return Refused(ErrorCode::kNotFound,
                   "no key has the id " + command.key_id());
  }
  proto::CommandResult result;
  result.set_repeated(found->second.withdrawn());
  if (!found->second.withdrawn()) {
    found->second.set_withdrawn(true);
    found->second.set_changed_unix_ms(command.unix_ms());
    found->second.set_index(index);
  }
  *result.mutable_key() = found->second;
  return result;
}

}  // namespace sequoialb
