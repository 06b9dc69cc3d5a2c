// A caller that keeps its connection open until the far end closes it.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>

#include "http/message.h"
#include "settings/settings.h"

namespace sequoialb::soak {

struct Reply {
  // 0 when no complete answer came.
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

class KeptClient {
 public:
  // Waits for `patience` at the most for each read.
  KeptClient(Address address, milliseconds patience)
      : address_(std::move(address)), patience_(patience) {}

  Reply Call(const std::string& method, const std::string& target,
             const std::string& fields, const std::string& body = "") {
    if (socket_ == nullptr && !Connect()) {
      return {};
    }
    Reply reply;
    try {
      const std::string bytes =
          method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" + fields +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      socket_->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      reply = Read();
    } catch (const Poco::Exception&) {
      // Broken off or silent: no answer.
      reply = {};
    }
    if (reply.status == 0 || !keep_) {
      socket_.reset();
      received_.clear();
    }
    return reply;
  }

 private:
  bool Connect() {
    try {
      const Poco::Timespan limit(1, 0);
      socket_ = std::make_unique<Poco::Net::StreamSocket>();
      socket_->connect(Poco::Net::SocketAddress(address_.ip, address_.port),
                       limit);
      socket_->setReceiveTimeout(
          Poco::Timespan(0, static_cast<int>(patience_.count()) * 1'000));
      return true;
    } catch (const Poco::Exception&) {
      socket_.reset();
      return false;
    }
  }

  bool ReadMore() {
    char buffer[16'384];
    const int got = socket_->receiveBytes(buffer, sizeof(buffer));
    if (got > 0) {
      received_.append(buffer, static_cast<size_t>(got));
    }
    return got > 0;
  }

  Reply Read() {
    std::optional<size_t> size = HeadSize(received_);
    while (!size) {
      if (!ReadMore()) {
        return {};
      }
      size = HeadSize(received_);
    }
    const auto head = ParseResponseHead(received_.substr(0, *size));
    if (!head) {
      return {};
    }
    received_.erase(0, *size);
    keep_ = head->keep_alive;
    Reply reply{head->status, head->headers, {}};
    BodyDecoder decoder(head->framing, head->length);
    while (decoder.state() == BodyDecoder::State::kIncomplete) {
      received_.erase(0, decoder.Feed(received_, reply.body));
      if (decoder.state() == BodyDecoder::State::kIncomplete && !ReadMore()) {
        return {};
      }
    }
    return decoder.state() == BodyDecoder::State::kDone ? reply : Reply{};
  }

  Address address_;
  milliseconds patience_;
  std::unique_ptr<Poco::Net::StreamSocket> socket_;
  std::string received_;
  bool keep_ = true;
};

}  // namespace sequoialb::soak
