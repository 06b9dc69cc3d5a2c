#include "emulator/engine_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <json/reader.h>
#include <json/value.h>
#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "base/hash.h"
#include "base/time.h"
#include "emulator/announcer.h"
#include "emulator/engine_model.h"
#include "emulator/stand_in_server.h"
#include "requests/chat_request.h"
#include "settings/json_fields.h"

namespace sequoialb::emulator {
namespace {

constexpr uint32_t kMaxPromptTokens = 8'000;

// Counters that tests read through GET /tally.
struct Tally {
  std::atomic<uint64_t> started{0};
  std::atomic<uint64_t> finished{0};
  std::atomic<uint64_t> cancelled{0};
  std::atomic<uint64_t> refused{0};
  std::atomic<uint64_t> orders_taken{0};
  std::atomic<uint64_t> orders_refused{0};
  std::atomic<uint64_t> last_fencing{0};
  std::atomic<uint64_t> credentials_seen{0};
};

class Engine {
 public:
  explicit Engine(const EngineConfig& config)
      : config_(config), model_(config.engine), random_(config.seed) {
    stepper_ = std::thread([this] { RunStepLoop(); });
    announcer_ = std::thread([this] { RunAnnounceLoop(); });
  }

  ~Engine() {
    stopping_ = true;
    changed_.notify_all();
    stepper_.join();
    announcer_.join();
  }

  const EngineConfig& config() const { return config_; }
  Tally& tally() { return tally_; }

  // Adds a sequence and returns its id. WaitForTokens waits for its tokens.
  uint64_t Start(const ChatRequest& request, uint32_t first, uint32_t total) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Sequence sequence;
    sequence.id = next_id_++;
    sequence.prefix = request.prefix_hash();
    sequence.prompt_tokens = request.prompt_tokens();
    sequence.next = first;
    sequence.total = total;
    if (first < total) {
      model_.Add(sequence);
    }
    emitted_[sequence.id] = first;
    ++tally_.started;
    changed_.notify_all();
    return sequence.id;
  }

  // Waits until the sequence has emitted more than `have` tokens and returns
  // how many it has emitted, or 0 if the engine crashed or is stopping.
  uint32_t WaitForTokens(uint64_t id, uint32_t have) {
    std::unique_lock<std::mutex> lock(mutex_);
    const uint64_t epoch = epoch_;
    tokens_.wait(lock, [&] {
      return stopping_ || epoch_ != epoch || emitted_[id] > have;
    });
    return epoch_ != epoch || stopping_ ? 0 : emitted_[id];
  }

  void End(uint64_t id, bool finished) {
    const std::lock_guard<std::mutex> lock(mutex_);
    model_.Cancel(id);
    emitted_.erase(id);
    ++(finished ? tally_.finished : tally_.cancelled);
  }

  // Discards all sequences, closes all connections and rejects new ones for
  // `restart_delay`.
  void Crash() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++epoch_;
    model_ = EngineModel(config_.engine);
    down_until_ = Clock::now() + config_.restart_delay;
    incarnation_ = static_cast<uint64_t>(UnixMs()) + epoch_;
    for (const int descriptor : connections_) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
    tokens_.notify_all();
  }

