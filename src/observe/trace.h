// Tracing: records one span for each hop of a request, holds it in memory on
// the host that recorded it, and exports it as OTLP/JSON. The trace context is
// passed on in the W3C `traceparent` header.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sequoialb {

// The trace and the parent span of a request, as a message carries them.
struct TraceContext {
  // 32 and 16 hexadecimal digits.
  std::string trace_id;
  std::string span_id;

  // Parses a `traceparent` header. Returns the context of a new trace if the
  // header is missing or malformed.
  static TraceContext FromHeader(const std::string& header);
  std::string ToHeader() const;
};

struct Span {
  std::string trace_id;
  std::string span_id;
  std::string parent_id;
  std::string name;
  int64_t start_unix_us = 0;
  int64_t end_unix_us = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
};

// Stores the most recent spans of this process, up to a fixed number.
class SpanStore {
 public:
  explicit SpanStore(std::string host) : host_(std::move(host)) {}

  void Add(Span span);

  // Returns the spans of a trace as OTLP/JSON, or all spans for an empty id.
  std::string ToOtlpJson(const std::string& trace_id) const;

 private:
  std::string host_;
  mutable std::mutex mutex_;
  std::deque<Span> spans_;
};

// Records the span of one hop, from construction to destruction.
class SpanScope {
 public:
  SpanScope(SpanStore& store, const TraceContext& parent, std::string name);
  SpanScope(const SpanScope&) = delete;
  SpanScope& operator=(const SpanScope&) = delete;
  ~SpanScope();

  void Set(const std::string& attribute, const std::string& value);
  // The context to pass to the next hop, whose parent is this span.
  const TraceContext& context() const { return context_; }

 private:
  SpanStore& store_;
  TraceContext context_;
  Span span_;
};

}  // namespace sequoialb
