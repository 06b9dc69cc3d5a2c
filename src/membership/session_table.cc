#include "membership/session_table.h"

namespace sequoialb {

void SessionTable::Reset(const proto::HostView& view, TimePoint now) {
  sessions_.clear();
  for (const proto::ViewMember& member : view.members()) {
    Session& session = sessions_[member.host()];
    session.incarnation = member.incarnation();
    session.expires = now + options_.lease + options_.margin;
  }
}

void SessionTable::OnHeartbeat(const std::string& host,
                               const proto::HostHeartbeat& heartbeat,
                               TimePoint now) {
  Session& session = sessions_[host];
  if (heartbeat.incarnation() < session.incarnation && now < session.expires) {
    return;  // A delayed message from an earlier process of the host.
  }
  session.incarnation = heartbeat.incarnation();
  session.seen_epoch = heartbeat.view_epoch();
  session.leaving = heartbeat.leaving();
  session.expires = now + options_.lease + options_.margin;
}

std::optional<proto::HostView> SessionTable::NextView(
    const proto::HostView& current, TimePoint now) const {
  std::map<std::string, uint64_t> wanted;
  for (const auto& [host, session] : sessions_) {
    if (session.expires > now && !session.leaving) {
      wanted[host] = session.incarnation;
    }
  }
  std::map<std::string, uint64_t> members;
  for (const proto::ViewMember& member : current.members()) {
    members[member.host()] = member.incarnation();
  }
  if (wanted == members) {
    return std::nullopt;
  }
  proto::HostView view;
  view.set_epoch(current.epoch() + 1);
  for (const auto& [host, incarnation] : wanted) {
    proto::ViewMember& member = *view.add_members();
    member.set_host(host);
    member.set_incarnation(incarnation);
  }
  return view;
}

bool SessionTable::CanSettle(const proto::HostView& current,
                             TimePoint now) const {
  if (current.settled_epoch() == current.epoch()) {
    return false;
  }
  for (const proto::ViewMember& member : current.members()) {
    const auto session = sessions_.find(member.host());
    const bool seen = session != sessions_.end() &&
                      session->second.expires > now &&
                      session->second.incarnation == member.incarnation() &&
                      session->second.seen_epoch == current.epoch();
    if (!seen) {
      return false;
    }
  }
  return true;
}

}  // namespace sequoialb
