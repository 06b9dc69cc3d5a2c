#include "quarantine/quarantine_list.h"

#include <algorithm>

#include "base/hash.h"

namespace sequoialb {

bool Covers(const proto::Quarantine& quarantine,
            const std::vector<std::string>& shared_parts) {
  return !quarantine.parts().empty() &&
         std::all_of(quarantine.parts().begin(), quarantine.parts().end(),
                     [&](const std::string& part) {
                       return std::find(shared_parts.begin(),
                                        shared_parts.end(),
                                        part) != shared_parts.end();
                     });
}

const proto::Quarantine* FindQuarantine(
    const Quarantines& quarantines,
    const std::vector<std::string>& shared_parts) {
  if (quarantines.empty() || shared_parts.empty()) {
    return nullptr;
  }
  const auto found = std::find_if(quarantines.begin(), quarantines.end(),
                                  [&](const proto::Quarantine& quarantine) {
                                    return Covers(quarantine, shared_parts);
                                  });
  return found == quarantines.end() ? nullptr : &*found;
}

std::vector<const proto::Quarantine*> AllQuarantines(
    const Quarantines& quarantines,
    const std::vector<std::string>& shared_parts) {
  std::vector<const proto::Quarantine*> covering;
  for (const proto::Quarantine& quarantine : quarantines) {
    if (Covers(quarantine, shared_parts)) {
      covering.push_back(&quarantine);
    }
  }
  return covering;
}

std::vector<std::string> PartsOf(const proto::Quarantine& quarantine) {
  return {quarantine.parts().begin(), quarantine.parts().end()};
}

uint64_t HashOf(const Quarantines& quarantines) {
  if (quarantines.empty()) {
    return 0;
  }
  std::string text;
  for (const proto::Quarantine& quarantine : quarantines) {
    text += PartsText(quarantine) + " " +
            std::to_string(quarantine.until_unix_ms()) + " " +
            std::to_string(quarantine.trials()) + " " +
            quarantine.trial_host() + " " +
            std::to_string(quarantine.trial_incarnation()) + "\n";
  }
  return Hash64(text);
}

bool TakeQuarantines(const proto::HelloReply& reply, proto::HelloReply& known) {
  if (reply.quarantines_hash() == known.quarantines_hash() ||
      reply.quarantines_hash() != HashOf(reply.quarantines())) {
    return false;
  }
  known.set_quarantines_hash(reply.quarantines_hash());
  *known.mutable_quarantines() = reply.quarantines();
  return true;
}

std::string PartsText(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text.append(text.empty() ? "" : "+").append(part);
  }
  return text;
}

std::string PartsText(const proto::Quarantine& quarantine) {
  return PartsText(PartsOf(quarantine));
}

}  // namespace sequoialb
