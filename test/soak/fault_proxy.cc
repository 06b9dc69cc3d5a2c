#include "fault_proxy.h"

namespace sequoialb::soak {
namespace {

constexpr milliseconds kPumpInterval{5};
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
    Pump();
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
        // The caller has closed it already.
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
    auto pair = std::make_shared<Pair>();
    pair->accepted = accepted;
    pairs_[number] = pair;
    pair->near = std::make_unique<TcpStream>(thread_.loop(), accepted,
                                             OwnerOf(number, true));
    pair->far = std::make_unique<TcpStream>(thread_.loop(), target_,
                                            OwnerOf(number, false));
  } catch (const Poco::Exception&) {
    // The caller left before it was accepted.
  }
}

TcpStream::Callbacks FaultProxy::OwnerOf(uint64_t number, bool in) {
  TcpStream::Callbacks owner;
  owner.on_input = [this, number, in] { Take(number, in); };
  owner.on_end = [this, number, in](StreamEnd) {
    Take(number, in);
    const auto found = pairs_.find(number);
    if (found != pairs_.end()) {
      (in ? found->second->in : found->second->out).ended = true;
    }
  };
  return owner;
}

void FaultProxy::Take(uint64_t number, bool in) {
  const auto found = pairs_.find(number);
  if (found == pairs_.end()) {
    return;
  }
  Pair& pair = *found->second;
  TcpStream& from = in ? *pair.near : *pair.far;
  if (from.input().empty()) {
    return;
  }
  Way& way = in ? pair.in : pair.out;
  const TimePoint last = way.held.empty() ? TimePoint() : way.held.back().first;
  way.held.emplace_back(std::max(last, Clock::now() + delay_),
                        std::move(from.input()));
  from.input().clear();
}

bool FaultProxy::PumpWay(Way& way, TcpStream& to, bool silent) {
  const TimePoint now = Clock::now();
  while (!silent && to.connected() && !way.held.empty() &&
         way.held.front().first <= now) {
    to.Write(way.held.front().second);
    way.held.pop_front();
  }
  return !silent && way.held.empty() && way.ended && to.unsent() == 0;
}

void FaultProxy::Pump() {
  timer_ = thread_.loop().RunAt(thread_.loop().now() + kPumpInterval,
                                [this] { Pump(); });
  const bool silent = fault_ == LinkFault::kSilent;
  const bool silent_in = silent || fault_ == LinkFault::kSilentIn;
  std::vector<uint64_t> done;
  for (const auto& [number, pair] : pairs_) {
    const bool in_done = PumpWay(pair->in, *pair->far, silent_in);
    const bool out_done = PumpWay(pair->out, *pair->near, silent);
    // A target that refuses the connection has ended before it connected.
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
