// Heads of answers that no HTTP parser may accept, without their last fields.
#pragma once

#include <array>

namespace sequoialb::fakes {

inline constexpr std::array<const char*, 4> kMalformedHeads = {
    "HTTP/1.1 000 Weird\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n",
    "HTTP/1.1 200 OK\r\nX : z\r\n", "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n"};

}  // namespace sequoialb::fakes
