// Tests of a host's active configuration, of trace contexts and of metrics.
#include <gtest/gtest.h>

#include "config/config_view.h"
#include "observe/metrics.h"
#include "observe/trace.h"

namespace sequoialb {
namespace {

proto::ConfigState Change(uint64_t index, uint64_t version,
                          const std::string& rate) {
  proto::ConfigState change;
  change.set_index(index);
  proto::Document& document = *change.add_documents();
  document.set_service("s");
  document.set_version(version);
  document.set_index(index);
  document.set_content(
      R"({"service":"s","accounts":[{"account":"a","burst":5,"rate_per_s":)" +
      rate + "}]}");
  return change;
}

TEST(ConfigHolderTest, IgnoresOlderVersions) {
  ConfigHolder holder;
  holder.Apply(Change(5, 2, "20"));
  EXPECT_EQ(holder.current()->RateLimitOf("a")->rate, 20);
  holder.Apply(Change(4, 1, "10"));
  EXPECT_EQ(holder.current()->RateLimitOf("a")->rate, 20);
  // A change with a newer log index but an older document version is ignored.
  holder.Apply(Change(6, 1, "10"));
  EXPECT_EQ(holder.current()->RateLimitOf("a")->rate, 20);
  holder.Apply(Change(7, 3, "30"));
  EXPECT_EQ(holder.current()->RateLimitOf("a")->rate, 30);
}

TEST(ConfigHolderTest, KeepsPreviousDocumentWhenNewOneIsUnreadable) {
  ConfigHolder holder;
  holder.Apply(Change(5, 2, "20"));
  proto::ConfigState change = Change(6, 3, "30");
  change.mutable_documents(0)->set_content(
      R"({"service":"s","field_of_the_future":1})");
  holder.Apply(change);
  EXPECT_EQ(holder.current()->RateLimitOf("a")->rate, 20);
  EXPECT_EQ(holder.current()->index, 6U);
}

TEST(ConfigHolderTest, FreshnessExpiresAndStartsUnconfirmed) {
  ConfigHolder holder;
  const TimePoint now = TimePoint() + seconds(100);
  EXPECT_FALSE(holder.Fresh(now, seconds(1'000)));
  holder.ExtendFreshness(now + seconds(3));
  EXPECT_TRUE(holder.Fresh(now + milliseconds(2'999), Duration(0)));
  EXPECT_FALSE(holder.Fresh(now + seconds(3), Duration(0)));
  EXPECT_TRUE(holder.Fresh(now + seconds(3), seconds(1)));
  holder.ExtendFreshness(now + seconds(1));
  EXPECT_TRUE(holder.Fresh(now + seconds(2), Duration(0)));
}

TEST(TraceContextTest, PassesThroughAndReplacesWhatIsMalformed) {
  const std::string header =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  EXPECT_EQ(TraceContext::FromHeader(header).ToHeader(), header);
  EXPECT_EQ(TraceContext::FromHeader("").trace_id.size(), 32U);
  EXPECT_NE(TraceContext::FromHeader(std::string(55, 'z')).trace_id,
            std::string(32, 'z'));
}

TEST(MetricsTest, RendersThePrometheusText) {
  Metrics metrics;
  metrics.counter("c_total", "kind=\"x\"").Add(3);
  metrics.gauge("g").Set(1.5);
  metrics.latency("l_seconds").Observe(milliseconds(3));
  const std::string text = metrics.Render();
  EXPECT_NE(text.find("c_total{kind=\"x\"} 3\n"), std::string::npos);
  EXPECT_NE(text.find("g 1.5\n"), std::string::npos);
  EXPECT_NE(text.find("l_seconds_bucket{le=\"0.004\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("l_seconds_bucket{le=\"0.002\"} 0\n"), std::string::npos);
  EXPECT_NE(text.find("l_seconds_count 1\n"), std::string::npos);
}

}  // namespace
}  // namespace sequoialb
