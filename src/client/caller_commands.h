// The callers' commands: one question, and batches.
#pragma once

#include "client/cli_context.h"

namespace sequoialb {

// Runs the command that the arguments name and returns the exit code.
int RunCallerCommand(const CliContext& context);

}  // namespace sequoialb