  bool down() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Clock::now() < down_until_;
  }

  void AddConnection(int descriptor) {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(descriptor);
  }
  void RemoveConnection(int descriptor) {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(descriptor);
  }

  void StartDraining() { draining_ = true; }

  // Accepts an order. Returns false if the engine checks fencing numbers and
  // has accepted an order with a higher one.
  bool TakeOrder(uint64_t fencing) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool stale = fencing < tally_.last_fencing.load();
    if (stale && config_.checks_fencing) {
      ++tally_.orders_refused;
      return false;
    }
    tally_.last_fencing = fencing;
    ++tally_.orders_taken;
    return true;
  }

  std::string TallyJson() {
    const std::lock_guard<std::mutex> lock(mutex_);
    Json::Value json;
    json["started"] = static_cast<Json::UInt64>(tally_.started.load());
    json["finished"] = static_cast<Json::UInt64>(tally_.finished.load());
    json["cancelled"] = static_cast<Json::UInt64>(tally_.cancelled.load());
    json["refused"] = static_cast<Json::UInt64>(tally_.refused.load());
    json["orders_taken"] =
        static_cast<Json::UInt64>(tally_.orders_taken.load());
    json["orders_refused"] =
        static_cast<Json::UInt64>(tally_.orders_refused.load());
    json["last_fencing"] =
        static_cast<Json::UInt64>(tally_.last_fencing.load());
    json["credentials_seen"] =
        static_cast<Json::UInt64>(tally_.credentials_seen.load());
    json["prefix_hits"] = static_cast<Json::UInt64>(model_.prefix_hits());
    json["prefix_misses"] = static_cast<Json::UInt64>(model_.prefix_misses());
    json["running"] = static_cast<Json::UInt64>(model_.running());
    json["waiting"] = static_cast<Json::UInt64>(model_.waiting());
    json["most_running"] = static_cast<Json::UInt64>(most_running_);
    return JsonLine(json);
  }

 private:
  void RunStepLoop() {
    while (!stopping_) {
      StepResult result;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || !model_.idle(); });
        if (stopping_) {
          break;
        }
        result = model_.Step();
        most_running_ =
            std::max(most_running_, model_.running() + model_.waiting());
      }
      std::this_thread::sleep_for(
          FromSeconds(result.duration_ms / 1000 / config_.speed));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [id, token] : result.tokens) {
          const auto found = emitted_.find(id);
          if (found != emitted_.end()) {
            found->second = token + 1;
          }
        }
        for (const uint64_t prefix : result.newly_cached) {
          std::uniform_real_distribution<double> draw(0, 1);
          if (draw(random_) >= config_.event_loss) {
            announced_prefixes_.insert(prefix);
          }
        }
      }
      tokens_.notify_all();
    }
    tokens_.notify_all();
  }

  void RunAnnounceLoop() {
    Announcer announcer(config_.hosts);
    std::deque<std::pair<TimePoint, std::pair<size_t, size_t>>> loads;
    while (!stopping_) {
      if (!down()) {
        announcer.Announce(Announcement(loads));
      }
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, AnnounceInterval(),
                        [this] { return stopping_.load(); });
    }
  }

  Duration AnnounceInterval() const { return config_.announce_interval; }

  std::string Announcement(
      std::deque<std::pair<TimePoint, std::pair<size_t, size_t>>>& loads) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const TimePoint now = Clock::now();
    loads.emplace_back(now, std::make_pair(model_.running(), model_.waiting()));
    while (loads.size() > 1 && loads[1].first + config_.report_lag <= now) {
      loads.pop_front();
    }
    Json::Value json;
    json["id"] = config_.id;
    json["address"] = config_.address;
    json["service"] = config_.service;
    json["failure_domain"] = config_.domain;
    for (const std::string& model : config_.models) {
      json["models"].append(model);
    }
    json["slots"] = config_.engine.slots;
    json["leaving"] = draining_.load();
    json["checks_fencing"] = config_.checks_fencing;
    json["running"] = static_cast<Json::UInt64>(loads.front().second.first);
    json["waiting"] = static_cast<Json::UInt64>(loads.front().second.second);
    json["incarnation"] = static_cast<Json::UInt64>(incarnation_);
    json["cached_prefixes"] = Json::Value(Json::arrayValue);
    // Evicted prefixes are removed only when the next announcement is built, as
    // the cache events of an engine arrive late.
    std::set<uint64_t> cached(model_.cache().begin(), model_.cache().end());
    for (auto prefix = announced_prefixes_.begin();
         prefix != announced_prefixes_.end();) {
      if (cached.count(*prefix) == 0) {
        prefix = announced_prefixes_.erase(prefix);
        continue;
      }
      std::array<char, 17> text{};
      std::snprintf(text.data(), text.size(), "%016llx",
                    static_cast<unsigned long long>(
                        *prefix));  // NOLINT(google-runtime-int)
      json["cached_prefixes"].append(text.data());
      ++prefix;
    }
    return JsonLine(json);
  }

  const EngineConfig config_;
  Tally tally_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::condition_variable tokens_;
  EngineModel model_;
  std::mt19937_64 random_;
  std::map<uint64_t, uint32_t> emitted_;
  std::set<uint64_t> announced_prefixes_;
  std::set<int> connections_;
  uint64_t next_id_ = 1;
  uint64_t epoch_ = 0;
  uint64_t incarnation_ = static_cast<uint64_t>(UnixMs());
  size_t most_running_ = 0;
  TimePoint down_until_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::thread stepper_;
  std::thread announcer_;
};

uint32_t AnswerTokens(const std::string& prompt, const Json::Value& body,
                      uint32_t default_tokens) {
  const size_t at = prompt.find("TOKENS=");
  uint32_t total = default_tokens;
  if (at != std::string::npos) {
    total = static_cast<uint32_t>(
        std::strtoul(prompt.c_str() + at + 7, nullptr, 10));
  }
  if (body["max_tokens"].isUInt()) {
    total = std::min(total, body["max_tokens"].asUInt());
  }
  return std::max(1U, total);
}

