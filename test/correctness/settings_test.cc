// Tests that valid settings and service documents are read as written.
#include "settings/settings.h"

#include <gtest/gtest.h>

#include "document/service_document.h"

namespace sequoialb {
namespace {

constexpr char kSettings[] = R"(
// one host
{
  "host": "h1", "failure_domain": "d1", "data_folder": "data", /* here */
  "http": "127.0.0.1:8080",
  "http_limits": {"max_connections": 7},
  "policies": {"rates": "static_shares", "routing": "random"},
  "hosts": [
    {"host": "h1", "failure_domain": "d1", "peer": "127.0.0.1:7000",
     "http": "127.0.0.1:8080", "replica": true}
  ]
}
)";

TEST(SettingsTest, ReadsCommentsDefaultsAndPolicies) {
  const auto settings = ParseSettings(kSettings, "h1.json");
  ASSERT_TRUE(settings.has_value()) << settings.error().detail;
  EXPECT_EQ(settings->self().peer.port, 7000);
  EXPECT_TRUE(settings->self().replica);
  EXPECT_EQ(settings->http_limits.max_connections, 7U);
  EXPECT_EQ(settings->http_limits.read_timeout, milliseconds(10'000));
  EXPECT_TRUE(std::holds_alternative<StaticShares>(settings->policies.rates));
  EXPECT_TRUE(std::holds_alternative<RandomChoice>(settings->policies.routing));
  EXPECT_TRUE(std::holds_alternative<OnlineFirst>(settings->policies.dispatch));
}

TEST(SettingsTest, AcceptsOnlyIpAddressesWithPort) {
  EXPECT_TRUE(ParseAddress("10.0.0.4:80").has_value());
  EXPECT_FALSE(ParseAddress("localhost:80").has_value());
  EXPECT_FALSE(ParseAddress("10.0.0.4").has_value());
  EXPECT_FALSE(ParseAddress("10.0.0.4:0").has_value());
  EXPECT_FALSE(ParseAddress("10.0.0.4:70000").has_value());
  EXPECT_FALSE(ParseAddress("10.0.0.4:80x").has_value());
}

TEST(ServiceDocumentTest, LongestPrefixMatchesWholeSegments) {
  const auto document = ParseServiceDocument(R"({
    "service": "s",
    "routes": [{"prefix": "/a", "open": true}, {"prefix": "/a/b", "idempotent": false}]
  })",
                                             "s.json");
  ASSERT_TRUE(document.has_value()) << document.error().detail;
  EXPECT_EQ(document->FindRoute("/a/b/c")->prefix, "/a/b");
  EXPECT_EQ(document->FindRoute("/a/bc")->prefix, "/a");
  EXPECT_EQ(document->FindRoute("/ab"), nullptr);
}

TEST(ServiceDocumentTest, ExamplesAreValid) {
  for (const char* name : {"cart-desk", "dispatch-lm"}) {
    const std::string path =
        std::string(SEQUOIALB_ROOT) + "/examples/" + name + ".json";
    const auto text = ReadFile(path);
    ASSERT_TRUE(text.has_value()) << path;
    const auto document = ParseServiceDocument(*text, path);
    ASSERT_TRUE(document.has_value()) << document.error().detail;
    EXPECT_EQ(document->accounts.size(), 8U);
  }
}

}  // namespace
}  // namespace sequoialb
