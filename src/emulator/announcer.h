// Announces a stand-in backend server to the hosts of its failure domain. Each
// announcement goes to one host, and to the next one if that host fails to
// accept it.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <memory>
#include <string>
#include <vector>

namespace sequoialb::emulator {

class Announcer {
 public:
  explicit Announcer(std::vector<std::string> hosts)
      : hosts_(std::move(hosts)) {}

  // Sends one announcement. Returns false if no host accepted it.
  bool Announce(const std::string& body) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (TryHost(hosts_[current_], body)) {
        return true;
      }
      session_.reset();
      current_ = (current_ + 1) % hosts_.size();
    }
    return false;
  }

 private:
  bool TryHost(const std::string& host, const std::string& body) {
    constexpr int kTimeoutUs = 500'000;
    try {
      if (session_ == nullptr) {
        session_ = std::make_unique<Poco::Net::HTTPClientSession>(
            Poco::Net::SocketAddress(host));
        session_->setKeepAlive(true);
        session_->setTimeout(Poco::Timespan(kTimeoutUs));
      }
      Poco::Net::HTTPRequest request("POST", "/v1/backends/announce",
                                     "HTTP/1.1");
      request.setContentType("application/json");
      request.setContentLength(static_cast<std::streamsize>(body.size()));
      session_->sendRequest(request) << body << std::flush;
      Poco::Net::HTTPResponse response;
      Poco::NullOutputStream ignored;
      Poco::StreamCopier::copyStream(session_->receiveResponse(response),
                                     ignored);
      return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  std::vector<std::string> hosts_;
  size_t current_ = 0;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

}  // namespace sequoialb::emulator
