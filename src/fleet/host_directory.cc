#include "fleet/host_directory.h"

#include "base/hash.h"

namespace sequoialb {
namespace {

// Hosts unheard for this long leave the directory.
constexpr milliseconds kForgottenAfter{30'000};
// Two greetings of a live process missed.
constexpr milliseconds kProcessLives{500};

}  // namespace

bool HostDirectory::Note(const proto::HostInfo& info, TimePoint now) {
  HeardHost& heard = hosts_[info.host()];
  if (info.incarnation() < heard.info.incarnation() &&
      now - heard.heard_at < kProcessLives) {
    return false;
  }
  heard.info = info;
  heard.heard_at = now;
  return true;
}

void HostDirectory::Expire(TimePoint now) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const bool old = now - it->second.heard_at > kForgottenAfter;
    it = old ? hosts_.erase(it) : std::next(it);
  }
}

uint64_t HostDirectory::Hash() const {
  std::string text;
  for (const auto& [host, heard] : hosts_) {
    text += host + " " + heard.info.peer_address() + " " + heard.info.node() +
            " " + std::to_string(heard.info.incarnation()) + " " +
            heard.info.group().leader_host() +
            (heard.info.group().member() ? " member\n" : "\n");
  }
  return Hash64(text);
}

}  // namespace sequoialb
