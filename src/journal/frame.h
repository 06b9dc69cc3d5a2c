// Checksummed frames, the unit of every durable file.
//
// Layout, little endian: magic (4 bytes), kind (4), payload size (4), checksum
// (8, XXH3 of kind, size and payload), payload. The magic lets a reader find
// the next frame behind a damaged one, which tells a torn tail (nothing valid
// follows) from damage in the middle (something valid follows).
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
  // Bytes of the whole frame.
  size_t size = 0;
};

enum class FrameStatus : uint8_t { kValid, kEnd, kDamaged };

// Appends one frame to `out`.
void AppendFrame(std::string& out, uint32_t kind, std::string_view payload);

// Reads the frame at `offset`. kEnd means that `data` ends exactly there.
FrameStatus ReadFrame(std::string_view data, size_t offset, Frame& frame);

// Returns true when a valid frame starts anywhere at or after `offset`.
bool HasFrameAfter(std::string_view data, size_t offset);

}  // namespace sequoialb
