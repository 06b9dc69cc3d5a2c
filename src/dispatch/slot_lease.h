// A slot on a backend server that a dispatcher has granted to this host.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "proto/peer.pb.h"

namespace sequoialb {

// Shared between the traffic thread that runs a request and the control thread,
// which revokes the lease. The interrupt callback ends blocking work on the
// server at once.
class SlotLease {
 public:
  SlotLease(std::string dispatcher, uint64_t slot, proto::Backend backend)
      : dispatcher_(std::move(dispatcher)),
        slot_(slot),
        backend_(std::move(backend)) {}

  const std::string& dispatcher() const { return dispatcher_; }
  uint64_t slot() const { return slot_; }
  const proto::Backend& backend() const { return backend_; }
  bool revoked() const { return revoked_.load(); }

  // Sets the callback that ends the running work. It is called immediately if
  // the lease is already revoked.
  void SetInterrupt(std::function<void()> interrupt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    interrupt_ = std::move(interrupt);
    if (revoked_ && interrupt_) {
      interrupt_();
    }
  }

  void Revoke() {
    const std::lock_guard<std::mutex> lock(mutex_);
    revoked_ = true;
    if (interrupt_) {
      interrupt_();
    }
  }

 private:
  const std::string dispatcher_;
  const uint64_t slot_;
  const proto::Backend backend_;
  std::atomic<bool> revoked_{false};
  std::mutex mutex_;
  std::function<void()> interrupt_;
};

}  // namespace sequoialb
