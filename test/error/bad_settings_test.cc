// Tests that invalid settings and service documents are rejected with an error
// that names the line, the field and what to write instead.
#include <gtest/gtest.h>

#include "document/service_document.h"
#include "settings/json_fields.h"
#include "settings/settings.h"

namespace sequoialb {
namespace {

struct InvalidText {
  std::string text;
  ErrorCode code;
  std::string expected_detail;
};

void ExpectErrors(const std::vector<InvalidText>& cases,
                  const std::function<Status(const std::string&)>& parse) {
  for (const InvalidText& bad : cases) {
    const Status status = parse(bad.text);
    ASSERT_FALSE(status.has_value()) << bad.text;
    EXPECT_EQ(status.error().code, bad.code) << status.error().detail;
    EXPECT_NE(status.error().detail.find(bad.expected_detail),
              std::string::npos)
        << status.error().detail << " lacks " << bad.expected_detail;
  }
}

Status CheckSettings(const std::string& text) {
  return ParseSettings(text, "h1.json").map([](const Settings&) {});
}

Status CheckServiceDocument(const std::string& text) {
  return ParseServiceDocument(text, "s.json").map([](const ServiceDocument&) {
  });
}

std::string WithHosts(const std::string& fields) {
  return "{\"host\": \"h1\", \"failure_domain\": \"d1\", \"data_folder\": "
         "\"d\",\n"
         "\"http\": \"127.0.0.1:1\",\n" +
         fields +
         "\"hosts\": [{\"host\": \"h1\", \"failure_domain\": \"d1\",\n"
         "\"peer\": \"127.0.0.1:2\", \"http\": \"127.0.0.1:1\"}]}";
}

TEST(BadSettingsTest, ErrorsNameLineFieldAndRemedy) {
  ExpectErrors(
      {
          {"{", ErrorCode::kMalformed, "h1.json"},
          {"[]", ErrorCode::kMalformed, "object"},
          {"{\"host\": \"a\", \"host\": \"b\"}", ErrorCode::kMalformed,
           "uplicate"},
          {"{}", ErrorCode::kInvalidField, "host: is missing"},
          {WithHosts("\"log_level\": \"loud\",\n"), ErrorCode::kInvalidField,
           "h1.json:3: log_level: expected one of"},
          {WithHosts("\"retention_s\": \"1h\",\n"), ErrorCode::kInvalidField,
           "retention_s: expected a whole number"},
          {WithHosts("\"retention_s\": -1,\n"), ErrorCode::kInvalidField,
           "from 1 to"},
          {WithHosts("\"hots\": [],\n"), ErrorCode::kUnknownField,
           "h1.json:3: hots"},
          {WithHosts("\"tls\": {\"certificate\": \"c.pem\"},\n"),
           ErrorCode::kInvalidField, "private_key"},
          {WithHosts("\"tls\": {\"certificate\": \"/none\", \"private_key\": "
                     "\"/none\"},\n"),
           ErrorCode::kInvalidField, "cannot read the file /none"},
          {WithHosts("\"http_limits\": {\"max_body\": 1},\n"),
           ErrorCode::kUnknownField, "http_limits.max_body"},
      },
      CheckSettings);
}

TEST(BadSettingsTest, HostMustBeListed) {
  const std::string text =
      "{\"host\": \"h2\", \"failure_domain\": \"d1\", \"data_folder\": \"d\", "
      "\"http\": \"127.0.0.1:1\", \"hosts\": []}";
  ExpectErrors({{text, ErrorCode::kInvalidField, "no entry for this host"}},
               CheckSettings);
}

TEST(BadDocumentTest, ErrorsNameLineFieldAndRemedy) {
  ExpectErrors(
      {
          {"{\"service\": \"\"}", ErrorCode::kInvalidField,
           "must not be empty"},
          {"{\"service\": \"s\",\n\"accounts\": [{\"account\": \"a\", "
           "\"rate_per_s\": 0,"
           " \"burst\": 1}]}",
           ErrorCode::kInvalidField, "s.json:2: accounts[0].rate_per_s"},
          {"{\"service\": \"s\", \"accounts\": [{\"account\": \"a\", "
           "\"rate_per_s\": 1,"
           " \"burst\": 1}, {\"account\": \"a\", \"rate_per_s\": 1, \"burst\": "
           "1}]}",
           ErrorCode::kInvalidField, "twice"},
          {"{\"service\": \"s\", \"routes\": [{\"prefix\": \"/v1/x\"}]}",
           ErrorCode::kInvalidField, "outside /v1/"},
          {"{\"service\": \"s\", \"limits\": {\"online_s\": 3}}",
           ErrorCode::kUnknownField, "limits.online_s"},
          {"{\"service\": \"s\", \"max_attempts\": 0}",
           ErrorCode::kInvalidField, "from 1"},
          {"{\"service\": 5}", ErrorCode::kInvalidField, "expected a string"},
      },
      CheckServiceDocument);
}

TEST(BadDocumentTest, DeepNestingIsRejected) {
  const std::string deep = "{\"a\":" + std::string(100'000, '[');
  const auto json = JsonDocument::Parse(deep, "deep");
  ASSERT_FALSE(json.has_value());
  EXPECT_EQ(json.error().code, ErrorCode::kMalformed);
}

}  // namespace
}  // namespace sequoialb
