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
constexpr milliseconds kMinTimeout{10};
constexpr int kMaxCertificateChain = 9;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::unique_ptr<Poco::Net::HTTPClientSession> MakeSession(
    const HttpRequest& request) {
  if (StartsWith(request.server, kHttps)) {
    const Poco::Net::SocketAddress address(
        request.server.substr(sizeof(kHttps) - 1));
    const auto mode = request.ca_file.empty()
                          ? Poco::Net::Context::VERIFY_NONE
                          : Poco::Net::Context::VERIFY_RELAXED;
    const Poco::Net::Context::Ptr tls = new Poco::Net::Context(
        Poco::Net::Context::TLS_CLIENT_USE, "", "", request.ca_file, mode,
        kMaxCertificateChain, false);
    return std::make_unique<Poco::Net::HTTPSClientSession>(
        address.host().toString(), address.port(), tls);
  }
  const std::string plain = StartsWith(request.server, kHttp)
                                ? request.server.substr(sizeof(kHttp) - 1)
                                : request.server;
  return std::make_unique<Poco::Net::HTTPClientSession>(
      Poco::Net::SocketAddress(plain));
}

void ReadAnswer(std::istream& in, HttpResponse& answer,
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

Result<HttpResponse> SendHttpRequest(
    const HttpRequest& request,
    const std::function<void(std::string_view)>& on_bytes) {
  HttpResponse response;
  bool answered = false;
  try {
    const auto session = MakeSession(request);
    const Duration timeout =
        std::max<Duration>(kMinTimeout, request.deadline - Clock::now());
    session->setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(timeout)
            .count()));
    Poco::Net::HTTPRequest poco_request(request.method, request.path,
                                        "HTTP/1.1");
    for (const auto& [name, value] : request.headers) {
      poco_request.set(name, value);
    }
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT") {
      poco_request.setContentType(request.content_type);
      poco_request.setContentLength64(
          static_cast<Poco::Int64>(request.body.size()));
    }
    session->sendRequest(poco_request) << request.body << std::flush;
    Poco::Net::HTTPResponse poco_response;
    std::istream& in = session->receiveResponse(poco_response);
    answered = true;
    response.status = poco_response.getStatus();
    for (const auto& [name, value] : poco_response) {
      response.headers[name] = value;
    }
    ReadAnswer(in, response, on_bytes);
    response.truncated = session->networkException() != nullptr;
    response.truncated |=
        poco_response.hasContentLength() && !on_bytes &&
        response.body.size() !=
            static_cast<size_t>(poco_response.getContentLength64());
  } catch (const Poco::Exception& e) {
    if (!answered) {
      return Fail(ErrorCode::kIo, request.server + ": " + e.displayText(),
                  RunState::kUnknown);
    }
    response.truncated = true;
  }
  return response;
}

Error ErrorFromResponse(const HttpResponse& answer) {
  const auto json = JsonDocument::Parse(answer.body, "answer");
  Error error{
      ErrorCode::kInternal,
      "the server returned HTTP status " + std::to_string(answer.status),
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
