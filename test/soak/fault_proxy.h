// A loopback proxy that spoils connections from outside the programs: delays
// them, silences one or both directions, or resets them.
//
// While a direction is silent its bytes are held, as a cut network holds them
// until the sender's next repetition; nothing tells either end.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <deque>
#include <map>
#include <memory>

#include "../fakes/raw_sockets.h"
#include "http/tcp_stream.h"

namespace sequoialb::soak {

enum class LinkFault : uint8_t { kNone, kDelay, kSilentIn, kSilent };

class FaultProxy : public IoHandler {
 public:
  // `loop` outlives the proxy. Port 0 lets the kernel pick one.
  FaultProxy(fakes::LoopThread& loop, const Address& listen, Address target);
  ~FaultProxy() override;

  Address address() const;

  // The rest is for any thread.
  void Set(LinkFault fault, milliseconds delay = milliseconds(0));
  // Resets the connections that are open now.
  void ResetAll();

  void OnReady(bool readable, bool writable, bool failed) override;

 private:
  struct Way {
    // Bytes with the instants at which they go on.
    std::deque<std::pair<TimePoint, std::string>> held;
    bool ended = false;
  };
  // A caller's connection and the one to the target.
  struct Pair {
    Poco::Net::StreamSocket accepted;
    std::unique_ptr<TcpStream> near;
    std::unique_ptr<TcpStream> far;
    Way in;
    Way out;
  };

  TcpStream::Callbacks OwnerOf(uint64_t number, bool in);
  void Take(uint64_t number, bool in);
  void Pump();
  // True when the way has nothing left and its sender has ended.
  bool PumpWay(Way& way, TcpStream& to, bool silent);
  void Remove(uint64_t number);

  fakes::LoopThread& thread_;
  Poco::Net::ServerSocket socket_;
  Address target_;
  LinkFault fault_ = LinkFault::kNone;
  milliseconds delay_{0};
  uint64_t next_ = 1;
  std::map<uint64_t, std::shared_ptr<Pair>> pairs_;
  TimerId timer_ = 0;
};

}  // namespace sequoialb::soak