std::string TokenText(const std::string& prompt, uint32_t number) {
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "t%u-%04x ", number,
                static_cast<unsigned>(Hash64(prompt) & 0xFFFFU));
  return text.data();
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(Engine& engine) : engine_(engine) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    auto& socket =
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    const int descriptor = socket.impl()->sockfd();
    if (engine_.down()) {
      ::shutdown(descriptor, SHUT_RDWR);
      return;
    }
    if (request.has("Authorization") || request.has("X-Api-Key")) {
      ++engine_.tally().credentials_seen;
    }
    engine_.AddConnection(descriptor);
    NameAttempt(request, response);
    try {
      Route(request, response);
    } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch)
      // The caller has disconnected.
    }
    engine_.RemoveConnection(descriptor);
  }

 private:
  void Route(Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response) {
    const std::string& path = request.getURI();
    const std::string body(std::istreambuf_iterator<char>(request.stream()),
                           {});
    if (path == "/tally") {
      Send(response, 200, engine_.TallyJson());
    } else if (path == "/leave") {
      engine_.StartDraining();
      Send(response, 200, "{}");
    } else if (path == "/die") {
      Send(response, 200, "{}");
      engine_.Crash();
    } else if (path == "/v1/orders") {
      Order(body, response);
    } else {
      Chat(path, body, response);
    }
  }

  void Order(const std::string& body, Poco::Net::HTTPServerResponse& response) {
    const auto json = JsonDocument::Parse(body, "order");
    if (!json || !json->root["fencing"].isUInt64()) {
      Send(response, 400, R"({"error":"no fencing number"})");
    } else if (engine_.TakeOrder(json->root["fencing"].asUInt64())) {
      Send(response, 200, R"({"done":true})");
    } else {
      Send(response, 409, R"({"error":"old fencing number"})");
    }
  }

  void Chat(const std::string& path, const std::string& body,
            Poco::Net::HTTPServerResponse& response) {
    const auto request = ParseChatRequest(path, body);
    const bool too_long =
        request && (request->prompt.find("TOOLONG") != std::string::npos ||
                    request->prompt_tokens() > kMaxPromptTokens);
    if (!request || too_long) {
      ++engine_.tally().refused;
      Send(response, 400,
           R"({"error":"the prompt is too long for this model"})");
      return;
    }
    const Json::Value& resume = request->body["resume_from"];
    const uint32_t first = resume.isUInt() ? resume.asUInt() : 0;
    const uint32_t total =
        AnswerTokens(request->prompt, request->body, engine_.config().tokens);
    if (request->prompt.find("KILLSERVER") != std::string::npos) {
      ++engine_.tally().started;
      engine_.Crash();
      return;
    }
    Stream(*request, first, total, response);
  }

  void Stream(const ChatRequest& request, uint32_t first, uint32_t total,
              Poco::Net::HTTPServerResponse& response) {
    const uint64_t id = engine_.Start(request, first, total);
    response.setChunkedTransferEncoding(true);
    response.setContentType("text/event-stream");
    uint32_t sent = first;
    bool finished = false;
    try {
      std::ostream& out = response.send();
      out << std::flush;
      while (sent < total) {
        const uint32_t have = engine_.WaitForTokens(id, sent);
        if (have == 0) {
          break;
        }
        for (; sent < have; ++sent) {
          out << Event(request, sent, total);
        }
        out << std::flush;
        if (!out.good()) {
          break;
        }
      }
      finished = sent >= total;
      if (finished) {
        out << "data: [DONE]\n\n" << std::flush;
      }
    } catch (const Poco::Exception&) {
      finished = false;
    }
    engine_.End(id, finished);
    if (!finished) {
      throw Poco::Exception("stream ended early");
    }
  }

  static std::string Event(const ChatRequest& request, uint32_t number,
                           uint32_t total) {
    const std::string text = JsonLine(TokenText(request.prompt, number));
    const std::string content = request.kind == ChatKind::kChat
                                    ? "\"delta\":{\"content\":" + text + "}"
                                    : "\"text\":" + text;
    const std::string reason = number + 1 == total ? "\"stop\"" : "null";
    return "data: {\"choices\":[{\"index\":0," + content +
           ",\"finish_reason\":" + reason +
           "}],\"seq\":" + std::to_string(number) + "}\n\n";
  }

  static void Send(Poco::Net::HTTPServerResponse& response, int status,
                   const std::string& json) {
    response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(json.data(), json.size());
  }

  Engine& engine_;
};

}  // namespace

Status RunEngine(const EngineConfig& config,
                 const std::function<void()>& wait_for_stop) {
  Engine engine(config);
  return ServeStandIn(
      config.address, [&engine] { return std::make_unique<Handler>(engine); },
      wait_for_stop);
}

}  // namespace sequoialb::emulator
