#include "base/utf8.h"

#include <Poco/UTF8Encoding.h>

namespace sequoialb {

bool IsValidUtf8(std::string_view text) {
  const Poco::UTF8Encoding encoding;
  const auto* at = reinterpret_cast<const unsigned char*>(text.data());
  const auto* const end = at + text.size();
  while (at < end) {
    if (*at < 0x80) {
      ++at;
      continue;
    }
    const int length = encoding.sequenceLength(at, 1);
    if (length < 1 || length > end - at ||
        !Poco::UTF8Encoding::isLegal(at, length)) {
      return false;
    }
    at += length;
  }
  return true;
}

}  // namespace sequoialb
