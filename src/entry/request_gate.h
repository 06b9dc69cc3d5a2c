// Counts the requests in progress, so that a graceful stop can wait for them,
// and admits no new ones once it is closed.
#pragma once

#include <atomic>
#include <cstdint>

namespace sequoialb {

class RequestGate {
 public:
  // Counts one request as in progress for the lifetime of this object. The
  // request is not admitted if the gate is closed.
  class RequestScope {
   public:
    explicit RequestScope(RequestGate& gate) : gate_(gate) {
      gate_.in_flight_.fetch_add(1);
      admitted_ = !gate_.closed_.load();
    }
    RequestScope(const RequestScope&) = delete;
    RequestScope& operator=(const RequestScope&) = delete;
    ~RequestScope() { gate_.in_flight_.fetch_sub(1); }

    bool admitted() const { return admitted_; }

   private:
    RequestGate& gate_;
    bool admitted_ = false;
  };

  void Close() { closed_ = true; }
  bool closed() const { return closed_.load(); }
  int64_t in_flight() const { return in_flight_.load(); }

 private:
  std::atomic<bool> closed_{false};
  std::atomic<int64_t> in_flight_{0};
};

}  // namespace sequoialb
