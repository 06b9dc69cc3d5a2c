#include "fault_proxy.h"

namespace sequoialb::soak {
namespace {

constexpr milliseconds kForwardInterval{5};
constexpr int kBacklog = 128;

}  // namespace

FaultProxy::FaultProxy(fakes::LoopThread& loop, const Address& listen,
                       Address target)
    : thread_(loop),
      socket_(Poco::Net::SocketAddress(listen.ip, listen.port), kBacklog),
      target_(std::move(target)) {
  socket_.setBlocking(false);
  thread_.Run([this] {
    thread_.loop().Watch(socket_.impl()->sockfd(), this, true, false);
    ForwardDueBytes();
  });
}

FaultProxy::~FaultProxy() {
  thread_.Run([this] {
    thread_.loop().Cancel(timer_);
    thread_.loop().Unwatch(socket_.impl()->sockfd());
    pairs_.clear();
  });
}

Address FaultProxy::address() const {
  return {socket_.address().host().toString(), socket_.address().port()};
}

void FaultProxy::Set(LinkFault fault, milliseconds delay) {
  thread_.Run([&] {
    fault_ = fault;
    delay_ = delay;
  });
}

void FaultProxy::ResetAll() {
  thread_.Run([this] {
    for (const auto& [number, pair] : pairs_) {
      try {
        pair->accepted.setLinger(true, 0);
      } catch (const Poco::Exception&) {
        // The caller has already closed the connection.
      }
      thread_.loop().ReleaseAfterIteration(pair);
    }
    pairs_.clear();
  });
}

void FaultProxy::OnReady(bool /*readable*/, bool /*writable*/,
                         bool /*failed*/) {
  try {
    Poco::Net::StreamSocket accepted = socket_.acceptConnection();
    const uint64_t number = next_++;
    auto pair = std::make_shared<ConnectionPair>();
    pair->accepted = accepted;
    pairs_[number] = pair;
    pair->caller_stream = std::make_unique<TcpStream>(
        thread_.loop(), accepted, MakeCallbacks(number, true));
    pair->target_stream = std::make_unique<TcpStream>(
        thread_.loop(), target_, MakeCallbacks(number, false));
  } catch (const Poco::Exception&) {
    // The caller closed the connection before it was accepted.
  }
}

TcpStream::Callbacks FaultProxy::MakeCallbacks(uint64_t number, bool in) {
  TcpStream::Callbacks callbacks;
  callbacks.on_input = [this, number, in] { ReadInput(number, in); };
  callbacks.on_end = [this, number, in](StreamEnd) {
    ReadInput(number, in);
    const auto found = pairs_.find(number);
    if (found != pairs_.end()) {
      (in ? found->second->inbound : found->second->outbound).ended = true;
    }
  };
  return callbacks;
}

void FaultProxy::ReadInput(uint64_t number, bool in) {
  const auto found = pairs_.find(number);
  if (found == pairs_.end()) {
    return;
  }
  ConnectionPair& pair = *found->second;
  TcpStream& from = in ? *pair.caller_stream : *pair.target_stream;
  if (from.input().empty()) {
    return;
  }
  Direction& direction = in ? pair.inbound : pair.outbound;
  const TimePoint last =
      direction.held.empty() ? TimePoint() : direction.held.back().first;
  direction.held.emplace_back(std::max(last, Clock::now() + delay_),
                              std::move(from.input()));
  from.input().clear();
}

bool FaultProxy::ForwardDirection(Direction& direction, TcpStream& to,
                                  bool stalled) {
  const TimePoint now = Clock::now();
  while (!stalled && to.connected() && !direction.held.empty() &&
         direction.held.front().first <= now) {
    to.Write(direction.held.front().second);
    direction.held.pop_front();
  }
  return !stalled && direction.held.empty() && direction.ended &&
         to.unsent() == 0;
}

void FaultProxy::ForwardDueBytes() {
  timer_ = thread_.loop().RunAt(thread_.loop().now() + kForwardInterval,
                                [this] { ForwardDueBytes(); });
  const bool stalled = fault_ == LinkFault::kStall;
  const bool inbound_stalled = stalled || fault_ == LinkFault::kStallInbound;
  std::vector<uint64_t> done;
  for (const auto& [number, pair] : pairs_) {
    const bool in_done =
        ForwardDirection(pair->inbound, *pair->target_stream, inbound_stalled);
    const bool out_done =
        ForwardDirection(pair->outbound, *pair->caller_stream, stalled);
    // Either direction may finish first: a target that refuses the connection
    // ends its direction before it connected.
    if (in_done || out_done) {
      done.push_back(number);
    }
  }
  for (const uint64_t number : done) {
    Remove(number);
  }
}

void FaultProxy::Remove(uint64_t number) {
  const auto found = pairs_.find(number);
  thread_.loop().ReleaseAfterIteration(found->second);
  pairs_.erase(found);
}

}  // namespace sequoialb::soak
