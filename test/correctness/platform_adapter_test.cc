// Tests that the adapters decode and encode the platform's formats and reject
// invalid input.
#include <gtest/gtest.h>

#include "platform/control_adapter.h"
#include "platform/gateway_adapter.h"
#include "platform/json_values.h"

namespace sequoialb::platform {
namespace {

RequestHead Head(const std::string& line, const std::string& fields = "") {
  return *ParseRequestHead(line + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
}

constexpr char kConfig[] = R"({"Version":7,"Routes":[
 {"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"stream","TimeoutMs":5000,
  "SloMs":300,"Priority":0,"Service":"s","Attempts":2,"Public":false,
  "Resumable":true,"GapTargetMs":400},
 {"Name":"b","Host":"h","PathPrefix":"/b/","Kind":"bulk","TimeoutMs":15000,
  "SloMs":400,"Split":[{"Service":"s","Weight":90},{"Service":"s","Weight":10}],
  "Attempts":3,"DueMs":18000,"MaxWaitS":60.5,"Cap":1000}],
 "Services":[{"Name":"s","HealthPath":"/health","MaxConns":300,
  "Engine":{"Slots":8,"Cap":12}}],
 "Limits":{"MaxHeaderBytes":1000,"MaxBodyBytes":2000,"HeaderTimeoutMs":3000,
  "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"RatePerS":47,"Burst":40}]})";

TEST(ControlAdapter, DecodesCatalog) {
  const auto catalog = ControlAdapter().DecodeCatalog(kConfig);
  ASSERT_TRUE(catalog.has_value()) << catalog.error().detail;
  EXPECT_EQ(catalog->version, 7U);
  ASSERT_EQ(catalog->routes.size(), 2U);
  EXPECT_EQ(catalog->routes[0].kind, RouteKind::kStream);
  EXPECT_TRUE(catalog->routes[0].resumable);
  EXPECT_EQ(catalog->routes[1].kind, RouteKind::kBatch);
  EXPECT_EQ(catalog->routes[1].max_wait, milliseconds(60'500));
  EXPECT_EQ(catalog->routes[1].token_cap, 1'000U);
  EXPECT_EQ(catalog->services[0].slots, 8U);
  EXPECT_EQ(catalog->accounts[0].burst, 40);
  EXPECT_EQ(catalog->limits.max_body_bytes, 2'000U);
}

TEST(ControlAdapter, RejectsInvalidCatalogs) {
  const std::string valid = kConfig;
  const ControlAdapter adapter;
  for (const size_t size :
       std::vector<size_t>{0, 1, 50, 400, valid.size() / 2, valid.size() - 1}) {
    EXPECT_FALSE(adapter.DecodeCatalog(valid.substr(0, size)).has_value());
  }
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"Version\":7", "\"Version\":\"7\""},
           {"\"TimeoutMs\":5000", "\"TimeoutMs\":-1"},
           {"\"ApiKeys\":[\"k1\"", "\"ApiKeys\":[1"},
           {"\"Weight\":90", "\"Weight\":\"90\""},
           {"\"Routes\":[", "\"Routes\":[1,"},
           // Parts that are missing or of another type.
           {"\"Routes\":[", "\"OtherRoutes\":["},
           {"\"Services\":[", "\"OtherServices\":["},
           {"\"Limits\":{", "\"Limits\":[],\"OtherLimits\":{"},
           {"\"Slots\":8", "\"Slots\":\"8\""},
           {"\"MaxBodyBytes\":2000", "\"MaxBodyBytes\":\"2000\""},
           {"\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":-1"}}) {
    std::string invalid = valid;
    invalid.replace(invalid.find(from), from.size(), to);
    EXPECT_FALSE(adapter.DecodeCatalog(invalid).has_value()) << to;
  }
}

TEST(ControlAdapter, DecodesAnnouncements) {
  const ControlAdapter adapter;
  const auto request = adapter.Decode(
      Head("PUT /sequoialb/instances/i-1"),
      R"({"Service":"s","Addr":"10.0.0.9:80","Zone":"z","Version":"v1",
          "Slots":8,"State":"draining","ColdLeftMs":0,"Seq":4,"born":99})");
  ASSERT_TRUE(request.has_value()) << request.error().detail;
  const auto& record = std::get<AnnounceBackend>(*request).record;
  EXPECT_EQ(record.id(), "i-1");
  EXPECT_TRUE(record.leaving());
  EXPECT_EQ(record.started_unix_ms(), 99);
}

// Guards against taking a server that does not state its cold time for one that
// states that it is warm.
TEST(ControlAdapter, DistinguishesColdTimeNotStatedFromNone) {
  const ControlAdapter adapter;
  const auto decode = [&](const std::string& cold) {
    const auto request = adapter.Decode(
        Head("PUT /sequoialb/instances/i-1"),
        R"({"Service":"s","Addr":"10.0.0.9:80","Zone":"z","Slots":8,)" + cold +
            R"("State":"ready","Seq":4,"born":99})");
    return std::get<AnnounceBackend>(*request).record;
  };
  EXPECT_FALSE(decode("").has_cold_left_ms());
  EXPECT_TRUE(decode(R"("ColdLeftMs":0,)").has_cold_left_ms());
  EXPECT_EQ(decode(R"("ColdLeftMs":2500.5,)").cold_left_ms(), 2'500U);
}

TEST(ControlAdapter, RejectsInvalidAnnouncements) {
  const ControlAdapter adapter;
  for (const char* body :
       {"", "\xff\xfe", "[]", "{}",
        R"({"Service":"s","Addr":"10.0.0.9:80","Zone":"z","Slots":8,"Seq":4,
            "State":"odd"})",
        R"({"Service":"s","Addr":"nowhere","Zone":"z","Slots":8,"Seq":4,
            "State":"ready"})",
        R"({"Service":1,"Addr":"10.0.0.9:80","Zone":"z","Slots":8,"Seq":4,
            "State":"ready"})",
        R"({"Service":"s","Addr":"10.0.0.9:80","Zone":"z","Slots":"8","Seq":4,
            "State":"ready"})"}) {
    EXPECT_FALSE(
        adapter.Decode(Head("PUT /sequoialb/instances/i-1"), body).has_value())
        << body;
  }
}

