#include "fleet/host_directory.h"

#include "base/hash.h"

namespace sequoialb {
namespace {

// A host is removed after this long without a heartbeat.
constexpr milliseconds kExpireAfter{30'000};
// An earlier incarnation is rejected until the later one has missed two
// heartbeats.
constexpr milliseconds kRejectEarlierFor{500};

// What the other hosts have to know of a host.
std::string SharedText(const proto::HostInfo& info) {
  return info.host() + " " + info.peer_address() + " " + info.node() + " " +
         std::to_string(info.incarnation()) + " " + info.group().leader_host() +
         (info.group().member() ? " member\n" : "\n");
}

}  // namespace

bool HostDirectory::Update(const proto::HostInfo& info, TimePoint now) {
  DirectoryEntry& entry = hosts_[info.host()];
  if (info.incarnation() < entry.info.incarnation() &&
      now - entry.last_contact < kRejectEarlierFor) {
    return false;
  }
  if (entry.change == 0 || SharedText(entry.info) != SharedText(info)) {
    entry.change = ++change_;
    hash_.reset();
  }
  entry.info = info;
  entry.last_contact = now;
  return true;
}

void HostDirectory::Expire(TimePoint now) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (now - it->second.last_contact > kExpireAfter) {
      it = hosts_.erase(it);
      hash_.reset();
    } else {
      ++it;
    }
  }
}

uint64_t HostDirectory::Hash() const {
  if (!hash_) {
    std::string text;
    for (const auto& [host, entry] : hosts_) {
      text += SharedText(entry.info);
    }
    hash_ = Hash64(text);
  }
  return *hash_;
}

void HostDirectory::FillChanges(uint64_t cursor,
                                proto::HelloReply& reply) const {
  for (const auto& [host, entry] : hosts_) {
    if (entry.change > cursor) {
      *reply.add_hosts() = entry.info;
    }
  }
}

}  // namespace sequoialb
