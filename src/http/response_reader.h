// Reads HTTP responses from a blocking connection with the strict parser. A
// response that is malformed, or that ends before its framing says so, is an
// error, never a short body.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace sequoialb {

// Returns the time until a deadline as the timeout of a socket operation, which
// is at least 10 ms.
Poco::Timespan TimeLeft(TimePoint deadline);

// Sends all bytes. Throws Poco::Exception if the connection breaks.
void SendAll(Poco::Net::StreamSocket& socket, std::string_view bytes);

class ResponseReader {
 public:
  // The methods that read fail once the deadline has passed. The socket must
  // outlive the reader.
  ResponseReader(Poco::Net::StreamSocket& socket, TimePoint deadline)
      : socket_(socket), deadline_(deadline) {}

  void SetDeadline(TimePoint deadline) { deadline_ = deadline; }

  // Reads the next head that is not interim. `to_head_request` is set if the
  // request was HEAD. Fails with kDeadlineExceeded or kIo; throws
  // Poco::Exception when the connection breaks.
  Result<ResponseHead> ReadHead(bool to_head_request = false);

  // Returns the next bytes of the body, and none once it has ended. Fails and
  // throws as ReadHead does.
  Result<std::string> ReadBody();

  // Reads and discards the rest of the body, of at most `max_bytes`. Returns
  // false when the end does not come.
  bool SkipBody(size_t max_bytes);

  // The body has ended as its framing says.
  bool whole() const { return decoder_->state() == BodyDecoder::State::kDone; }
  // The connection is open and no bytes follow the response.
  bool clean() const { return !ended_ && input_.empty(); }
  // Bytes of heads, and of bodies that were discarded.
  size_t skipped() const { return skipped_; }

 private:
  Status Receive();

  Poco::Net::StreamSocket& socket_;
  TimePoint deadline_;
  std::string input_;
  std::optional<BodyDecoder> decoder_;
  size_t skipped_ = 0;
  bool ended_ = false;
};

}  // namespace sequoialb