// Guards against an odd entry of another writer that is taken for a server.
TEST(ControlAdapter, RejectsAnnouncementsWithValuesOutOfRange) {
  const ControlAdapter adapter;
  const auto decode = [&](const std::string& name, const std::string& value) {
    std::map<std::string, std::string> fields = {{"Service", R"("s")"},
                                                 {"Addr", R"("10.0.0.9:80")"},
                                                 {"Zone", R"("z")"},
                                                 {"Slots", "8"},
                                                 {"State", R"("ready")"},
                                                 {"ColdLeftMs", "0"},
                                                 {"Seq", "4"},
                                                 {"born", "99"}};
    fields[name] = value;
    std::string body;
    for (const auto& [field, text] : fields) {
      body +=
          std::string(body.empty() ? "{" : ",") + "\"" + field + "\":" + text;
    }
    return adapter.Decode(Head("PUT /sequoialb/instances/i-1"), body + "}");
  };
  ASSERT_TRUE(decode("Slots", "8").has_value());
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::string digits(400, '9');
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"Addr", R"("10.0.0.9:65536")"},
           {"Addr", R"("10.0.0.9:99999999999999999999")"},
           {"Addr", R"("10.0.0.9:-1")"},
           {"Addr", R"("10.0.0.9:0")"},
           {"Slots", "4294967304"},
           {"Slots", "4000000000"},
           {"Slots", "1e300"},
           {"Slots", "1e999"},
           {"Slots", digits},
           {"Slots", deep},
           {"Models", deep},
           {"ColdLeftMs", "1e300"},
           {"ColdLeftMs", "1e999"},
           {"ColdLeftMs", digits},
           {"Seq", "18446744073709551615"},
           {"Seq", "1e300"},
           {"Seq", "-1"},
           {"born", "18446744073709551615"},
           {"born", "9223372036854775807"},
           {"born", "4102444800000000"},
           {"born", "1.5"}}) {
    const auto decoded = decode(name, value);
    EXPECT_FALSE(decoded.has_value()) << name << " " << value.substr(0, 40);
  }
}

