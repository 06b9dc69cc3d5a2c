// Counters, gauges and latency histograms of one process, rendered in the
// Prometheus text format. Updating a metric is an atomic operation; only
// looking one up by name and rendering take a lock.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/time.h"

namespace sequoialb {

class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

// Counts durations in buckets whose bounds double from 0.25 ms to 131 s.
class LatencyHistogram {
 public:
  static constexpr size_t kBuckets = 20;
  static constexpr double kFirstBoundS = 0.000'25;

  void Observe(Duration d);
  void Render(const std::string& name, const std::string& labels,
              std::string& out) const;

 private:
  std::array<std::atomic<uint64_t>, kBuckets + 1> counts_{};
  std::atomic<uint64_t> sum_us_{0};
};

class Metrics {
 public:
  // Returns the metric with this name and these labels, creating it at first
  // use. `labels` is the text between the braces, such as `class="online"`, or
  // empty.
  Counter& counter(const std::string& name, const std::string& labels = "");
  Gauge& gauge(const std::string& name, const std::string& labels = "");
  LatencyHistogram& latency(const std::string& name,
                            const std::string& labels = "");

  // Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  template <typename T>
  using Family =
      std::map<std::string, std::map<std::string, std::unique_ptr<T>>>;

  mutable std::mutex mutex_;
  Family<Counter> counters_;
  Family<Gauge> gauges_;
  Family<LatencyHistogram> latencies_;
};

}  // namespace sequoialb
