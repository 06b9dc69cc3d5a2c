#include "peer/peer_transport.h"

#include <algorithm>
#include <cstring>

#include "observe/log.h"

namespace sequoialb {
namespace {

constexpr uint32_t kProtocolVersion = 1;
constexpr int kSendHighWater = 10'000;
constexpr int kMinReconnectMs = 100;
// Hosts often start or restart within a second of each other, so the reconnect
// backoff must stay well below that.
constexpr int kMaxReconnectMs = 200;
// An unresponsive connection is replaced within 2 s, the time in which a
// configuration change has to reach every host.
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 1'500;
// Many round trips within a region, but less than the retransmission timeout of
// a lost packet.
constexpr int kConnectTimeoutMs = 300;
constexpr int64_t kMaxMessageBytes = 64 << 20;
// Upper limit of messages handled in one call of Drain, so that timers run
// between calls.
constexpr int kMaxMessagesPerDrain = 2'000;
constexpr size_t kCurveKeyChars = 40;

std::string Trimmed(std::string text) {
  while (!text.empty() &&
         (text.back() == '\n' || text.back() == '\r' || text.back() == ' ')) {
    text.pop_back();
  }
  return text;
}

}  // namespace

PeerTransport::PeerTransport(const Settings& settings, uint64_t incarnation,
                             Metrics& metrics)
    : settings_(settings),
      incarnation_(incarnation),
      context_(1),
      router_(context_, zmq::socket_type::router),
      zap_(context_, zmq::socket_type::rep),
      sent_messages_(metrics.counter("sequoialb_peer_sent_messages_total")),
      sent_bytes_(metrics.counter("sequoialb_peer_sent_bytes_total")),
      received_messages_(
          metrics.counter("sequoialb_peer_received_messages_total")),
      received_bytes_(metrics.counter("sequoialb_peer_received_bytes_total")),
      dropped_(metrics.counter("sequoialb_peer_dropped_messages_total")) {}

Result<std::unique_ptr<PeerTransport>> PeerTransport::Open(
    const Settings& settings, uint64_t incarnation, Metrics& metrics) {
  std::unique_ptr<PeerTransport> transport(
      new PeerTransport(settings, incarnation, metrics));
  if (!settings.curve_secret_key_file.empty()) {
    const Result<std::string> secret = ReadFile(settings.curve_secret_key_file);
    if (!secret) {
      return tl::unexpected<Error>(secret.error());
    }
    transport->secret_key_ = Trimmed(*secret);
    std::string public_key(kCurveKeyChars + 1, '\0');
    if (transport->secret_key_.size() != kCurveKeyChars ||
        zmq_curve_public(public_key.data(), transport->secret_key_.c_str()) !=
            0) {
      return Fail(
          ErrorCode::kInvalidField,
          settings.curve_secret_key_file +
              ": expected a CURVE secret key of 40 characters; generate one "
              "with \"sequoialb make-keys\"");
    }
    public_key.resize(kCurveKeyChars);
    transport->public_key_ = public_key;
    if (settings.self().curve_public_key != public_key) {
      return Fail(ErrorCode::kInvalidField,
                  settings.curve_secret_key_file +
                      ": does not match the curve_public_key of host " +
                      settings.host);
    }
  }
  const Status bound = transport->Bind();
  if (!bound) {
    return tl::unexpected<Error>(bound.error());
  }
  return transport;
}

Status PeerTransport::Bind() {
  const std::string address =
      "tcp://" +
      settings_.peer_listen.value_or(settings_.self().peer).ToString();
  try {
    router_.set(zmq::sockopt::linger, 0);
    router_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    router_.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    router_.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    zap_.bind("inproc://zeromq.zap.01");
    if (!secret_key_.empty()) {
      router_.set(zmq::sockopt::zap_domain, "sequoialb");
      router_.set(zmq::sockopt::curve_server, 1);
      router_.set(zmq::sockopt::curve_secretkey, secret_key_);
    }
    router_.bind(address);
  } catch (const zmq::error_t& e) {
    return Fail(ErrorCode::kIo, "bind " + address + ": " + e.what());
  }
  return {};
}

zmq::socket_t& PeerTransport::SocketTo(const HostEntry& peer) {
  const std::string address = peer.peer.ToString();
  const auto found = dealers_.find(peer.host);
  if (found != dealers_.end() && found->second.address == address) {
    return found->second.socket;
  }
  if (found != dealers_.end()) {
    dealers_.erase(found);
  }
  zmq::socket_t socket(context_, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendHighWater);
  // Queue messages only while the peer is connected.
  socket.set(zmq::sockopt::immediate, 1);
  socket.set(zmq::sockopt::reconnect_ivl, kMinReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  if (!secret_key_.empty()) {
    socket.set(zmq::sockopt::curve_serverkey, peer.curve_public_key);
    socket.set(zmq::sockopt::curve_publickey, public_key_);
    socket.set(zmq::sockopt::curve_secretkey, secret_key_);
  }
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.connect("tcp://" + address);
  return dealers_.emplace(peer.host, Dealer{address, std::move(socket)})
      .first->second.socket;
}

void PeerTransport::Send(const std::string& host, proto::Envelope envelope) {
  envelope.set_from(settings_.host);
  envelope.set_to(host);
  envelope.set_incarnation(incarnation_);
  envelope.set_protocol(kProtocolVersion);
  if (host == settings_.host) {
    to_self_.push_back(std::move(envelope));
    return;
  }
  const HostEntry* peer = settings_.Find(host);
  if (peer == nullptr || blocked_hosts_.count(host) > 0) {
    dropped_.Add();
    return;
  }
  const std::string bytes = envelope.SerializeAsString();
  try {
    const auto sent =
        SocketTo(*peer).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    if (!sent) {
      dropped_.Add();
      return;
    }
  } catch (const zmq::error_t& e) {
    dropped_.Add();
    LogWarn("peer_send_failed", {{"peer", host}, {"reason", e.what()}});
    return;
  }
  sent_messages_.Add();
  sent_bytes_.Add(bytes.size());
}

void PeerTransport::AddPollItems(std::vector<zmq::pollitem_t>& items) {
  items.push_back({router_.handle(), 0, ZMQ_POLLIN, 0});
  items.push_back({zap_.handle(), 0, ZMQ_POLLIN, 0});
}

// Answers one ZAP authentication request of the ZeroMQ I/O thread: accepts a
// connection if its public key belongs to a host in the settings.
void PeerTransport::AnswerZap() {
  std::vector<std::string> frames;
  zmq::message_t frame;
  while (zap_.recv(frame, zmq::recv_flags::dontwait)) {
    frames.push_back(frame.to_string());
    if (!frame.more()) {
      break;
    }
  }
  constexpr size_t kFramesWithCurveKey = 7;
  if (frames.empty()) {
    return;
  }
  std::string user;
  if (frames.size() == kFramesWithCurveKey && frames[5] == "CURVE") {
    std::string text(kCurveKeyChars + 1, '\0');
    const auto* key = reinterpret_cast<const uint8_t*>(frames[6].data());
    zmq_z85_encode(text.data(), key, frames[6].size());
    text.resize(kCurveKeyChars);
    for (const HostEntry& peer : settings_.hosts) {
      user = peer.curve_public_key == text ? peer.host : user;
    }
  }
  const bool known = !user.empty();
  if (!known) {
    LogWarn("peer_rejected", {{"address", frames.size() > 3 ? frames[3] : ""}});
  }
  const std::string request_id = frames.size() > 1 ? frames[1] : "";
  const std::vector<std::string> reply = {
      "1.0", request_id, known ? "200" : "400", known ? "OK" : "unknown key",
      user,  ""};
  for (size_t i = 0; i < reply.size(); ++i) {
    const auto flags =
        i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
    zap_.send(zmq::buffer(reply[i]), flags);
  }
}

bool PeerTransport::Accept(const proto::Envelope& envelope,
                           zmq::message_t& message) const {
  // With open membership, a sender that knows only this host's address uses the
  // address as the recipient.
  const bool addressed_to_this_host =
      envelope.to() == settings_.host ||
      (settings_.open_membership &&
       envelope.to() == settings_.self().peer.ToString());
  if (!addressed_to_this_host || envelope.protocol() != kProtocolVersion ||
      (!settings_.open_membership &&
       settings_.Find(envelope.from()) == nullptr) ||
      blocked_hosts_.count(envelope.from()) > 0) {
    return false;
  }
  if (secret_key_.empty()) {
    return true;
  }
  const char* user = message.gets("User-Id");
  return user != nullptr && envelope.from() == user;
}

bool PeerTransport::Receive(const Handler& handler) {
  zmq::message_t identity;
  if (!router_.recv(identity, zmq::recv_flags::dontwait)) {
    return false;
  }
  zmq::message_t message;
  bool more = identity.more();
  while (more) {
    if (!router_.recv(message, zmq::recv_flags::none)) {
      return false;
    }
    more = message.more();
  }
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(message.data(),
                               static_cast<int>(message.size())) ||
      !Accept(envelope, message)) {
    dropped_.Add();
    return true;
  }
  received_messages_.Add();
  received_bytes_.Add(message.size());
  handler(envelope);
  return true;
}

void PeerTransport::Drain(const Handler& handler) {
  AnswerZap();
  for (int i = 0; i < kMaxMessagesPerDrain && Receive(handler); ++i) {
  }
  // Messages that these handlers send to this host itself are handled in the
  // next call, so that timers run in between.
  const std::vector<proto::Envelope> batch = std::move(to_self_);
  to_self_.clear();
  for (const proto::Envelope& envelope : batch) {
    handler(envelope);
  }
}

}  // namespace sequoialb
