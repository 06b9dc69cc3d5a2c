#include "traffic.h"

#include "kept_client.h"
#include "platform/json_values.h"

namespace sequoialb::soak {
namespace {

constexpr milliseconds kPatience{4'000};
constexpr milliseconds kOperatorPatience{1'500};
constexpr milliseconds kAskPause{10};
constexpr milliseconds kJobPause{600};
constexpr milliseconds kReadPause{150};
constexpr milliseconds kConfigPause{700};
constexpr milliseconds kBeatPause{800};
constexpr int kAskers = 4;
constexpr char kSteadyKey[] = "sk";

std::string WholeText(const char* before, const char* between) {
  std::string text;
  for (int i = 0; i < fakes::PlatformEngine::kEvents; ++i) {
    text += (i == 0 ? "" : between) + std::string(before) + std::to_string(i);
  }
  return text;
}

std::string WholeStream() {
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
  for (uint64_t i = 0; i < kAskers; ++i) {
    threads_.emplace_back([this, i] { AskAlways(i); });
  }
  threads_.emplace_back([this] { SubmitAlways(); });
  threads_.emplace_back([this] { ReadAlways(); });
  threads_.emplace_back([this] { ChangeAlways(); });
  threads_.emplace_back([this] { AnnounceAlways(); });
}

void Traffic::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  CollectRuns();
}

// Mostly one in force; now and then one that was withdrawn.
std::string Traffic::SomeKey(Random& random) {
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
    KeptClient client(
        deployment_.ControlAt(static_cast<int>(version + tries) % kFirstStore),
        kOperatorPatience);
    const int status = client.Call("PUT", "/sequoialb/config", "", text).status;
    if (status == 200) {
      promises_.Acknowledged(version, keys);
      return true;
    }
    if (status >= 400 && status < 500) {
      promises_.Broken("version " + std::to_string(version) +
                       " was refused with " + std::to_string(status));
      return false;
    }
    Pause(milliseconds(50));
  }
  return false;
}

void Traffic::ChangeAlways() {
  Random random(seed_ ^ 11U);
  while (!stopping_) {
    ChangeConfig(random() % 3 == 0);
    const uint64_t known = promises_.acknowledged();
    const int control = static_cast<int>(random() % kFirstStore);
    KeptClient client(deployment_.ControlAt(control), kOperatorPatience);
    const Reply reply = client.Call("GET", "/sequoialb/config", "");
    if (reply.status == 200) {
      const auto config = platform::ParseObject(reply.body);
      promises_.ReadConfig(known, config ? (*config)["Version"].asUInt64() : 0);
    }
    Pause(kConfigPause);
  }
}

void Traffic::AnnounceAlways() {
  while (!stopping_) {
    deployment_.Announce();
    CollectRuns();
    Pause(kBeatPause);
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
      promises_.Ran(id == nullptr ? "" : *id,
                    account == nullptr ? "" : *account,
                    headers.Find("Key") != nullptr);
    }
  }
}

int Traffic::Ask(int front, const std::string& key, bool once,
                 const std::string& account) {
  KeptClient client(deployment_.FrontAt(front), kPatience);
  const std::string id = "q" + std::to_string(next_id_++);
  promises_.Sent(id, {account, key, once, Clock::now(), 0});
  const Reply reply = client.Call(
      "POST", once ? "/o/x" : "/a/x",
      "Request-Id: " + id + "\r\nKey: " + key + "\r\nDeadline-Ms: 3500\r\n",
      "question");
  promises_.Answered(id, reply.status);
  return reply.status;
}

void Traffic::AskAlways(uint64_t number) {
  Random random(seed_ ^ (100 + number));
  std::vector<std::unique_ptr<KeptClient>> clients;
  for (int front = kFirstFront; front < kHosts; ++front) {
    clients.push_back(
        std::make_unique<KeptClient>(deployment_.FrontAt(front), kPatience));
  }
  while (!stopping_) {
    const std::string id = "q" + std::to_string(next_id_++);
    const bool once = random() % 2 == 0;
    const bool steady = random() % 2 == 0;
    const std::string key = steady ? kSteadyKey : SomeKey(random);
    promises_.Sent(
        id, {steady ? "steady" : "rotating", key, once, Clock::now(), 0});
    const Reply reply = clients[random() % clients.size()]->Call(
        "POST", once ? "/o/x" : "/a/x",
        "Request-Id: " + id + "\r\nKey: " + key +
            "\r\nTenant: forged\r\nDeadline-Ms: 3500\r\n",
        "question");
    promises_.Answered(id, reply.status);
    if (reply.status == 200) {
      const std::string* echoed = reply.headers.Find("Request-Id");
      if (echoed == nullptr || *echoed != id) {
        promises_.Broken(id + " got the answer of another request");
      }
      if (reply.body != WholeStream()) {
        promises_.Broken(id + " got an answer that is complete but not whole");
      }
    }
    if (reply.status == 404) {
      promises_.Broken(id + " was refused with 404 on a route that exists");
    }
    Pause(kAskPause);
  }
}

void Traffic::Submit(const std::string& job, size_t items, Random& random) {
  std::string list;
  for (size_t i = 0; i < items; ++i) {
    const std::string id = job + "-" + std::to_string(i);
    promises_.Sent(id, {"steady", "", false, Clock::now(), 0});
    list += (i == 0 ? "" : ",") + std::string(R"({"Id":")") + id +
            R"(","Path":"/b/1","Headers":{"Model":"m"},"Body":"Ym9keQ==",)" +
            R"("Tokens":10})";
  }
  const std::string body = R"({"Items":[)" + list + "]}";
  while (!stopping_) {
    const int front = kFirstFront + static_cast<int>(random() % 2);
    KeptClient client(deployment_.FrontAt(front), kPatience);
    const int status =
        client
            .Call("POST", "/b/" + job,
                  "Request-Id: " + job + "\r\nKey: " + kSteadyKey + "\r\n",
                  body)
            .status;
    if (status == 202) {
      promises_.JobAccepted(job, items);
      return;
    }
    Pause(milliseconds(100));
  }
}

void Traffic::SubmitAlways() {
  Random random(seed_ ^ 21U);
  for (int number = 0; !stopping_; ++number) {
    Submit("j" + std::to_string(number), 2 + random() % 6, random);
    Pause(kJobPause);
  }
}

size_t Traffic::ReadJob(int front, const std::string& job, size_t after) {
  KeptClient client(deployment_.FrontAt(front), kPatience);
  const Reply reply = client.Call(
      "GET", "/sequoialb/lots/" + job + "?After=" + std::to_string(after),
      std::string("Key: ") + kSteadyKey + "\r\n");
  if (reply.status == 404 || reply.status == 410) {
    promises_.Broken("job " + job + " was accepted and is answered " +
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
        results.back().output != WholeText("t", "\n")) {
      promises_.Broken("item " + results.back().item + " is listed as " +
                       result["State"].asString() + " with another output");
    }
  }
  promises_.JobRead(job, (*answer)["Total"].asUInt64(), after, results);
  return after + results.size();
}

void Traffic::ReadAlways() {
  Random random(seed_ ^ 31U);
  while (!stopping_) {
    const std::vector<std::string> jobs = promises_.AcceptedJobs();
    if (!jobs.empty()) {
      // The newest are read most; from their start, or from further on.
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
