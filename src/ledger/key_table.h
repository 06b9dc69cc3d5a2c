// The replicated API keys of client accounts, stored as hashes.
#pragma once

#include <map>
#include <string>

#include "proto/ledger.pb.h"

namespace sequoialb {

class KeyTable {
 public:
  // A repeated command returns a result marked as repeated. A withdrawn key id
  // is never issued again.
  proto::CommandResult Apply(const proto::GiveKey& command, uint64_t index);
  proto::CommandResult Apply(const proto::WithdrawKey& command, uint64_t index);

  const std::map<std::string, proto::KeyRecord>& keys() const { return keys_; }
  void Load(const proto::KeyRecord& key) { keys_[key.key_id()] = key; }

 private:
  std::map<std::string, proto::KeyRecord> keys_;
};

}  // namespace sequoialb
