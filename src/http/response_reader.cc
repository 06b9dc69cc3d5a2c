#include "http/response_reader.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace sequoialb {
namespace {

constexpr milliseconds kMinTimeout{10};
constexpr size_t kReadBytes = 16U << 10U;
// A head, with the interim heads before it.
constexpr size_t kMaxHeadBytes = 64U << 10U;
constexpr int kFirstFinalStatus = 200;

}  // namespace

Poco::Timespan TimeLeft(TimePoint deadline) {
  const auto left = std::max<Duration>(kMinTimeout, deadline - Clock::now());
  return {std::chrono::duration_cast<std::chrono::microseconds>(left).count()};
}

void SendAll(Poco::Net::StreamSocket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const int count =
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (count <= 0) {
      throw Poco::Net::ConnectionAbortedException(
          "the request could not be sent");
    }
    bytes.remove_prefix(static_cast<size_t>(count));
  }
}

Result<ResponseHead> ResponseReader::ReadHead(bool to_head_request) {
  size_t head_bytes = 0;
  while (true) {
    const auto size = HeadSize(input_);
    if (!size) {
      if (head_bytes + input_.size() > kMaxHeadBytes) {
        return Fail(ErrorCode::kIo, "the head does not end",
                    RunState::kUnknown);
      }
      const Status received = Receive();
      if (!received) {
        return tl::unexpected<Error>(received.error());
      }
      if (ended_) {
        return Fail(ErrorCode::kIo,
                    "the connection ended before the end of the head",
                    RunState::kUnknown);
      }
      continue;
    }
    auto head = ParseResponseHead(std::string_view{input_}.substr(0, *size),
                                  to_head_request);
    input_.erase(0, *size);
    head_bytes += *size;
    skipped_ += *size;
    if (!head) {
      return Fail(ErrorCode::kIo, head.error().detail, RunState::kUnknown);
    }
    if (head->status >= kFirstFinalStatus) {
      decoder_.emplace(head->framing, head->length);
      return head;
    }
  }
}

Result<std::string> ResponseReader::ReadBody() {
  std::string data;
  while (data.empty() && decoder_->state() == BodyDecoder::State::kIncomplete) {
    input_.erase(0, decoder_->Feed(input_, data));
    if (!data.empty() || decoder_->state() != BodyDecoder::State::kIncomplete) {
      break;
    }
    const Status received = Receive();
    if (!received) {
      return tl::unexpected<Error>(received.error());
    }
    if (ended_) {
      decoder_->OnConnectionClosed();
      break;
    }
  }
  if (data.empty() && !whole()) {
    return Fail(ErrorCode::kIo,
                decoder_->state() == BodyDecoder::State::kMalformed
                    ? "the body is malformed"
                    : "the connection ended before the end of the body",
                RunState::kUnknown);
  }
  return data;
}

bool ResponseReader::SkipBody(size_t max_bytes) {
  size_t skipped = 0;
  while (!whole() && skipped <= max_bytes) {
    const auto data = ReadBody();
    if (!data) {
      return false;
    }
    skipped += data->size();
  }
  skipped_ += skipped;
  return whole() && skipped <= max_bytes;
}

Status ResponseReader::Receive() {
  const auto late =
      Fail(ErrorCode::kDeadlineExceeded,
           "the answer did not end before the deadline", RunState::kUnknown);
  // Each read is limited by the deadline, but a server may send a byte at a
  // time without end.
  if (Clock::now() >= deadline_) {
    return late;
  }
  socket_.setReceiveTimeout(TimeLeft(deadline_));
  std::array<char, kReadBytes> buffer{};
  try {
    const int count = socket_.receiveBytes(buffer.data(), buffer.size());
    ended_ = count <= 0;
    input_.append(buffer.data(), ended_ ? 0 : static_cast<size_t>(count));
  } catch (const Poco::TimeoutException&) {
    return late;
  }
  return {};
}

}  // namespace sequoialb
