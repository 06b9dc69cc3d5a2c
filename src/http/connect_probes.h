// Finds out whether a process listens at an address: opens a connection and
// closes it at once, without a request.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/event_loop.h"
#include "http/tcp_stream.h"

namespace sequoialb {

// kUnknown: no result within the time limit, or another error.
enum class ProbeResult : uint8_t { kAccepted, kRefused, kUnknown };

class ConnectProbes {
 public:
  explicit ConnectProbes(EventLoop& loop) : loop_(loop) {}
  ~ConnectProbes();
  ConnectProbes(const ConnectProbes&) = delete;
  ConnectProbes& operator=(const ConnectProbes&) = delete;

  // `done` does not run after this object has been destroyed.
  void Start(const Address& address, TimePoint deadline,
             std::function<void(ProbeResult)> done);

 private:
  struct Probe {
    std::unique_ptr<TcpStream> stream;
    TimerId timer = 0;
    std::function<void(ProbeResult)> done;
  };

  void End(uint64_t number, ProbeResult result);

  EventLoop& loop_;
  uint64_t next_number_ = 1;
  std::map<uint64_t, std::shared_ptr<Probe>> probes_;
};

}  // namespace sequoialb
