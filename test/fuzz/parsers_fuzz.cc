// Feeds mutated and random input to every parser of external bytes: none may
// crash, hang or accept corrupt data.
#include <rapidcheck.h>

#include "consensus/snapshot_file.h"
#include "document/service_document.h"
#include "entry/announce_handler.h"
#include "journal/frame.h"
#include "proto/peer.pb.h"
#include "requests/chat_request.h"
#include "requests/sse_parser.h"
#include "settings/settings.h"

namespace sequoialb {
namespace {

// Returns `text` with some of its bytes changed, removed or repeated.
std::string Mutated(std::string text) {
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.resize(at);
        break;
      case 2:
        text.insert(at, text.substr(at, 20));
        break;
      default:
        text.erase(at, 3);
    }
  }
  return text;
}

void TextParsers() {
  static const std::string kDocument =
      R"({"service":"s","models":[{"name":"m"}],"accounts":[{"account":"a","rate_per_s":1.5,)"
      R"("burst":2}],"routes":[{"prefix":"/x","open":true}],"limits":{"online_ms":500}})";
  static const std::string kChat =
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":[{"text":"x"}]}]})";
  static const std::string kAnnouncement =
      R"({"id":"e","address":"127.0.0.1:9","service":"s","failure_domain":"d","slots":4,)"
      R"("models":["m"],"cached_prefixes":["00ff"]})";
  static_cast<void>(ParseServiceDocument(Mutated(kDocument), "fuzz"));
  static_cast<void>(ParseSettings(Mutated(kDocument), "fuzz"));
  static_cast<void>(ParseChatRequest("/v1/chat/completions", Mutated(kChat)));
  static_cast<void>(ParseChatChunk(Mutated(kChat), ChatKind::kChat));
  static_cast<void>(ParseAnnouncement(Mutated(kAnnouncement)));
  static_cast<void>(
      ParseServiceDocument(*rc::gen::arbitrary<std::string>(), "fuzz"));
}

void EventStreams() {
  SseParser parser;
  const int parts = *rc::gen::inRange(1, 8);
  size_t fed = 0;
  size_t taken = 0;
  for (int i = 0; i < parts; ++i) {
    const std::string bytes =
        Mutated("data: {\"a\":1}\n\ndata: [DONE]\r\n\r\n: x\n\n");
    fed += bytes.size();
    parser.Feed(bytes);
    while (const auto data = parser.Next()) {
      taken += data->size();
    }
  }
  RC_ASSERT(taken <= fed);
}

void Frames() {
  std::string data;
  const auto payload = *rc::gen::arbitrary<std::string>();
  AppendFrame(data, 7, payload);
  Frame frame;
  RC_ASSERT(ReadFrame(data, 0, frame) == FrameStatus::kValid);
  RC_ASSERT(frame.payload == payload);
  const std::string mutated = Mutated(data);
  if (mutated != data.substr(0, mutated.size()) &&
      ReadFrame(mutated, 0, frame) == FrameStatus::kValid) {
    // Only a change after the frame can leave the frame valid.
    RC_ASSERT(mutated.substr(0, data.size()) == data);
  }
  static_cast<void>(HasFrameAfter(mutated, 0));
  static_cast<void>(
      DecodeSnapshot(mutated, "fuzz", [](const proto::SnapshotPart&) {}));
}

void PeerMessages() {
  proto::Envelope envelope;
  envelope.set_from("h1");
  envelope.mutable_raft()->mutable_append_request()->add_entries()->set_command(
      "c");
  proto::Envelope parsed;
  static_cast<void>(
      parsed.ParseFromString(Mutated(envelope.SerializeAsString())));
}

}  // namespace
}  // namespace sequoialb

int main() {
  bool ok = rc::check("text parsers", sequoialb::TextParsers);
  ok &= rc::check("event streams", sequoialb::EventStreams);
  ok &= rc::check("frames and snapshots", sequoialb::Frames);
  ok &= rc::check("messages between hosts", sequoialb::PeerMessages);
  return ok ? 0 : 1;
}
