// Tests request parsing, event streams, stream splicing, line splitting and the
// retry budget.
#include <gtest/gtest.h>

#include "batches/line_splitter.h"
#include "requests/chat_request.h"
#include "requests/sse_parser.h"
#include "requests/stream_splicer.h"
#include "retries/retry_budget.h"

namespace sequoialb {
namespace {

TEST(ChatRequestTest, ParsesChatAndCompletion) {
  const auto chat = ParseChatRequest(
      "/v1/chat/completions",
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})");
  ASSERT_TRUE(chat.has_value());
  EXPECT_TRUE(chat->stream);
  EXPECT_EQ(chat->prompt, "user: hi\n");
  const auto completion =
      ParseChatRequest("/v1/completions", R"({"model":"m","prompt":"p"})");
  ASSERT_TRUE(completion.has_value());
  EXPECT_EQ(completion->prompt, "p");
}

TEST(ChatRequestTest, RejectsInvalidRequests) {
  const std::string path = "/v1/chat/completions";
  EXPECT_EQ(ParseChatRequest(path, "").error().code, ErrorCode::kMalformed);
  EXPECT_EQ(ParseChatRequest(path, "{} x").error().code, ErrorCode::kMalformed);
  EXPECT_EQ(ParseChatRequest(path, R"({"model":1})").error().code,
            ErrorCode::kInvalidField);
  EXPECT_EQ(
      ParseChatRequest(path, R"({"model":"m","messages":[]})").error().code,
      ErrorCode::kInvalidField);
  EXPECT_EQ(ParseChatRequest(path, R"({"model":"m","model":"n"})").error().code,
            ErrorCode::kMalformed);
}

TEST(ChatRequestTest, EngineBodyCarriesResumePosition) {
  const auto chat = ParseChatRequest(
      "/v1/chat/completions",
      R"({"model":"m","messages":[{"role":"user","content":"hi"}]})");
  const std::string body = EngineBody(*chat, 3, "abc");
  EXPECT_NE(body.find("\"resume_from\":3"), std::string::npos);
  EXPECT_NE(body.find("\"stream\":true"), std::string::npos);
}

TEST(SseParserTest, ParsesEventsSplitAtAnyByte) {
  const std::string stream =
      ": comment\n\ndata: one\n\nevent: x\r\ndata: two\r\n\r\ndata: a\ndata: "
      "b\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseParser parser;
    std::vector<std::string> events;
    for (const std::string& part :
         {stream.substr(0, cut), stream.substr(cut)}) {
      parser.Feed(part);
      while (const auto event = parser.Next()) {
        events.push_back(*event);
      }
    }
    EXPECT_EQ(events, (std::vector<std::string>{"one", "two", "a\nb"})) << cut;
  }
}

// A server in trouble sends an event without end. Its bytes are searched once,
// whatever the size of the pieces, and the parser says when to give up.
TEST(SseParserTest, ReportsAnEventWithoutEnd) {
  SseParser parser;
  parser.Feed("data: first\n\n");
  EXPECT_TRUE(parser.Next().has_value());
  size_t fed = 0;
  while (!parser.too_long()) {
    ASSERT_LE(fed, 2 * SseParser::kMaxEventBytes);
    parser.Feed("data: x\n");
    fed += 8;
    EXPECT_FALSE(parser.Next().has_value());
  }
  EXPECT_GE(fed, SseParser::kMaxEventBytes);
}

TEST(StreamSplicerTest, DropsDuplicatesAndReportsGaps) {
  StreamSplicer splicer;
  EXPECT_EQ(splicer.Append(0, "a"), StreamSplicer::AppendResult::kAppended);
  EXPECT_EQ(splicer.Append(1, "b"), StreamSplicer::AppendResult::kAppended);
  EXPECT_EQ(splicer.Append(1, "b"), StreamSplicer::AppendResult::kDuplicate);
  EXPECT_EQ(splicer.Append(3, "d"), StreamSplicer::AppendResult::kGap);
  EXPECT_EQ(splicer.Append(2, "c"), StreamSplicer::AppendResult::kAppended);
  EXPECT_EQ(splicer.text(), "abc");
}

TEST(LineSplitterTest, KeepsLinesWholeAcrossFeeds) {
  std::string text;
  for (int i = 0; i < 5'000; ++i) {
    text += "line " + std::to_string(i) +
            std::string(static_cast<size_t>(i % 700), 'x') + "\n";
    text += i % 100 == 0 ? "\n" : "";
  }
  std::string joined;
  uint32_t lines = 0;
  LineSplitter splitter([&](const std::string& data, uint32_t count) {
    EXPECT_EQ(data.back(), '\n');
    EXPECT_EQ(std::count(data.begin(), data.end(), '\n'), count);
    joined += data;
    lines += count;
    return Status();
  });
  for (size_t at = 0; at < text.size(); at += 9'973) {
    ASSERT_TRUE(
        splitter.Feed(std::string_view(text).substr(at, 9'973)).has_value());
  }
  ASSERT_TRUE(splitter.Feed("last without end").has_value());
  ASSERT_TRUE(splitter.Finish().has_value());
  EXPECT_EQ(lines, 5'001U);
  EXPECT_EQ(splitter.lines(), 5'001U);
  EXPECT_EQ(joined.find("\n\n"), std::string::npos);
  EXPECT_EQ(joined.substr(joined.size() - 17), "last without end\n");
}

TEST(LineSplitterTest, RejectsOverlongLine) {
  LineSplitter splitter([](const std::string&, uint32_t) { return Status(); });
  Status status;
  for (int i = 0; i < 40 && status; ++i) {
    status = splitter.Feed(std::string(100'000, 'x'));
  }
  ASSERT_FALSE(status.has_value());
  EXPECT_EQ(status.error().code, ErrorCode::kTooLarge);
}

TEST(RetryBudgetTest, LimitsRetriesToShareOfNewRequests) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.Earn("account");
    budget.Earn("server");
    retries += budget.Spend("account", "server") ? 1 : 0;
  }
  // A tenth of the requests, plus the initial balance of 10.
  EXPECT_LE(retries, 110);
  EXPECT_GE(retries, 100);
  EXPECT_TRUE(budget.Spend("other", "idle server"));
}

}  // namespace
}  // namespace sequoialb