// Guards against text of another writer that the messages between hosts cannot
// carry: raw bytes, an overlong form, a surrogate, and the escape of one.
TEST(ControlAdapter, RejectsTextThatIsNotUtf8) {
  const ControlAdapter adapter;
  const auto announce = [&](const std::string& zone) {
    return adapter
        .Decode(Head("PUT /sequoialb/instances/i-1"),
                R"({"Service":"s","Addr":"10.0.0.9:80","Zone":")" + zone +
                    R"(","Slots":8,"State":"ready","Seq":4})")
        .has_value();
  };
  EXPECT_TRUE(announce("\xd0\xb7\xf0\x9f\x9b\xb6"));
  EXPECT_TRUE(announce(R"(\u0437\ud83d\udef6)"));
  for (const char* zone :
       {"z\xff\xfe", "\xc0\xaf", "\xed\xa0\x80", "\xd0", R"(\udc00)"}) {
    EXPECT_FALSE(announce(zone)) << zone;
    std::string catalog = kConfig;
    catalog.replace(catalog.find("\"t\""), 3, std::string("\"") + zone + '"');
    EXPECT_FALSE(adapter.DecodeCatalog(catalog).has_value()) << zone;
  }
}

TEST(ControlAdapter, DecodesRequestsWithoutBody) {
  const ControlAdapter adapter;
  const auto request_index = [&](const std::string& line) {
    return adapter.Decode(Head(line), "").value().index();
  };
  EXPECT_EQ(request_index("GET /sequoialb/config"),
            ControlRequest(ReadCatalog()).index());
  EXPECT_EQ(request_index("DELETE /sequoialb/instances/x"),
            ControlRequest(DeregisterBackend()).index());
  EXPECT_EQ(request_index("POST /sequoialb/retire/x"),
            ControlRequest(RetireHost()).index());
  EXPECT_EQ(request_index("GET /sequoialb/retire/x"),
            ControlRequest(ReadRetireStatus()).index());
  EXPECT_EQ(adapter.Decode(Head("GET /other"), "").error().code,
            ErrorCode::kNotFound);
}

// Guards against an order whose body names other domains than its path being
// carried out by its path alone: an order with a body is refused.
TEST(ControlAdapter, DecodesOrdersOfEvacuation) {
  const ControlAdapter adapter;
  for (const bool evacuated : {true, false}) {
    const std::string line =
        std::string(evacuated ? "POST" : "DELETE") + " /sequoialb/drain/zone-2";
    const auto request = adapter.Decode(Head(line), "");
    ASSERT_TRUE(request.has_value());
    const auto* order = std::get_if<OrderEvacuation>(&*request);
    ASSERT_NE(order, nullptr);
    EXPECT_EQ(order->failure_domain, "zone-2");
    EXPECT_EQ(order->evacuated, evacuated);
    EXPECT_EQ(HttpStatus(adapter.Decode(Head(line), "{}").error().code), 400);
  }
  for (const char* line : {"GET /sequoialb/drain/z", "POST /sequoialb/drain/",
                           "POST /sequoialb/drain"}) {
    EXPECT_EQ(adapter.Decode(Head(line), "").error().code, ErrorCode::kNotFound)
        << line;
  }
}

