// Checks text from outside the deployment before it is stored or sent on.
#pragma once

#include <string_view>

namespace sequoialb {

// Returns whether `text` is well-formed UTF-8: no stray or missing
// continuation bytes, no overlong forms and no surrogates.
bool IsValidUtf8(std::string_view text);

}  // namespace sequoialb
