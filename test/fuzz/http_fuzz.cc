// Fuzzes the HTTP parser and the event stream parser with arbitrary bytes and
// with input split at arbitrary positions.
#include <rapidcheck.h>

#include "gateway/event_parser.h"
#include "http/message.h"

namespace sequoialb {
namespace {

// Generates a head from random fragments of valid and invalid HTTP.
std::string DrawHead() {
  const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::elementOf(std::vector<std::string>{"GET",
                                                  "POST",
                                                  " ",
                                                  "/",
                                                  "/a",
                                                  "HTTP/1.1",
                                                  "HTTP/1.0",
                                                  "\r\n",
                                                  "\n",
                                                  "Host: h",
                                                  "Content-Length: 5",
                                                  "Content-Length",
                                                  ":",
                                                  "5",
                                                  "+5",
                                                  "Transfer-Encoding: chunked",
                                                  "chunked",
                                                  "\t",
                                                  "\x01",
                                                  "x",
                                                  "\r",
                                                  "Connection: close",
                                                  "200",
                                                  "OK"}));
  std::string head;
  for (const std::string& piece : pieces) {
    head += piece;
  }
  return head + "\r\n\r\n";
}

void NeverReadsAnAmbiguousHead() {
  const auto head = ParseRequestHead(DrawHead());
  if (head) {
    RC_ASSERT(head->headers.Count("Content-Length") +
                  head->headers.Count("Transfer-Encoding") <=
              1U);
    RC_ASSERT(head->headers.Count("Host") == 1U);
  }
  (void)ParseResponseHead(DrawHead());
}

void ChunksDoNotDependOnSplits() {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::nonEmpty(rc::gen::string<std::string>()));
  std::string wire;
  std::string expected;
  for (const std::string& part : parts) {
    AppendChunk(wire, part);
    expected += part;
  }
  wire += "0\r\n\r\n";
  const std::string trailing = *rc::gen::string<std::string>();
  const std::string all = wire + trailing;
  BodyDecoder decoder(BodyFraming::kChunked, 0);
  std::string body;
  size_t used = 0;
  while (used < all.size() &&
         decoder.state() == BodyDecoder::State::kIncomplete) {
    const size_t size = *rc::gen::inRange<size_t>(1, 20);
    const size_t taken =
        decoder.Feed(std::string_view(all).substr(used, size), body);
    used += taken;
  }
  RC_ASSERT(decoder.state() == BodyDecoder::State::kDone);
  RC_ASSERT(body == expected);
  RC_ASSERT(used == wire.size());
}

// Draws bytes that a chunked decoder may meet from a client out of bounds:
// chunk sizes in all forms, extensions, trailers, long lines and other bytes.
std::string DrawChunkedBytes() {
  const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::elementOf(std::vector<std::string>{"0",
                                                  "1",
                                                  "5",
                                                  "a",
                                                  "F",
                                                  "ffffffffffffffff",
                                                  "8000000000000000",
                                                  "-1",
                                                  "+1",
                                                  " ",
                                                  ";ext=1",
                                                  ";",
                                                  "\r\n",
                                                  "\r\n",
                                                  "\r\n",
                                                  "\r",
                                                  "\n",
                                                  "x",
                                                  "hello",
                                                  "1\r\nx\r\n",
                                                  "5\r\nhello\r\n",
                                                  "0\r\n\r\n",
                                                  "Field: v",
                                                  std::string(1'500, 'e'),
                                                  std::string("\0", 1)}));
  std::string bytes;
  for (const std::string& piece : pieces) {
    bytes += piece;
  }
  return bytes;
}

// Any split of any bytes gives the same body, end and outcome as the whole, and
// the decoder never holds more than a line.
void AnyBytesDoNotDependOnSplits() {
  const auto framing = *rc::gen::element(
      BodyFraming::kChunked, BodyFraming::kLength, BodyFraming::kUntilClose);
  const uint64_t length = *rc::gen::inRange<uint64_t>(0, 40);
  const std::string wire = DrawChunkedBytes();
  BodyDecoder whole(framing, length);
  std::string whole_body;
  const size_t whole_used = whole.Feed(wire, whole_body);
  BodyDecoder split(framing, length);
  std::string body;
  size_t used = 0;
  while (used < wire.size() &&
         split.state() == BodyDecoder::State::kIncomplete) {
    const size_t size = *rc::gen::inRange<size_t>(1, 12);
    const std::string_view next = std::string_view(wire).substr(used, size);
    const size_t most = split.MaxDecoded(next.size());
    const size_t before = body.size();
    used += split.Feed(next, body);
    RC_ASSERT(body.size() - before <= most);
    RC_ASSERT(split.held_bytes() <= 2 * BodyDecoder::kMaxLineBytes);
  }
  RC_ASSERT(split.state() == whole.state());
  RC_ASSERT(body == whole_body);
  RC_ASSERT(used == whole_used);
}

void EventsDoNotDependOnSplits() {
  const int count = *rc::gen::inRange(0, 8);
  std::string wire;
  for (int i = 0; i < count; ++i) {
    wire += "id: " + std::to_string(i) + "\r\ndata: text " + std::to_string(i) +
            "\n\n";
  }
  const std::string partial = *rc::gen::element<std::string>("", "id: 99\n");
  wire += partial;
  EventParser parser;
  std::string raw;
  int seen = 0;
  size_t at = 0;
  while (at < wire.size()) {
    const size_t size = *rc::gen::inRange<size_t>(1, 9);
    parser.Add(std::string_view(wire).substr(at, size));
    at += size;
    while (auto event = parser.Next()) {
      RC_ASSERT(event->id == static_cast<uint64_t>(seen));
      RC_ASSERT(event->data == "text " + std::to_string(seen));
      raw += event->raw;
      ++seen;
    }
  }
  RC_ASSERT(seen == count);
  RC_ASSERT(raw + partial == wire);
  RC_ASSERT(parser.partial() == !partial.empty());
}

}  // namespace
}  // namespace sequoialb

int main() {
  using namespace sequoialb;  // NOLINT(google-build-using-namespace)
  bool good =
      rc::check("never reads an ambiguous head", NeverReadsAnAmbiguousHead);
  good &=
      rc::check("chunks do not depend on splits", ChunksDoNotDependOnSplits);
  good &= rc::check("any bytes do not depend on splits",
                    AnyBytesDoNotDependOnSplits);
  good &=
      rc::check("events do not depend on splits", EventsDoNotDependOnSplits);
  return good ? 0 : 1;
}
