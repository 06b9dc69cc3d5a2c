// Sends commands and queries to the leader of the replicated state and repeats
// them until they are answered or their deadline passes.
//
// A command may reach the log twice, when its answer was lost; all commands
// answer the same then. When the deadline passes without an answer the outcome
// is unknown, and the error says so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "peer/peer_sender.h"
#include "proto/peer.pb.h"

namespace sequoialb {

class LeaderClient {
 public:
  using CommandCallback = std::function<void(Result<proto::CommandResult>)>;
  using QueryCallback = std::function<void(Result<proto::QueryReply>)>;

  // `replicas` are the hosts that keep the replicated state.
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

  // Where the leader is believed to be.
  const std::string& leader() const { return leader_; }
  // Takes word of where the leader is, from another host.
  void SetLeader(const std::string& host);
  // Takes a sign of life of the leader itself.
  void OnLeaderContact(const std::string& host, TimePoint now);
  // Goes on to the next replica when the one asked stays silent. Many requests
  // may find out at once; only the first of them in a while moves on.
  void TryNextReplica(TimePoint now);

 private:
  struct Pending {
    proto::Envelope envelope;
    TimePoint deadline;
    TimePoint resend_at;
    // Sent, and not even a redirection came back.
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
  // When the leader last gave a sign of life, or was last exchanged.
  TimePoint last_contact_or_switch_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace sequoialb
