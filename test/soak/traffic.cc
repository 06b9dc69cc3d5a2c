#include "traffic.h"

#include "keep_alive_client.h"
#include "platform/json_values.h"

namespace sequoialb::soak {
namespace {

constexpr milliseconds kCallTimeout{4'000};
constexpr milliseconds kOperatorTimeout{1'500};
constexpr milliseconds kRequestPause{10};
constexpr milliseconds kJobPause{600};
constexpr milliseconds kReadPause{150};
constexpr milliseconds kConfigPause{700};
constexpr milliseconds kAnnouncePause{800};
constexpr int kRequestThreads = 4;
constexpr char kSteadyKey[] = "sk";

std::string ExpectedText(const char* prefix, const char* separator) {
  std::string text;
  for (int i = 0; i < fakes::PlatformEngine::kEvents; ++i) {
    text += (i == 0 ? "" : separator) + std::string(prefix) + std::to_string(i);
  }
  return text;
}

std::string ExpectedStream() {
  std::string text;
  for (int i = 0; i < fakes::PlatformEngine::kEvents; ++i) {
    text +=
        "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  return text;
}

void Pause(milliseconds time) { std::this_thread::sleep_for(time); }

}  // namespace

void Traffic::Start() {
  collected_.assign(deployment_.engines().size(), 0);
  for (uint64_t i = 0; i < kRequestThreads; ++i) {
    threads_.emplace_back([this, i] { RunRequestLoop(i); });
  }
  threads_.emplace_back([this] { RunSubmitLoop(); });
  threads_.emplace_back([this] { RunReadLoop(); });
  threads_.emplace_back([this] { RunConfigLoop(); });
  threads_.emplace_back([this] { RunAnnounceLoop(); });
}

void Traffic::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  CollectRuns();
}

// Returns the valid key in most cases, otherwise any key, which may have been
// withdrawn.
std::string Traffic::PickKey(Random& random) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return random() % 4 == 0 ? keys_[random() % keys_.size()] : keys_.back();
}

std::string Traffic::ConfigText(uint64_t version) const {
  const auto route = [](const std::string& name, const std::string& more) {
    return R"({"Name":")" + name + R"(","Host":"h.example","PathPrefix":"/)" +
           name + R"(/","TimeoutMs":3500,"SloMs":1000,"Service":"s",)" + more +
           "}";
  };
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         route("a", R"("Kind":"stream","Attempts":3,"Resumable":true,)"
                    R"("GapTargetMs":700)") +
         "," +
         route("o", R"("Kind":"stream","Attempts":2,"Resumable":false,)"
                    R"("GapTargetMs":700)") +
         "," +
         route("b", R"("Kind":"bulk","Attempts":3,"DueMs":18000,)"
                    R"("MaxWaitS":600,"Cap":1000000)") +
         R"(],"Services":[{"Name":"s","Engine":{"Slots":4}}],"Tenants":[)"
         R"({"Name":"steady","ApiKeys":[")" +
         kSteadyKey + R"("],"RatePerS":1000,"Burst":1000},)" +
         R"({"Name":"rotating","ApiKeys":[")" + keys_.back() +
         R"("],"RatePerS":1000,"Burst":1000}]})";
}

bool Traffic::ChangeConfig(bool rotate_key) {
  std::string text;
  std::map<std::string, bool> keys;
  uint64_t version = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    version = ++version_;
    if (rotate_key) {
      keys_.push_back("rk" + std::to_string(version));
    }
    for (const std::string& key : keys_) {
      keys[key] = key == keys_.back();
    }
    text = ConfigText(version);
  }
  for (int tries = 0; !stopping_ || tries == 0; ++tries) {
    KeepAliveClient client(deployment_.ControlAddress(
                               static_cast<int>(version + tries) % kFirstStore),
                           kOperatorTimeout);
    const int status = client.Call("PUT", "/sequoialb/config", "", text).status;
    if (status == 200) {
      checker_.RecordAcknowledgedConfig(version, keys);
      return true;
    }
    if (status >= 400 && status < 500) {
      checker_.ReportViolation("version " + std::to_string(version) +
                               " was refused with " + std::to_string(status));
      return false;
    }
    Pause(milliseconds(50));
  }
  return false;
}

void Traffic::RunConfigLoop() {
  Random random(seed_ ^ 11U);
  while (!stopping_) {
    ChangeConfig(random() % 3 == 0);
    const uint64_t known = checker_.acknowledged();
    const int control = static_cast<int>(random() % kFirstStore);
    KeepAliveClient client(deployment_.ControlAddress(control),
                           kOperatorTimeout);
    const Reply reply = client.Call("GET", "/sequoialb/config", "");
    if (reply.status == 200) {
      const auto config = platform::ParseObject(reply.body);
      checker_.CheckConfigRead(known,
                               config ? (*config)["Version"].asUInt64() : 0);
    }
    Pause(kConfigPause);
  }
}

void Traffic::RunAnnounceLoop() {
  while (!stopping_) {
    deployment_.Announce();
    CollectRuns();
    Pause(kAnnouncePause);
  }
}

void Traffic::CollectRuns() {
  for (size_t i = 0; i < collected_.size(); ++i) {
    const std::vector<RequestHead> ran =
        deployment_.engines()[i]->AcceptedRequests();
    for (; collected_[i] < ran.size(); ++collected_[i]) {
      const HttpHeaders& headers = ran[collected_[i]].headers;
      const std::string* id = headers.Find("Request-Id");
      const std::string* account = headers.Find("Tenant");
      checker_.RecordRun(id == nullptr ? "" : *id,
                         account == nullptr ? "" : *account,
                         headers.Find("Key") != nullptr);
    }
  }
}

