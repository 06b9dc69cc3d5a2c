// Links to the other hosts over ZeroMQ, used by the control thread alone.
//
// Each host binds one ROUTER socket and opens one DEALER socket towards each
// peer; all messages are one-way. ZeroMQ keeps messages for a peer that is cut
// off and delivers them when it returns, so old ones must do no harm: what they
// carry is checked against terms, epochs, generations and request numbers, and
// heartbeats on each link drop a connection whose far end went silent.
//
// With keys in the settings the links are CURVE-encrypted, only hosts of the
// deployment get through, and a message counts as coming from the host whose
// key opened the connection.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "observe/metrics.h"
#include "peer/peer_sender.h"
#include "settings/settings.h"

namespace sequoialb {

class PeerTransport : public PeerSender {
 public:
  using Handler = std::function<void(const proto::Envelope&)>;

  // Binds the host's own address; fails with kIo when that is taken.
  static Result<std::unique_ptr<PeerTransport>> Open(const Settings& settings,
                                                     uint64_t incarnation,
                                                     Metrics& metrics);

  void Send(const std::string& host, proto::Envelope envelope) override;

  // Adds the sockets to wait on.
  void AddPollItems(std::vector<zmq::pollitem_t>& items);

  // Hands all messages that have arrived, and those to this host itself, to
  // `handler`.
  void Drain(const Handler& handler);

  // True when messages of this host to itself wait to be drained.
  bool HasLocalMessages() const { return !to_self_.empty(); }

  // Drops all traffic with the given hosts; test-only.
  void SetBlockedHosts(std::set<std::string> hosts) {
    blocked_hosts_ = std::move(hosts);
  }
  const std::set<std::string>& blocked_hosts() const { return blocked_hosts_; }

 private:
  PeerTransport(const Settings& settings, uint64_t incarnation,
                Metrics& metrics);
  Status Bind();
  zmq::socket_t& SocketTo(const HostEntry& peer);
  void AnswerZap();
  bool Accept(const proto::Envelope& envelope, zmq::message_t& message) const;
  bool Receive(const Handler& handler);

  const Settings& settings_;
  const uint64_t incarnation_;
  std::string secret_key_;
  std::string public_key_;
  zmq::context_t context_;
  zmq::socket_t router_;
  zmq::socket_t zap_;
  struct Dealer {
    std::string address;
    zmq::socket_t socket;
  };
  std::map<std::string, Dealer> dealers_;
  std::vector<proto::Envelope> to_self_;
  std::set<std::string> blocked_hosts_;
  Counter& sent_messages_;
  Counter& sent_bytes_;
  Counter& received_messages_;
  Counter& received_bytes_;
  Counter& dropped_;
};

}  // namespace sequoialb
