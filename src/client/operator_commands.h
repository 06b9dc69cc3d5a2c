// Implements the operators' commands of the sequoialb program: documents, keys,
// status, hosts, backend servers, replicas, orders, traces and the log level.
#pragma once

#include "client/cli_context.h"

namespace sequoialb {

// Runs the command that the arguments select and returns the exit code.
int RunOperatorCommand(const CliContext& context);

// Checks the file of a service document locally, without contacting a host, and
// returns the exit code.
int CheckDocumentFile(const CliContext& context);

}  // namespace sequoialb