TEST(GatewayAdapter, ReplacesReservedHeadersAndForwardsTheRest) {
  const GatewayAdapter adapter;
  const RequestHead head =
      Head("POST /a/x",
           "Request-Id: r1\r\nKey: secret\r\nTenant: forged\r\n"
           "Deadline-Ms: 900\r\nExpect-Instance: i-0\r\nModel: m\r\n"
           "Token-Count: 10,20\r\nPrompt-Prefix: ab:8,cd:2\r\n"
           "Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 3\r\n");
  const CallerRequest request = adapter.DecodeRequest(head);
  EXPECT_EQ(request.id, "r1");
  EXPECT_EQ(request.key, "secret");
  EXPECT_EQ(request.time_left, milliseconds(900));
  EXPECT_EQ(request.prompt_tokens, 10U);
  EXPECT_EQ(request.output_tokens, 20U);
  EXPECT_EQ(request.session, "cd");
  EXPECT_EQ(request.shared_parts, std::vector<std::string>{"ab"});
  ForwardFields fields;
  fields.id = "r1";
  fields.backend = "i-7";
  fields.account = "t";
  fields.time_left_ms = 850;
  const HttpHeaders out = adapter.ForwardHeaders(head.headers, fields);
  EXPECT_EQ(out.Find("Key"), nullptr);
  EXPECT_EQ(out.Find("X-Hop"), nullptr);
  EXPECT_EQ(out.Find("Content-Length"), nullptr);
  EXPECT_EQ(out.Count("Tenant"), 1U);
  EXPECT_EQ(*out.Find("Tenant"), "t");
  EXPECT_EQ(*out.Find("Deadline-Ms"), "850");
  EXPECT_EQ(out.Count("Expect-Instance"), 1U);
  EXPECT_EQ(*out.Find("Expect-Instance"), "i-7");
  EXPECT_EQ(*out.Find("Model"), "m");
  EXPECT_EQ(*out.Find("Prompt-Prefix"), "ab:8,cd:2");
}

// Guards against times that overflow and end in the past.
TEST(GatewayAdapter, CutsTimesOutOfRange) {
  const RequestHead head =
      Head("POST /a/x", "Deadline-Ms: 18446744073709551615\r\n");
  EXPECT_EQ(GatewayAdapter().DecodeRequest(head).time_left,
            milliseconds(86'400'000));
  const auto catalog = ControlAdapter().DecodeCatalog(
      R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","Service":"s",
          "TimeoutMs":18446744073709551615,"SloMs":18446744073709551615,
          "MaxWaitS":1e300,"Attempts":4294967297}],"Services":[{"Name":"s"}]})");
  ASSERT_TRUE(catalog.has_value()) << catalog.error().detail;
  EXPECT_EQ(catalog->routes[0].timeout, milliseconds(86'400'000));
  EXPECT_EQ(catalog->routes[0].latency_target, milliseconds(86'400'000));
  EXPECT_EQ(catalog->routes[0].max_wait, milliseconds(86'400'000));
  EXPECT_GT(catalog->routes[0].attempts, 1'000'000U);
}

TEST(GatewayAdapter, DecodesBackendAnswers) {
  const GatewayAdapter adapter;
  const auto answer = adapter.DecodeAnswer(*ParseResponseHead(
      "HTTP/1.1 503 No\r\nNot-Run: 1\r\nServer-Load: 3,1,8\r\n\r\n"));
  EXPECT_TRUE(answer.not_run);
  EXPECT_EQ(answer.load->running, 3U);
  EXPECT_EQ(answer.load->waiting, 1U);
  EXPECT_TRUE(
      adapter
          .DecodeAnswer(*ParseResponseHead("HTTP/1.1 421 Misdirected\r\n\r\n"))
          .other_server);
  EXPECT_FALSE(answer.leaving);
  EXPECT_TRUE(adapter
                  .DecodeAnswer(*ParseResponseHead(
                      "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n\r\n"))
                  .leaving);
}

