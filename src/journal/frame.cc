#include "journal/frame.h"

#include <cstring>

#include "base/check.h"
#include "base/hash.h"

namespace sequoialb {
namespace {

constexpr uint32_t kMagic = 0x314A5153;  // "SQJ1"
constexpr size_t kKindOffset = 4;
constexpr size_t kSizeOffset = 8;
constexpr size_t kChecksumOffset = 12;

template <typename T>
void AppendLittleEndian(std::string& out, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
  }
}

template <typename T>
T ReadLittleEndian(std::string_view data, size_t offset) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(data[offset + i]))
             << (8 * i);
  }
  return value;
}

uint64_t Checksum(uint32_t kind, std::string_view payload) {
  return Hash64(payload, (static_cast<uint64_t>(kind) << 32U) | payload.size());
}

}  // namespace

void AppendFrame(std::string& out, uint32_t kind, std::string_view payload) {
  SEQ_CHECK(payload.size() <= kMaxFramePayloadBytes, payload.size());
  AppendLittleEndian(out, kMagic);
  AppendLittleEndian(out, kind);
  AppendLittleEndian(out, static_cast<uint32_t>(payload.size()));
  AppendLittleEndian(out, Checksum(kind, payload));
  out.append(payload);
}

FrameStatus ReadFrame(std::string_view data, size_t offset, Frame& frame) {
  if (offset == data.size()) {
    return FrameStatus::kEnd;
  }
  if (offset + kFrameHeaderBytes > data.size() ||
      ReadLittleEndian<uint32_t>(data, offset) != kMagic) {
    return FrameStatus::kDamaged;
  }
  const auto kind = ReadLittleEndian<uint32_t>(data, offset + kKindOffset);
  const auto size = ReadLittleEndian<uint32_t>(data, offset + kSizeOffset);
  const auto checksum =
      ReadLittleEndian<uint64_t>(data, offset + kChecksumOffset);
  const size_t payload_offset = offset + kFrameHeaderBytes;
  if (size > kMaxFramePayloadBytes || payload_offset + size > data.size()) {
    return FrameStatus::kDamaged;
  }
  const std::string_view payload = data.substr(payload_offset, size);
  if (Checksum(kind, payload) != checksum) {
    return FrameStatus::kDamaged;
  }
  frame = Frame{kind, payload, kFrameHeaderBytes + size};
  return FrameStatus::kValid;
}

bool HasFrameAfter(std::string_view data, size_t offset) {
  constexpr std::string_view kMagicBytes = "SQJ1";
  Frame frame;
  for (size_t frame_offset = data.find(kMagicBytes, offset);
       frame_offset != std::string_view::npos;
       frame_offset = data.find(kMagicBytes, frame_offset + 1)) {
    if (ReadFrame(data, frame_offset, frame) == FrameStatus::kValid) {
      return true;
    }
  }
  return false;
}

}  // namespace sequoialb
