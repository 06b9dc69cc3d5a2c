#include "fleet/host_directory.h"

#include "base/hash.h"

namespace sequoialb {
namespace {

// A host is removed after this long without a heartbeat.
constexpr milliseconds kExpireAfter{30'000};
// An earlier incarnation is rejected until the later one has missed two
// heartbeats.
constexpr milliseconds kRejectEarlierFor{500};

}  // namespace

bool HostDirectory::Update(const proto::HostInfo& info, TimePoint now) {
  DirectoryEntry& entry = hosts_[info.host()];
  if (info.incarnation() < entry.info.incarnation() &&
      now - entry.last_contact < kRejectEarlierFor) {
    return false;
  }
  entry.info = info;
  entry.last_contact = now;
  return true;
}

void HostDirectory::Expire(TimePoint now) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const bool expired = now - it->second.last_contact > kExpireAfter;
    it = expired ? hosts_.erase(it) : std::next(it);
  }
}

uint64_t HostDirectory::Hash() const {
  std::string text;
  for (const auto& [host, entry] : hosts_) {
    text += host + " " + entry.info.peer_address() + " " + entry.info.node() +
            " " + std::to_string(entry.info.incarnation()) + " " +
            entry.info.group().leader_host() +
            (entry.info.group().member() ? " member\n" : "\n");
  }
  return Hash64(text);
}

}  // namespace sequoialb
