// A TCP proxy on a loopback address that injects network faults between the
// programs under test: it delays bytes, stalls one or both directions, or
// resets connections.
//
// While a direction is stalled, its bytes are buffered and forwarded later, as
// TCP retransmits them after a network partition. Neither end is notified.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <deque>
#include <map>
#include <memory>

#include "../fakes/raw_sockets.h"
#include "http/tcp_stream.h"

namespace sequoialb::soak {

// Inbound is the direction from the caller to the target. kStall stalls both.
enum class LinkFault : uint8_t { kNone, kDelay, kStallInbound, kStall };

class FaultProxy : public IoHandler {
 public:
  // `loop` must outlive the proxy. With port 0 the kernel picks a free port.
  FaultProxy(fakes::LoopThread& loop, const Address& listen, Address target);
  ~FaultProxy() override;

  Address address() const;

  // Set and ResetAll may be called from any thread.
  void Set(LinkFault fault, milliseconds delay = milliseconds(0));
  // Resets all open connections.
  void ResetAll();

  void OnReady(bool readable, bool writable, bool failed) override;

 private:
  struct Direction {
    // Buffered bytes with the times at which they are due to be forwarded.
    std::deque<std::pair<TimePoint, std::string>> held;
    // The sender has closed its side.
    bool ended = false;
  };
  // A caller's connection and the matching connection to the target.
  struct ConnectionPair {
    Poco::Net::StreamSocket accepted;
    std::unique_ptr<TcpStream> caller_stream;
    std::unique_ptr<TcpStream> target_stream;
    Direction inbound;
    Direction outbound;
  };

  // `in` selects the stream from the caller; otherwise the one from the target.
  TcpStream::Callbacks MakeCallbacks(uint64_t number, bool in);
  void ReadInput(uint64_t number, bool in);
  void ForwardDueBytes();
  // Forwards the bytes of one direction that are due. Returns true if the
  // sender has closed and everything has been forwarded.
  bool ForwardDirection(Direction& direction, TcpStream& to, bool stalled);
  void Remove(uint64_t number);

  fakes::LoopThread& thread_;
  Poco::Net::ServerSocket socket_;
  Address target_;
  LinkFault fault_ = LinkFault::kNone;
  milliseconds delay_{0};
  uint64_t next_ = 1;
  std::map<uint64_t, std::shared_ptr<ConnectionPair>> pairs_;
  TimerId timer_ = 0;
};

}  // namespace sequoialb::soak
