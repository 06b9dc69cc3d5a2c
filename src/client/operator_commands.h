// The operators' commands: documents, keys, status, replicas, orders, traces.
#pragma once

#include "client/cli_context.h"

namespace sequoialb {

// Runs the command that the arguments name and returns the exit code.
int RunOperatorCommand(const CliContext& context);

// Checks a service document's file without asking a host.
int CheckDocumentFile(const CliContext& context);

}  // namespace sequoialb
