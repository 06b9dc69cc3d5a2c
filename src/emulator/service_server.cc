#include "emulator/service_server.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <json/value.h>
#include <sys/socket.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "emulator/announcer.h"
#include "emulator/stand_in_server.h"
#include "settings/json_fields.h"

namespace sequoialb::emulator {
namespace {

class Service {
 public:
  explicit Service(const ServiceConfig& config) : config_(config) {
    announcer_ = std::thread([this] { RunAnnounceLoop(); });
  }
  ~Service() {
    stopping_ = true;
    announcer_.join();
  }

  // Counts a call. Returns how many calls with this body have been received.
  uint64_t Count(const std::string& body, bool credentials) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++calls_;
    credentials_seen_ += credentials ? 1 : 0;
    const uint64_t seen = ++seen_[body];
    repeated_ += seen == 2 ? 1 : 0;
    return seen;
  }

  std::string TallyJson() {
    const std::lock_guard<std::mutex> lock(mutex_);
    Json::Value json;
    json["started"] = static_cast<Json::UInt64>(calls_);
    json["repeated"] = static_cast<Json::UInt64>(repeated_);
    json["credentials_seen"] = static_cast<Json::UInt64>(credentials_seen_);
    return JsonLine(json);
  }

 private:
  void RunAnnounceLoop() {
    Announcer announcer(config_.hosts);
    Json::Value json;
    json["id"] = config_.id;
    json["address"] = config_.address;
    json["service"] = config_.service;
    json["failure_domain"] = config_.domain;
    json["slots"] = config_.slots;
    json["plain"] = true;
    json["incarnation"] =
        static_cast<Json::UInt64>(static_cast<uint64_t>(UnixMs()));
    const std::string body = JsonLine(json);
    while (!stopping_) {
      announcer.Announce(body);
      std::this_thread::sleep_for(config_.announce_interval);
    }
  }

  const ServiceConfig config_;
  std::mutex mutex_;
  std::map<std::string, uint64_t> seen_;
  uint64_t calls_ = 0;
  uint64_t repeated_ = 0;
  uint64_t credentials_seen_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread announcer_;
};

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(Service& service) : service_(service) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string body(std::istreambuf_iterator<char>(request.stream()),
                           {});
    response.setContentType("application/json");
    NameAttempt(request, response);
    if (request.getURI() == "/tally") {
      const std::string tally = service_.TallyJson();
      response.sendBuffer(tally.data(), tally.size());
      return;
    }
    const uint64_t seen = service_.Count(body, request.has("Authorization"));
    const size_t slow = body.find("SLOW=");
    if (slow != std::string::npos) {
      std::this_thread::sleep_for(
          milliseconds(std::strtol(body.c_str() + slow + 5, nullptr, 10)));
    }
    if (body.find("BREAK") != std::string::npos) {
      auto& socket =
          static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
      ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
      return;
    }
    const std::string answer = "{\"seen\":" + std::to_string(seen) + "}";
    response.sendBuffer(answer.data(), answer.size());
  }

 private:
  Service& service_;
};

}  // namespace

Status RunService(const ServiceConfig& config,
                  const std::function<void()>& wait_for_stop) {
  Service service(config);
  return ServeStandIn(
      config.address, [&service] { return std::make_unique<Handler>(service); },
      wait_for_stop);
}

}  // namespace sequoialb::emulator
