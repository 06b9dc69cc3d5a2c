// Copies a group's state by saving and loading its parts, as a snapshot does.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "group/group_state.h"

namespace sequoialb::fakes {

inline std::vector<std::string> SavedParts(const GroupState& state) {
  std::vector<std::string> saved;
  const StateParts parts = state.Save();
  while (auto part = parts()) {
    saved.push_back(*part);
  }
  return saved;
}

inline void CopyState(const GroupState& from, GroupState& to) {
  to.Clear();
  for (const std::string& part : SavedParts(from)) {
    ASSERT_TRUE(to.LoadPart(part).has_value());
  }
}

}  // namespace sequoialb::fakes
