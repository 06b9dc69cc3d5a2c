// Assertions of program invariants, also active in release builds.
//
// A failed check is a defect in the program, never a user error. It prints the
// condition with the values involved and aborts the process, because state that
// violates an invariant must not be written to disk or sent to a peer.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace sequoialb::internal {

[[noreturn]] inline void CheckFailed(const char* file, int line,
                                     const char* condition,
                                     const std::string& values) {
  std::fprintf(stderr, "%s:%d: check failed: %s %s\n", file, line, condition,
               values.c_str());
  std::abort();
}

}  // namespace sequoialb::internal

// Prints `values` (a stream expression) and aborts the process if `condition`
// is false.
#define SEQ_CHECK(condition, values)                                     \
  do {                                                                   \
    if (!(condition)) {                                                  \
      std::ostringstream seq_check_out;                                  \
      seq_check_out << values; /* NOLINT(bugprone-macro-parentheses) */  \
      ::sequoialb::internal::CheckFailed(__FILE__, __LINE__, #condition, \
                                         seq_check_out.str());           \
    }                                                                    \
  } while (false)
