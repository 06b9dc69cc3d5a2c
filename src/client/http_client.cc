#include "client/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "http/response_reader.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr char kHttps[] = "https://";
constexpr char kHttp[] = "http://";
constexpr int kMaxCertificateChain = 9;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// Returns the address in a server's name, which may begin with its scheme.
std::string AddressOf(const std::string& server) {
  for (const std::string scheme : {kHttps, kHttp}) {
    if (StartsWith(server, scheme)) {
      return server.substr(scheme.size());
    }
  }
  return server;
}

Poco::Net::StreamSocket Connect(const HttpRequest& request) {
  const Poco::Net::SocketAddress address(AddressOf(request.server));
  Poco::Net::StreamSocket socket;
  if (StartsWith(request.server, kHttps)) {
    const auto mode = request.ca_file.empty()
                          ? Poco::Net::Context::VERIFY_NONE
                          : Poco::Net::Context::VERIFY_RELAXED;
    const Poco::Net::Context::Ptr tls = new Poco::Net::Context(
        Poco::Net::Context::TLS_CLIENT_USE, "", "", request.ca_file, mode,
        kMaxCertificateChain, false);
    Poco::Net::SecureStreamSocket secure(tls);
    secure.setPeerHostName(address.host().toString());
    socket = secure;
  }
  socket.connect(address, TimeLeft(request.deadline));
  socket.setSendTimeout(TimeLeft(request.deadline));
  socket.setNoDelay(true);
  return socket;
}

std::string RequestBytes(const HttpRequest& request) {
  std::string bytes = request.method + " " + request.path +
                      " HTTP/1.1\r\nHost: " + AddressOf(request.server) +
                      "\r\nConnection: close\r\n";
  for (const auto& [name, value] : request.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    bytes += "Content-Type: " + request.content_type +
             "\r\nContent-Length: " + std::to_string(request.body.size()) +
             "\r\n";
  }
  return bytes + "\r\n" + request.body;
}

// Sends the request. Returns false if the server did not take all of it, as one
// that refuses a long body; its answer can be read.
bool SendWhole(Poco::Net::StreamSocket& socket, const HttpRequest& request) {
  try {
    SendAll(socket, RequestBytes(request));
    return true;
  } catch (const Poco::IOException&) {
    return false;
  }
}

Result<HttpResponse> ReadAnswer(
    Poco::Net::StreamSocket& socket, const HttpRequest& request,
    bool sent_whole, const std::function<void(std::string_view)>& on_bytes) {
  // A stream may go on after the deadline of the request, but not pause for
  // longer than the time that is left now.
  const Duration longest_pause = request.deadline - Clock::now();
  ResponseReader reader(socket, request.deadline);
  const auto head = reader.ReadHead(request.method == "HEAD");
  if (!head) {
    return tl::unexpected<Error>(head.error());
  }
  if (!sent_whole && head->framing == BodyFraming::kUntilClose) {
    // The write has taken the error that would show where the answer was cut.
    return Fail(ErrorCode::kIo, "the connection ended inside the answer");
  }
  HttpResponse answer;
  answer.status = head->status;
  for (const HttpHeader& header : head->headers.fields()) {
    answer.headers[header.name] = header.value;
  }
  while (!reader.whole()) {
    reader.SetDeadline(Clock::now() + longest_pause);
    const auto data = reader.ReadBody();
    if (!data) {
      return tl::unexpected<Error>(data.error());
    }
    if (on_bytes) {
      on_bytes(*data);
    } else {
      answer.body += *data;
    }
  }
  return answer;
}

}  // namespace

Result<HttpResponse> SendHttpRequest(
    const HttpRequest& request,
    const std::function<void(std::string_view)>& on_bytes) {
  RunState run = RunState::kNotRun;
  std::string reason;
  try {
    Poco::Net::StreamSocket socket = Connect(request);
    run = RunState::kUnknown;
    const bool sent_whole = SendWhole(socket, request);
    auto answer = ReadAnswer(socket, request, sent_whole, on_bytes);
    if (answer) {
      return answer;
    }
    reason = answer.error().detail;
  } catch (const Poco::Exception& e) {
    reason = e.displayText();
  }
  return Fail(ErrorCode::kIo, request.server + ": " + reason, run);
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
