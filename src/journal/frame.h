// Checksummed frames, of which journal segments and snapshot files consist.
//
// Layout, little endian: magic (4 bytes), kind (4), payload size (4), checksum
// (8, XXH3 of kind, size and payload), payload. The magic lets a reader search
// for a valid frame after a damaged one. If none follows, the damage is a torn
// write at the end of the file; otherwise the file is damaged in the middle.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoialb {

constexpr size_t kFrameHeaderBytes = 20;
constexpr uint32_t kMaxFramePayloadBytes = 256U << 20U;

struct Frame {
  uint32_t kind = 0;
  std::string_view payload;
  // Size of the frame in bytes, including its header.
  size_t size = 0;
};

enum class FrameStatus : uint8_t { kValid, kEnd, kDamaged };

// Appends one frame to `out`.
void AppendFrame(std::string& out, uint32_t kind, std::string_view payload);

// Reads the frame at `offset`. Returns kEnd if `data` ends exactly at `offset`.
FrameStatus ReadFrame(std::string_view data, size_t offset, Frame& frame);

// Returns true when a valid frame starts anywhere at or after `offset`.
bool HasFrameAfter(std::string_view data, size_t offset);

}  // namespace sequoialb
