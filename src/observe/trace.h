// Traces: one span for each hop of a request, kept in memory on the host that
// made it and read as OTLP/JSON. The context travels in the W3C `traceparent`
// header.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sequoialb {

// The position in a trace that a message carries.
struct TraceContext {
  // 32 and 16 hexadecimal digits.
  std::string trace_id;
  std::string span_id;

  // Parses a `traceparent` header; a missing or malformed one starts a trace.
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

// Holds the newest spans of this process.
class SpanStore {
 public:
  explicit SpanStore(std::string host) : host_(std::move(host)) {}

  void Add(Span span);

  // Returns the spans of a trace in the OTLP/JSON form; all for an empty id.
  std::string ToOtlpJson(const std::string& trace_id) const;

 private:
  std::string host_;
  mutable std::mutex mutex_;
  std::deque<Span> spans_;
};

// Measures one hop: starts at construction, ends at destruction.
class SpanScope {
 public:
  SpanScope(SpanStore& store, const TraceContext& parent, std::string name);
  SpanScope(const SpanScope&) = delete;
  SpanScope& operator=(const SpanScope&) = delete;
  ~SpanScope();

  void Set(const std::string& attribute, const std::string& value);
  // The context that the next hop has as its parent.
  const TraceContext& context() const { return context_; }

 private:
  SpanStore& store_;
  TraceContext context_;
  Span span_;
};

}  // namespace sequoialb
