// Tests of the strict HTTP parser: it rejects input that two parsers could
// interpret differently, and its result does not depend on how bytes are split
// on arrival.
#include <gtest/gtest.h>

#include "http/message.h"

namespace sequoialb {
namespace {

std::string Head(const std::string& fields) {
  return "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n";
}

// A field that Connection names reached the other side of a proxy.
TEST(HttpMessage, NamesTheFieldsOfOneConnection) {
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Once");
  headers.Add("connection", "Keep,,  x-TWICE ");
  const HopByHopFields hop_by_hop(headers);
  for (const char* name : {"x-once", "X-Twice", "keep", "close", "Upgrade",
                           "Connection", "transfer-encoding"}) {
    EXPECT_TRUE(hop_by_hop.Contains(name)) << name;
  }
  for (const char* name : {"x-onc", "Host", "X-Thrice", "Content-Length"}) {
    EXPECT_FALSE(hop_by_hop.Contains(name)) << name;
  }
  EXPECT_FALSE(HopByHopFields(HttpHeaders()).Contains("X-Once"));
}

TEST(HttpMessage, ReadsARequestHead) {
  const auto head = ParseRequestHead(Head("Content-Length: 5\r\nX: y\r\n"));
  ASSERT_TRUE(head.has_value());
  EXPECT_EQ(head->method, "POST");
  EXPECT_EQ(head->path(), "/a/b");
  EXPECT_EQ(head->query(), "c=d");
  EXPECT_EQ(head->framing, BodyFraming::kLength);
  EXPECT_EQ(head->length, 5U);
  EXPECT_TRUE(head->keep_alive);
  EXPECT_EQ(*head->headers.Find("x"), "y");
}

class RefusedHead : public ::testing::TestWithParam<const char*> {};

TEST_P(RefusedHead, IsMalformed) {
  EXPECT_FALSE(ParseRequestHead(Head(GetParam())).has_value()) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(
    Framing, RefusedHead,
    ::testing::Values("Content-Length: 5\r\nContent-Length: 6\r\n",
                      "Content-Length: 5\r\nContent-Length: 5\r\n",
                      "Content-Length: 5, 5\r\n", "Content-Length: +5\r\n",
                      "Content-Length: -5\r\n", "Content-Length: 0x5\r\n",
                      "Content-Length: 5 5\r\n", "Content-Length:\r\n",
                      "Content-Length: 99999999999999999999999\r\n",
                      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                      "Transfer-Encoding: gzip, chunked\r\n",
                      "Transfer-Encoding: chunked\r\n"
                      "Transfer-Encoding: chunked\r\n",
                      "Name : value\r\n", " folded: value\r\n", "Name\r\n",
                      "Na me: value\r\n", ": value\r\n", "Name: val\x01ue\r\n",
                      "Name: val\nue\r\n", "Host: other.example\r\n"));

TEST(HttpMessage, RefusesBadRequestLines) {
  for (const char* line :
       {"GET /a", "GET  /a HTTP/1.1", "GET a HTTP/1.1", "GET /a HTTP/2.0",
        "G(T /a HTTP/1.1", "GET /a\tb HTTP/1.1", "GET /a HTTP/1.1 x",
        "GET /caf\xe9 HTTP/1.1"}) {
    const std::string head = std::string(line) + "\r\nHost: h\r\n\r\n";
    EXPECT_FALSE(ParseRequestHead(head).has_value()) << line;
  }
  EXPECT_FALSE(ParseRequestHead("GET /a HTTP/1.1\r\n\r\n").has_value());
}

TEST(HttpMessage, ReadsAnswersWithoutALength) {
  const auto head = ParseResponseHead("HTTP/1.1 200 OK\r\nServer: x\r\n\r\n");
  ASSERT_TRUE(head.has_value());
  EXPECT_EQ(head->framing, BodyFraming::kUntilClose);
  EXPECT_FALSE(head->keep_alive);
  EXPECT_EQ(ParseResponseHead("HTTP/1.1 204 No\r\n\r\n")->framing,
            BodyFraming::kNone);
  EXPECT_FALSE(ParseResponseHead("HTTP/1.1 2x0 OK\r\n\r\n").has_value());
  EXPECT_FALSE(ParseResponseHead("HTTP/1.1 200OK\r\n\r\n").has_value());
  EXPECT_FALSE(ParseResponseHead("nonsense\r\n\r\n").has_value());
}

// A line feed in the reason would hide the fields behind it.
TEST(HttpMessage, RefusesControlCharactersInTheStatusLine) {
  for (const char* line :
       {"HTTP/1.1 200 OK\nContent-Length: 2", "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 OK\x7f"}) {
    EXPECT_FALSE(ParseResponseHead(std::string(line) + "\r\n\r\n").has_value())
        << line;
  }
  EXPECT_TRUE(ParseResponseHead("HTTP/1.1 200 \r\n\r\n").has_value());
  EXPECT_TRUE(ParseResponseHead("HTTP/1.1 200 caf\xe9 ok\r\n\r\n").has_value());
}

// No request asks for another protocol, and what follows would be no HTTP.
TEST(HttpMessage, RefusesASwitchOfProtocols) {
  EXPECT_FALSE(ParseResponseHead("HTTP/1.1 101 Switching\r\n"
                                 "Upgrade: x\r\n\r\n")
                   .has_value());
  EXPECT_TRUE(ParseResponseHead("HTTP/1.1 103 Early\r\n\r\n").has_value());
}

TEST(HttpMessage, DecodesChunksByteByByte) {
  const std::string wire =
      "4\r\nabcd\r\nA;x=y\r\n0123456789\r\n0\r\nT: v\r\n\r\n";
  BodyDecoder decoder(BodyFraming::kChunked, 0);
  std::string body;
  for (const char c : wire) {
    ASSERT_EQ(decoder.state(), BodyDecoder::State::kIncomplete);
    EXPECT_EQ(decoder.Feed(std::string_view(&c, 1), body), 1U);
  }
  EXPECT_EQ(decoder.state(), BodyDecoder::State::kDone);
  EXPECT_EQ(body, "abcd0123456789");
}

TEST(HttpMessage, LeavesBytesAfterTheBody) {
  BodyDecoder decoder(BodyFraming::kLength, 3);
  std::string body;
  EXPECT_EQ(decoder.Feed("abcdef", body), 3U);
  EXPECT_EQ(body, "abc");
  EXPECT_EQ(decoder.state(), BodyDecoder::State::kDone);
}

TEST(HttpMessage, RefusesBadChunks) {
  for (const char* wire : {"4\nabcd\r\n", "-4\r\nabcd\r\n", "\r\n", "g\r\n",
                           "2\r\nabcd\r\n", "11111111111111111\r\n"}) {
    BodyDecoder decoder(BodyFraming::kChunked, 0);
    std::string body;
    decoder.Feed(wire, body);
    EXPECT_EQ(decoder.state(), BodyDecoder::State::kMalformed) << wire;
  }
}

// A zero in place of a size would otherwise end the body there, and the bytes
// after it would be dropped as trailer fields.
TEST(HttpMessage, RefusesTrailersThatAreNoFields) {
  for (const char* trailer :
       {"no field", "X Y: z", "X : z", "X\x01: z", ": z", "X: \x01"}) {
    BodyDecoder decoder(BodyFraming::kChunked, 0);
    std::string body;
    decoder.Feed("1\r\na\r\n0\r\n" + std::string(trailer) + "\r\n\r\n", body);
    EXPECT_EQ(decoder.state(), BodyDecoder::State::kMalformed) << trailer;
  }
}

TEST(HttpMessage, OnlyABodyWithoutFramingEndsWithItsConnection) {
  BodyDecoder until_close(BodyFraming::kUntilClose, 0);
  EXPECT_TRUE(until_close.OnConnectionClosed());
  BodyDecoder chunked(BodyFraming::kChunked, 0);
  std::string body;
  chunked.Feed("4\r\nabcd\r\n", body);
  EXPECT_FALSE(chunked.OnConnectionClosed());
  BodyDecoder length(BodyFraming::kLength, 5);
  length.Feed("abcd", body);
  EXPECT_FALSE(length.OnConnectionClosed());
}

}  // namespace
}  // namespace sequoialb
