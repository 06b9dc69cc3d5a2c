// Invariants asserted inside the program, in release builds too.
//
// A failed check is a defect, never a user's mistake: it prints the condition
// with the values involved and ends the process, because state that has broken
// an invariant must not be written to disk or told to a peer.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace sequoialb::internal {

[[noreturn]] inline void CheckFailed(const char* file, int line,
                                     const char* condition,
                                     const std::string& values) {
  std::fprintf(stderr, "%s:%d: invariant broken: %s %s\n", file, line,
               condition, values.c_str());
  std::abort();
}

}  // namespace sequoialb::internal

// Ends the process with `values` (a stream expression) when `condition` fails.
#define SEQ_CHECK(condition, values)                                     \
  do {                                                                   \
    if (!(condition)) {                                                  \
      std::ostringstream seq_check_out;                                  \
      seq_check_out << values; /* NOLINT(bugprone-macro-parentheses) */  \
      ::sequoialb::internal::CheckFailed(__FILE__, __LINE__, #condition, \
                                         seq_check_out.str());           \
    }                                                                    \
  } while (false)
