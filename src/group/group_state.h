// What a group agrees on: a deterministic state that commands change.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/error.h"

namespace sequoialb {

// Yields the parts of a saved state one by one; nothing at the end.
using StateParts = std::function<std::optional<std::string>()>;

class GroupState {
 public:
  virtual ~GroupState() = default;

  // Carries out a committed command. The outcome goes to whoever proposed it;
  // it depends on nothing but the state and the command.
  virtual Status Apply(const std::string& command) = 0;

  // Freezes the state as it is now. The parts may be taken by another thread
  // while commands go on changing the state.
  virtual StateParts Save() const = 0;

  // Forgets everything, before the parts of another state are loaded.
  virtual void Clear() = 0;
  virtual Status LoadPart(const std::string& part) = 0;
};

}  // namespace sequoialb
