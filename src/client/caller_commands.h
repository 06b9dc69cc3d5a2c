// Implements the callers' commands of the sequoialb program: `ask` and `batch`.
#pragma once

#include "client/cli_context.h"

namespace sequoialb {

// Runs the command that the arguments select and returns the exit code.
int RunCallerCommand(const CliContext& context);

}  // namespace sequoialb
