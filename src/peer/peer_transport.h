// Message transport between hosts over ZeroMQ. Used by the control thread only.
//
// Each host binds one ROUTER socket and opens one DEALER socket to each peer;
// all messages are one-way. ZeroMQ queues messages for a partitioned peer and
// delivers them when the peer is reachable again, so receivers must tolerate
// stale messages: they check the terms, epochs, generations and request numbers
// in them. Heartbeats on each connection close it when the peer is
// unresponsive.
//
// If the settings contain keys, the connections are CURVE-encrypted, only hosts
// of the deployment can connect, and a message is accepted only if its sender
// is the host whose key opened the connection.
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

  // Binds the host's own address; fails with kIo if it is already in use.
  static Result<std::unique_ptr<PeerTransport>> Open(const Settings& settings,
                                                     uint64_t incarnation,
                                                     Metrics& metrics);

  void Send(const std::string& host, proto::Envelope envelope) override;

  // Appends the sockets to poll.
  void AddPollItems(std::vector<zmq::pollitem_t>& items);

  // Passes received messages, and those that this host sent to itself, to
  // `handler`. Handles a limited number of received messages per call.
  void Drain(const Handler& handler);

  // Returns true if messages from this host to itself are queued for Drain.
  bool HasLocalMessages() const { return !to_self_.empty(); }

  // Drops all messages to and from the given hosts. For tests only.
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