TEST(GatewayAdapter, DecodesBatchRequests) {
  const GatewayAdapter adapter;
  const auto read =
      adapter.DecodeJobRequest(Head("GET /sequoialb/lots/j1?After=12"));
  EXPECT_EQ(std::get<ReadJob>(*read).after, 12U);
  const auto body =
      adapter.DecodeJobRequest(Head("GET /sequoialb/items/j1?Id=i1"));
  EXPECT_EQ(std::get<ReadItemBody>(*body).item, "i1");
  EXPECT_TRUE(std::holds_alternative<EndJob>(
      *adapter.DecodeJobRequest(Head("DELETE /sequoialb/lots/j1"))));
  EXPECT_FALSE(adapter.DecodeJobRequest(Head("POST /a/x")).has_value());
  const RequestHead submit = Head("POST /b/j1", "Request-Id: j1\r\n");
  const auto record = adapter.DecodeSubmission(
      submit, R"({"Items":[{"Id":"i1","Path":"/b/1","Headers":{"Model":"m"},
                  "Body":"q83vEjRWeJA=","Tokens":940}]})");
  ASSERT_TRUE(record.has_value()) << record.error().detail;
  EXPECT_EQ(record->items(0).body().size(), 8U);
  EXPECT_TRUE(record->items(0).shared_parts().empty());
  const auto shared = adapter.DecodeSubmission(
      submit, R"({"Items":[{"Id":"i1","Path":"/b/1","Tokens":9,
                  "Headers":{"Prompt-Prefix":"ab:8, cd:2,ef:1"}}]})");
  ASSERT_TRUE(shared.has_value()) << shared.error().detail;
  EXPECT_EQ(std::vector<std::string>(shared->items(0).shared_parts().begin(),
                                     shared->items(0).shared_parts().end()),
            (std::vector<std::string>{"ab", "cd"}));
  for (const char* bad : {"", "{}", R"({"Items":[{}]})", R"({"Items":[1]})"}) {
    EXPECT_FALSE(adapter.DecodeSubmission(submit, bad).has_value()) << bad;
  }
}

// Guards against a request that hides in an item and runs at a server as if a
// client had sent it.
TEST(GatewayAdapter, RejectsItemsThatHideARequest) {
  const GatewayAdapter adapter;
  const RequestHead submit = Head("POST /b/j1", "Request-Id: j1\r\n");
  const auto decode = [&](const std::string& id, const std::string& path,
                          const std::string& name, const std::string& value) {
    return adapter
        .DecodeSubmission(submit, R"({"Items":[{"Id":")" + id +
                                      R"(","Path":")" + path +
                                      R"(","Headers":{")" + name + R"(":")" +
                                      value + R"("},"Tokens":9}]})")
        .has_value();
  };
  EXPECT_TRUE(decode("i1", "/b/1?x=%0d%0a", "Model", "m \\u0437"));
  const std::string hidden =
      R"( HTTP/1.1\r\nHost: h\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\n\r\n)";
  EXPECT_FALSE(decode("i1", "/b/1" + hidden, "Model", "m"));
  EXPECT_FALSE(decode("i1", "/b/1 HTTP/1.1", "Model", "m"));
  EXPECT_FALSE(decode("i1", R"(/b/1\n)", "Model", "m"));
  EXPECT_FALSE(decode("i1", "b/1", "Model", "m"));
  EXPECT_FALSE(decode("i1" + hidden, "/b/1", "Model", "m"));
  EXPECT_FALSE(decode("i1", "/b/1", "Model" + hidden, "m"));
  EXPECT_FALSE(decode("i1", "/b/1", "Model:", "m"));
  EXPECT_FALSE(decode("i1", "/b/1", "Model", "m" + hidden));
}

TEST(GatewayAdapter, EncodesResults) {
  proto::JobAnswer answer;
  answer.set_total(2);
  answer.set_next(1);
  proto::JobResult& result = *answer.add_results();
  result.set_id("i1");
  result.set_output("a\nb");
  const auto value = ParseObject(GatewayAdapter().EncodeResults(answer));
  ASSERT_TRUE(value.has_value());
  EXPECT_EQ((*value)["Results"][0]["State"].asString(), "complete");
  EXPECT_EQ((*value)["Results"][0]["Output"].asString(), "a\nb");
}

}  // namespace
}  // namespace sequoialb::platform
