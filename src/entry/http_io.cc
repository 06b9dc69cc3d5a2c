#include "entry/http_io.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <json/value.h>

#include <array>
#include <istream>
#include <ostream>

#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr size_t kReadBufferBytes = 64U << 10U;
// Enough for callers that misjudge the limit of a body by a few times.
constexpr uint64_t kMinDiscardBytes = 16U << 20U;
constexpr int64_t kMsPerSecond = 1'000;
constexpr char kBearerPrefix[] = "Bearer ";

}  // namespace

Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request,
                             uint64_t max_bytes) {
  const Error too_large{
      ErrorCode::kTooLarge,
      "the body is over the limit of " + std::to_string(max_bytes) + " bytes"};
  if (request.hasContentLength() &&
      static_cast<uint64_t>(request.getContentLength64()) > max_bytes) {
    return tl::unexpected<Error>(too_large);
  }
  std::string body;
  std::array<char, kReadBufferBytes> buffer{};
  std::istream& in = request.stream();
  try {
    while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
      body.append(buffer.data(), static_cast<size_t>(in.gcount()));
      if (body.size() > max_bytes) {
        return tl::unexpected<Error>(too_large);
      }
    }
  } catch (const Poco::Exception& e) {
    return Fail(ErrorCode::kMalformed,
                "the body could not be read: " + e.displayText());
  }
  if (request.hasContentLength() &&
      body.size() != static_cast<uint64_t>(request.getContentLength64())) {
    return Fail(ErrorCode::kMalformed,
                "the connection ended before the whole body was received");
  }
  return body;
}

bool DiscardBody(Poco::Net::HTTPServerRequest& request, uint64_t max_bytes,
                 TimePoint deadline) {
  if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) {
    return true;  // The request has no body.
  }
  std::istream& in = request.stream();
  if (in.eof()) {
    return true;
  }
  std::array<char, kReadBufferBytes> buffer{};
  const uint64_t limit = std::max(max_bytes, kMinDiscardBytes);
  uint64_t dropped = 0;
  try {
    // One byte is awaited and then only what has arrived is taken, so that the
    // deadline is checked after each receipt.
    while (dropped < limit && Clock::now() < deadline &&
           in.read(buffer.data(), 1)) {
      dropped +=
          1 + static_cast<uint64_t>(in.readsome(
                  buffer.data(), static_cast<std::streamsize>(buffer.size())));
    }
  } catch (const Poco::Exception&) {
    return false;  // The caller has disconnected or is silent.
  }
  // A form's parser may have read the end of a chunked body without a trace in
  // the stream, so what follows one is not known to be the next request.
  return in.eof() && !in.bad() && !request.getChunkedTransferEncoding();
}

std::string ProblemJson(const Error& error) {
  Json::Value problem;
  const std::string name(ErrorName(error.code));
  problem["type"] = "urn:sequoialb:error:" + name;
  problem["title"] = name;
  problem["status"] = HttpStatus(error.code);
  problem["detail"] = error.detail;
  problem["code"] = name;
  problem["run"] = std::string(RunStateName(error.run));
  return JsonLine(problem);
}

void SendBody(Poco::Net::HTTPServerResponse& response, const std::string& body,
              const std::string& content_type, int status) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(content_type);
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  // Sent now rather than when the request ends, which may be after the rest of
  // a refused body. In response to HEAD the stream drops the body.
  std::ostream& out = response.send();
  out.write(body.data(), static_cast<std::streamsize>(body.size()));
  out.flush();
}

void SendJson(Poco::Net::HTTPServerResponse& response, const std::string& json,
              int status) {
  SendBody(response, json, "application/json", status);
}

void SendError(Poco::Net::HTTPServerResponse& response, const Error& error) {
  if (error.retry_after_ms) {
    // Rounded up to whole seconds, so that a caller that waits this long does
    // not retry too early.
    const int64_t retry_after_s =
        (*error.retry_after_ms + kMsPerSecond - 1) / kMsPerSecond;
    response.set("Retry-After",
                 std::to_string(std::max<int64_t>(1, retry_after_s)));
  }
  if (error.code == ErrorCode::kTooLarge ||
      error.code == ErrorCode::kMalformed ||
      error.code == ErrorCode::kShuttingDown) {
    // The end of the body may be unknown, or the host is stopping.
    response.setKeepAlive(false);
  }
  SendBody(response, ProblemJson(error), "application/problem+json",
           HttpStatus(error.code));
}

std::string BearerToken(const Poco::Net::HTTPServerRequest& request) {
  const std::string header = request.get("Authorization", "");
  const size_t prefix_length = sizeof(kBearerPrefix) - 1;
  if (header.compare(0, prefix_length, kBearerPrefix) != 0) {
    return "";
  }
  return header.substr(prefix_length);
}

std::string PathOf(const Poco::Net::HTTPServerRequest& request) {
  const std::string& uri = request.getURI();
  return uri.substr(0, uri.find('?'));
}

std::string QueryParameter(const Poco::Net::HTTPServerRequest& request,
                           const std::string& name) {
  try {
    for (const auto& [key, value] :
         Poco::URI(request.getURI()).getQueryParameters()) {
      if (key == name) {
        return value;
      }
    }
  } catch (const Poco::Exception&) {
    return "";  // A URI that cannot be parsed has no parameters.
  }
  return "";
}

}  // namespace sequoialb
