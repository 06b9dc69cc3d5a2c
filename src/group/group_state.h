// What a group agrees on: a deterministic state that commands change.
#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"

namespace sequoialb {

class GroupState {
 public:
  virtual ~GroupState() = default;

  // Carries out a committed command. The outcome goes to whoever proposed it;
  // it depends on nothing but the state and the command.
  virtual Status Apply(const std::string& command) = 0;

  virtual std::string Save() const = 0;
  virtual Status Load(const std::string& saved) = 0;
};

}  // namespace sequoialb