int Traffic::SendRequest(int front, const std::string& key, bool at_most_once,
                         const std::string& account) {
  KeepAliveClient client(deployment_.FrontAddress(front), kCallTimeout);
  const std::string id = "q" + std::to_string(next_id_++);
  checker_.RecordSent(id, {account, key, at_most_once, Clock::now(), 0});
  const Reply reply = client.Call(
      "POST", at_most_once ? "/o/x" : "/a/x",
      "Request-Id: " + id + "\r\nKey: " + key + "\r\nDeadline-Ms: 3500\r\n",
      "question");
  checker_.RecordAnswer(id, reply.status);
  return reply.status;
}

void Traffic::RunRequestLoop(uint64_t number) {
  Random random(seed_ ^ (100 + number));
  std::vector<std::unique_ptr<KeepAliveClient>> clients;
  for (int front = kFirstFront; front < kHosts; ++front) {
    clients.push_back(std::make_unique<KeepAliveClient>(
        deployment_.FrontAddress(front), kCallTimeout));
  }
  while (!stopping_) {
    const std::string id = "q" + std::to_string(next_id_++);
    const bool at_most_once = random() % 2 == 0;
    const bool steady = random() % 2 == 0;
    const std::string key = steady ? kSteadyKey : PickKey(random);
    checker_.RecordSent(id, {steady ? "steady" : "rotating", key, at_most_once,
                             Clock::now(), 0});
    const Reply reply = clients[random() % clients.size()]->Call(
        "POST", at_most_once ? "/o/x" : "/a/x",
        "Request-Id: " + id + "\r\nKey: " + key +
            "\r\nTenant: forged\r\nDeadline-Ms: 3500\r\n",
        "question");
    checker_.RecordAnswer(id, reply.status);
    if (reply.status == 200) {
      const std::string* echoed = reply.headers.Find("Request-Id");
      if (echoed == nullptr || *echoed != id) {
        checker_.ReportViolation(id +
                                 " received the answer of another request");
      }
      if (reply.body != ExpectedStream()) {
        checker_.ReportViolation(
            id + " received a complete answer with missing or wrong events");
      }
    }
    if (reply.status == 404) {
      checker_.ReportViolation(id +
                               " was refused with 404 on a route that exists");
    }
    Pause(kRequestPause);
  }
}

void Traffic::Submit(const std::string& job, size_t items, Random& random) {
  std::string list;
  for (size_t i = 0; i < items; ++i) {
    const std::string id = job + "-" + std::to_string(i);
    checker_.RecordSent(id, {"steady", "", false, Clock::now(), 0});
    list += (i == 0 ? "" : ",") + std::string(R"({"Id":")") + id +
            R"(","Path":"/b/1","Headers":{"Model":"m"},"Body":"Ym9keQ==",)" +
            R"("Tokens":10})";
  }
  const std::string body = R"({"Items":[)" + list + "]}";
  while (!stopping_) {
    const int front = kFirstFront + static_cast<int>(random() % 2);
    KeepAliveClient client(deployment_.FrontAddress(front), kCallTimeout);
    const int status =
        client
            .Call("POST", "/b/" + job,
                  "Request-Id: " + job + "\r\nKey: " + kSteadyKey + "\r\n",
                  body)
            .status;
    if (status == 202) {
      checker_.RecordAcceptedJob(job, items);
      return;
    }
    Pause(milliseconds(100));
  }
}

void Traffic::RunSubmitLoop() {
  Random random(seed_ ^ 21U);
  for (int number = 0; !stopping_; ++number) {
    Submit("j" + std::to_string(number), 2 + random() % 6, random);
    Pause(kJobPause);
  }
}

size_t Traffic::ReadJob(int front, const std::string& job, size_t after) {
  KeepAliveClient client(deployment_.FrontAddress(front), kCallTimeout);
  const Reply reply = client.Call(
      "GET", "/sequoialb/lots/" + job + "?After=" + std::to_string(after),
      std::string("Key: ") + kSteadyKey + "\r\n");
  if (reply.status == 404 || reply.status == 410) {
    checker_.ReportViolation(
        "job " + job + " was accepted, but a read was answered with status " +
        std::to_string(reply.status));
  }
  const auto answer = platform::ParseObject(reply.body);
  if (reply.status != 200 || !answer) {
    return after;
  }
  std::vector<ResultSeen> results;
  for (const Json::Value& result : (*answer)["Results"]) {
    results.push_back({result["Id"].asString(), result["Output"].asString()});
    if (result["State"].asString() != "complete" ||
        results.back().output != ExpectedText("t", "\n")) {
      checker_.ReportViolation("item " + results.back().item +
                               " is listed with state " +
                               result["State"].asString() +
                               ", expected complete with the engine's output");
    }
  }
  checker_.CheckJobRead(job, (*answer)["Total"].asUInt64(), after, results);
  return after + results.size();
}

void Traffic::RunReadLoop() {
  Random random(seed_ ^ 31U);
  while (!stopping_) {
    const std::vector<std::string> jobs = checker_.AcceptedJobs();
    if (!jobs.empty()) {
      // In most cases reads one of the eight newest jobs.
      const size_t back = std::min<size_t>(random() % 8, jobs.size() - 1);
      const std::string job =
          random() % 4 == 0 ? jobs[random() % jobs.size()]
                            : "j" + std::to_string(jobs.size() - 1 - back);
      if (std::find(jobs.begin(), jobs.end(), job) != jobs.end()) {
        ReadJob(kFirstFront + static_cast<int>(random() % 2), job, 0);
      }
    }
    Pause(kReadPause);
  }
}

}  // namespace sequoialb::soak
