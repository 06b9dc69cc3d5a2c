#include "jobs.h"

namespace review {

std::string KeyOf(int tenant) { return "key-t" + std::to_string(tenant); }

std::string Configuration(uint64_t version, uint64_t cap, int tenants,
                          int rate) {
  std::string text = R"({"Version":)" + std::to_string(version) +
                     R"(,"Routes":[{"Name":"r-batch","Host":")" + kHost +
                     R"(","PathPrefix":")" + kBatchPrefix +
                     R"(","Kind":"bulk","TimeoutMs":15000,"SloMs":400,)"
                     R"("Priority":2,"Service":"model-lm","Attempts":3,)"
                     R"("DueMs":18000,"MaxWaitS":60,"Cap":)" +
                     std::to_string(cap) +
                     R"(,"Public":false,"Sticky":true,"GapTargetMs":400},)"
                     R"({"Name":"r-stream","Host":")" +
                     kHost + R"(","PathPrefix":")" + kStreamPrefix +
                     R"(","Kind":"stream","TimeoutMs":5000,"SloMs":300,)"
                     R"("Priority":0,"Service":"model-lm","Attempts":2,)"
                     R"("Public":false,"Sticky":true,"Resumable":true,)"
                     R"("GapTargetMs":400}],"Services":[{"Name":"model-lm",)"
                     R"("HealthPath":"/health","MaxConns":300,)"
                     R"("Protocol":"h1","Tls":false}],"Limits":{)"
                     R"("MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
                     R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
                     R"("Tenants":[)";
  for (int i = 0; i < tenants; ++i) {
    text += std::string(i == 0 ? "" : ",") + R"({"Name":"t)" +
            std::to_string(i) + R"(","ApiKeys":[")" + KeyOf(i) +
            R"("],"Priority":1,"RatePerS":)" +
            std::to_string(i == 1 ? rate : 0) + R"(,"Burst":)" +
            std::to_string(i == 1 ? rate : 0) + "}";
  }
  return text + "]}";
}

std::string JobBody(const std::string& job, const std::vector<Item>& items) {
  std::string text = R"({"Items":[)";
  for (const Item& item : items) {
    text += std::string(text.back() == '[' ? "" : ",") + R"({"Id":")" +
            item.id + R"(","Path":")" + kBatchPrefix + job + "/" + item.id +
            R"(","Headers":{"Model":"m","Token-Count":"350,190",)"
            R"("Prompt-Prefix":"9c2e41:100,)" +
            item.id + R"(:250"},"Body":")" + item.body + R"(","Tokens":)" +
            std::to_string(item.tokens) + "}";
  }
  return text + "]}";
}

Response Submit(const Address& front, int tenant, const std::string& job,
                const std::string& body, milliseconds timeout) {
  return Call(front, "POST", std::string(kBatchPrefix) + job,
              {{"host", kHost},
               {"key", KeyOf(tenant)},
               {"request-id", job},
               {"deadline-ms", "4000"},
               {"content-type", "application/json"}},
              body, timeout);
}

Response ReadJob(const Address& front, int tenant, const std::string& job,
                 int after, milliseconds timeout) {
  return Call(front, "GET",
              "/sequoialb/lots/" + job + "?After=" + std::to_string(after),
              {{"host", kHost}, {"key", KeyOf(tenant)}, {"wait-ms", "1000"}},
              "", timeout);
}

}  // namespace review
