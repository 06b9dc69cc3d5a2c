#include "jobs.h"

namespace case3 {
namespace {

std::string Service(const std::string& name, int slots) {
  return "{\"Name\":\"" + name +
         "\",\"HealthPath\":\"/health\",\"MaxConns\":230,"
         "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":" +
         std::to_string(slots) +
         ",\"KvCapacity\":147261,\"Models\":[{\"Name\":\"m\"}]}}";
}

}  // namespace

std::string Config(const ConfigOptions& options) {
  const std::string rate = std::to_string(options.rate);
  const std::string other_route =
      options.other_prefix.empty()
          ? ""
          : std::string(",{\"Name\":\"r-other\",\"Host\":\"") + kHost +
                "\",\"PathPrefix\":\"" + options.other_prefix +
                "\",\"Kind\":\"stream\",\"TimeoutMs\":5000,\"SloMs\":300,"
                "\"Priority\":0,\"Service\":\"" +
                kOtherService +
                "\",\"Attempts\":1,\"Public\":false,\"Sticky\":true,"
                "\"Resumable\":false,\"GapTargetMs\":400}";
  return "{\"Version\":" + std::to_string(options.version) +
         ",\"Routes\":[{\"Name\":\"r-bulk\",\"Host\":\"" + kHost +
         "\",\"PathPrefix\":\"" + kBatchPrefix +
         "\",\"Kind\":\"bulk\",\"TimeoutMs\":15000,\"SloMs\":400,"
         "\"Priority\":2,\"Service\":\"cart-desk\",\"Attempts\":3,"
         "\"Public\":false,\"Sticky\":true,\"DueMs\":18000,\"MaxWaitS\":60,"
         "\"Cap\":" +
         std::to_string(options.cap) + "},{\"Name\":\"r-stream\",\"Host\":\"" +
         kHost + "\",\"PathPrefix\":\"" + kStreamPrefix +
         "\",\"Kind\":\"stream\",\"TimeoutMs\":5000,\"SloMs\":300,"
         "\"Priority\":0,\"Service\":\"cart-desk\",\"Attempts\":" +
         std::to_string(options.resumable ? 2 : 1) +
         ","
         "\"Public\":false,\"Sticky\":true,\"Resumable\":" +
         (options.resumable ? "true" : "false") +
         ","
         "\"GapTargetMs\":400}" +
         other_route + "],\"Services\":[" +
         Service("cart-desk", options.slots) + "," +
         Service(kOtherService, options.slots) +
         "],"
         "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
         "\"Tenants\":[{\"Name\":\"" +
         kTenant + "\",\"ApiKeys\":[\"" + kKey +
         "\"],\"Priority\":1,\"RatePerS\":" + rate + ",\"Burst\":" + rate +
         "}]}";
}

std::string JobBody(const std::string& id, int items, uint64_t tokens_each,
                    uint64_t prompt) {
  std::string list;
  for (int i = 0; i < items; ++i) {
    const std::string item = id + "-" + std::to_string(i);
    list += (i > 0 ? "," : "") + std::string("{\"Id\":\"") + item +
            "\",\"Path\":\"" + kBatchPrefix + "3/" + item +
            "\",\"Headers\":{\"Model\":\"m\",\"Token-Count\":\"" +
            std::to_string(prompt) + ",193\",\"Prompt-Prefix\":\"9c2e41:100," +
            item + ":" + std::to_string(prompt - 100) +
            "\"},\"Body\":\"q83vEjRWeJA=\",\"Tokens\":" +
            std::to_string(tokens_each) + "}";
  }
  return "{\"Items\":[" + list + "]}";
}

Fields ClientFields() { return {{"Host", kHost}, {"Key", kKey}}; }

Message Submit(const Endpoint& front, const std::string& id,
               const std::string& body, milliseconds timeout,
               const std::function<void()>& sent) {
  Fields fields = ClientFields();
  fields.emplace_back("Request-Id", id);
  fields.emplace_back("Content-Type", "application/json");
  return Ask(front, "POST", kBatchPrefix + id, fields, body, timeout, sent);
}

Message ReadResults(const Endpoint& front, const std::string& id, int after,
                    milliseconds timeout) {
  return Ask(front, "GET",
             "/sequoialb/lots/" + id + "?After=" + std::to_string(after),
             ClientFields(), "", timeout);
}

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace case3
