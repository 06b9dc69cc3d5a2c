// GroupState is the interface of the state machine that a consensus group
// replicates: a deterministic state that is changed by committed commands.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/error.h"

namespace sequoialb {

// Returns the parts of a saved state one by one, then nullopt.
using StateParts = std::function<std::optional<std::string>()>;

class GroupState {
 public:
  virtual ~GroupState() = default;

  // Applies a committed command. The result, which is returned to the proposer,
  // depends only on the state and the command.
  virtual Status Apply(const std::string& command) = 0;

  // Captures the state as it is now. Another thread may read the parts while
  // further commands change the state.
  virtual StateParts Save() const = 0;

  // Resets the state to empty, before the parts of another state are loaded.
  virtual void Clear() = 0;
  virtual Status LoadPart(const std::string& part) = 0;
};

}  // namespace sequoialb
