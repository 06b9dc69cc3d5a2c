#include "observe/trace.h"

#include <json/value.h>

#include <algorithm>
#include <chrono>

#include "base/hash.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr size_t kMaxSpans = 20'000;
constexpr size_t kTraceIdDigits = 32;
constexpr size_t kSpanIdDigits = 16;
// "00-" + trace id + "-" + span id + "-" + two digits of flags.
constexpr size_t kHeaderSize = 55;

int64_t UnixUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

Json::Value Attribute(const std::string& key, const std::string& value) {
  Json::Value attribute;
  attribute["key"] = key;
  attribute["value"]["stringValue"] = value;
  return attribute;
}

Json::Value ToJson(const Span& span) {
  Json::Value json;
  json["traceId"] = span.trace_id;
  json["spanId"] = span.span_id;
  json["parentSpanId"] = span.parent_id;
  json["name"] = span.name;
  json["startTimeUnixNano"] = std::to_string(span.start_unix_us * 1000);
  json["endTimeUnixNano"] = std::to_string(span.end_unix_us * 1000);
  json["attributes"] = Json::Value(Json::arrayValue);
  for (const auto& [key, value] : span.attributes) {
    json["attributes"].append(Attribute(key, value));
  }
  return json;
}

}  // namespace

TraceContext TraceContext::FromHeader(const std::string& header) {
  TraceContext context;
  const bool well_formed = header.size() == kHeaderSize &&
                           header.compare(0, 3, "00-") == 0 &&
                           header[3 + kTraceIdDigits] == '-';
  if (well_formed) {
    context.trace_id = header.substr(3, kTraceIdDigits);
    context.span_id = header.substr(4 + kTraceIdDigits, kSpanIdDigits);
  }
  if (!well_formed || !IsHex(context.trace_id) || !IsHex(context.span_id)) {
    return TraceContext{RandomHex(kTraceIdDigits / 2), ""};
  }
  return context;
}

std::string TraceContext::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

void SpanStore::Add(Span span) {
  const std::lock_guard<std::mutex> lock(mutex_);
  spans_.push_back(std::move(span));
  if (spans_.size() > kMaxSpans) {
    spans_.pop_front();
  }
}

std::string SpanStore::ToOtlpJson(const std::string& trace_id) const {
  Json::Value spans(Json::arrayValue);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Span& span : spans_) {
      if (trace_id.empty() || span.trace_id == trace_id) {
        spans.append(ToJson(span));
      }
    }
  }
  Json::Value scope;
  scope["scope"]["name"] = "sequoialb";
  scope["spans"] = spans;
  Json::Value resource;
  resource["resource"]["attributes"].append(Attribute("host.name", host_));
  resource["scopeSpans"].append(scope);
  Json::Value root;
  root["resourceSpans"].append(resource);
  return JsonLine(root);
}

SpanScope::SpanScope(SpanStore& store, const TraceContext& parent,
                     std::string name)
    : store_(store) {
  span_.trace_id = parent.trace_id;
  span_.parent_id = parent.span_id;
  span_.span_id = RandomHex(kSpanIdDigits / 2);
  span_.name = std::move(name);
  span_.start_unix_us = UnixUs();
  context_ = TraceContext{span_.trace_id, span_.span_id};
}

SpanScope::~SpanScope() {
  span_.end_unix_us = UnixUs();
  store_.Add(std::move(span_));
}

void SpanScope::Set(const std::string& attribute, const std::string& value) {
  span_.attributes.emplace_back(attribute, value);
}

}  // namespace sequoialb
