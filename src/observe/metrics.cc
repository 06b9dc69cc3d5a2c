#include "observe/metrics.h"

#include <cstdio>

namespace sequoialb {
namespace {

std::string FormatSample(const std::string& name, const std::string& labels,
                         double value) {
  std::array<char, 64> number{};
  std::snprintf(number.data(), number.size(), "%.10g", value);
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  return name + braces + " " + number.data() + "\n";
}

template <typename T>
T& FindOrCreate(
    std::map<std::string, std::map<std::string, std::unique_ptr<T>>>& family,
    const std::string& name, const std::string& labels) {
  std::unique_ptr<T>& metric = family[name][labels];
  if (metric == nullptr) {
    metric = std::make_unique<T>();
  }
  return *metric;
}

}  // namespace

void LatencyHistogram::Observe(Duration d) {
  double bound = kFirstBoundS;
  size_t bucket = 0;
  const double value = ToSeconds(d);
  while (bucket < kBuckets && value > bound) {
    bound *= 2;
    ++bucket;
  }
  counts_[bucket].fetch_add(1, std::memory_order_relaxed);
  sum_us_.fetch_add(static_cast<uint64_t>(value * 1e6),
                    std::memory_order_relaxed);
}

void LatencyHistogram::Render(const std::string& name,
                              const std::string& labels,
                              std::string& out) const {
  const std::string bucket_name = name + "_bucket";
  const std::string prefix = labels + (labels.empty() ? "le=\"" : ",le=\"");
  double bound = kFirstBoundS;
  uint64_t cumulative = 0;
  for (size_t i = 0; i <= kBuckets; ++i) {
    cumulative += counts_[i].load(std::memory_order_relaxed);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", bound);
    std::string le = i == kBuckets ? "+Inf" : text.data();
    out += FormatSample(bucket_name, prefix + le.append("\""),
                        static_cast<double>(cumulative));
    bound *= 2;
  }
  out += FormatSample(
      name + "_sum", labels,
      static_cast<double>(sum_us_.load(std::memory_order_relaxed)) / 1e6);
  out += FormatSample(name + "_count", labels, static_cast<double>(cumulative));
}

Counter& Metrics::counter(const std::string& name, const std::string& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrCreate(counters_, name, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrCreate(gauges_, name, labels);
}

LatencyHistogram& Metrics::latency(const std::string& name,
                                   const std::string& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrCreate(latencies_, name, labels);
}

std::string Metrics::Render() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string out;
  for (const auto& [name, family] : counters_) {
    out += "# TYPE " + name + " counter\n";
    for (const auto& [labels, counter] : family) {
      out += FormatSample(name, labels, static_cast<double>(counter->value()));
    }
  }
  for (const auto& [name, family] : gauges_) {
    out += "# TYPE " + name + " gauge\n";
    for (const auto& [labels, gauge] : family) {
      out += FormatSample(name, labels, gauge->value());
    }
  }
  for (const auto& [name, family] : latencies_) {
    out += "# TYPE " + name + " histogram\n";
    for (const auto& [labels, latency] : family) {
      latency->Render(name, labels, out);
    }
  }
  return out;
}

}  // namespace sequoialb
