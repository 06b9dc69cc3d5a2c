// Sends commands and queries to the leader of the replicated state and resends
// them until a reply arrives or their deadline passes.
//
// If a reply is lost, the resent command can be appended to the log a second
// time; every command is idempotent and returns the same result again. If the
// deadline passes without a reply, the outcome is unknown and the error says
// so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "base/time.h"
#include "peer/peer_sender.h"
#include "proto/peer.pb.h"

namespace sequoialb {

class LeaderClient {
 public:
  using CommandCallback = std::function<void(Result<proto::CommandResult>)>;
  using QueryCallback = std::function<void(Result<proto::QueryReply>)>;

  // `replicas` are the hosts that store the replicated state. `seed` selects
  // the replica that is tried first.
  LeaderClient(PeerSender& sender, std::vector<std::string> replicas,
               uint64_t seed);

  void Propose(proto::Command command, TimePoint deadline, TimePoint now,
               CommandCallback callback);
  void SendQuery(proto::Query query, TimePoint deadline, TimePoint now,
                 QueryCallback callback);

  void OnProposeReply(const std::string& from, const proto::ProposeReply& reply,
                      TimePoint now);
  void OnQueryReply(const std::string& from, const proto::QueryReply& reply,
                    TimePoint now);
  void Tick(TimePoint now);

  // The host that is assumed to be the leader; requests are sent to it.
  const std::string& leader() const { return leader_; }
  const std::vector<std::string>& replicas() const { return replicas_; }
  // Sets the leader as reported by another host. Hosts that are not replicas
  // are ignored.
  void SetLeader(const std::string& host);
  // Records a reply of the leader itself.
  void OnLeaderContact(const std::string& host, TimePoint now);
  // Switches to the next replica because the assumed leader is unresponsive or
  // does not know the leader. Does nothing shortly after the last contact or
  // switch, so that many requests that time out together cause one switch.
  void TryNextReplica(TimePoint now);

 private:
  struct Pending {
    proto::Envelope envelope;
    TimePoint deadline;
    TimePoint resend_at;
    // True while neither a result nor a redirect has been received since the
    // last send.
    bool unanswered = false;
    CommandCallback on_command;
    QueryCallback on_query;
  };

  void Start(uint64_t id, Pending pending, TimePoint now);
  void SendNow(Pending& pending, TimePoint now);
  void Redirect(uint64_t id, const std::string& leader, const std::string& from,
                TimePoint now);

  PeerSender& sender_;
  std::vector<std::string> replicas_;
  size_t next_replica_ = 0;
  std::string leader_;
  // Time of the last reply from the leader or the last switch to another
  // replica, whichever is later.
  TimePoint last_contact_or_switch_;
  uint64_t next_id_ = RandomCallNumber();
  std::map<uint64_t, Pending> pending_;
};

}  // namespace sequoialb
