#include "client/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <istream>

#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr char kHttps[] = "https://";
constexpr char kHttp[] = "http://";
constexpr size_t kReadBytes = 16U << 10U;
constexpr milliseconds kLeastTimeout{10};
constexpr int kTlsDepth = 9;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::unique_ptr<Poco::Net::HTTPClientSession> MakeSession(
    const HttpCall& call) {
  if (StartsWith(call.server, kHttps)) {
    const Poco::Net::SocketAddress address(
        call.server.substr(sizeof(kHttps) - 1));
    const auto mode = call.ca_file.empty() ? Poco::Net::Context::VERIFY_NONE
                                           : Poco::Net::Context::VERIFY_RELAXED;
    const Poco::Net::Context::Ptr tls =
        new Poco::Net::Context(Poco::Net::Context::TLS_CLIENT_USE, "", "",
                               call.ca_file, mode, kTlsDepth, false);
    return std::make_unique<Poco::Net::HTTPSClientSession>(
        address.host().toString(), address.port(), tls);
  }
  const std::string plain = StartsWith(call.server, kHttp)
                                ? call.server.substr(sizeof(kHttp) - 1)
                                : call.server;
  return std::make_unique<Poco::Net::HTTPClientSession>(
      Poco::Net::SocketAddress(plain));
}

void ReadAnswer(std::istream& in, HttpAnswer& answer,
                const std::function<void(std::string_view)>& on_bytes) {
  std::array<char, kReadBytes> buffer{};
  while (in.read(buffer.data(), 1) && in.gcount() > 0) {
    const std::streamsize more = in.readsome(
        buffer.data() + 1, static_cast<std::streamsize>(buffer.size() - 1));
    const std::string_view bytes(buffer.data(), static_cast<size_t>(more + 1));
    if (on_bytes) {
      on_bytes(bytes);
    } else {
      answer.body.append(bytes);
    }
  }
}

}  // namespace

Result<HttpAnswer> CallHttp(
    const HttpCall& call,
    const std::function<void(std::string_view)>& on_bytes) {
  HttpAnswer answer;
  bool answered = false;
  try {
    const auto session = MakeSession(call);
    const Duration left =
        std::max<Duration>(kLeastTimeout, call.deadline - Clock::now());
    session->setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(left).count()));
    Poco::Net::HTTPRequest request(call.method, call.path, "HTTP/1.1");
    for (const auto& [name, value] : call.headers) {
      request.set(name, value);
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
      request.setContentType(call.content_type);
      request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    }
    session->sendRequest(request) << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session->receiveResponse(response);
    answered = true;
    answer.status = response.getStatus();
    for (const auto& [name, value] : response) {
      answer.headers[name] = value;
    }
    ReadAnswer(in, answer, on_bytes);
    answer.broken = session->networkException() != nullptr;
    answer.broken |= response.hasContentLength() && !on_bytes &&
                     answer.body.size() !=
                         static_cast<size_t>(response.getContentLength64());
  } catch (const Poco::Exception& e) {
    if (!answered) {
      return Fail(ErrorCode::kIo, call.server + ": " + e.displayText(),
                  RunState::kUnknown);
    }
    answer.broken = true;
  }
  return answer;
}

Error ErrorFromAnswer(const HttpAnswer& answer) {
  const auto json = JsonDocument::Parse(answer.body, "answer");
  Error error{ErrorCode::kInternal,
              "the server answered status " + std::to_string(answer.status),
              RunState::kUnknown};
  if (!json || !json->root["code"].isString()) {
    return error;
  }
  error.code = ErrorCodeFromName(json->root["code"].asString());
  error.detail = json->root["detail"].asString();
  const std::string run = json->root["run"].asString();
  error.run = run == "not_run" ? RunState::kNotRun
              : run == "ran"   ? RunState::kRan
                               : RunState::kUnknown;
  const auto retry = answer.headers.find("Retry-After");
  if (retry != answer.headers.end()) {
    error.retry_after_ms =
        1000 * std::strtoll(retry->second.c_str(), nullptr, 10);
  }
  return error;
}

}  // namespace sequoialb
