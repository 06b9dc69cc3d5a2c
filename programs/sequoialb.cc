// Command-line client for operators and callers.
#include <zmq.h>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>

#include "base/hash.h"
#include "client/arguments.h"
#include "client/caller_commands.h"
#include "client/cli_context.h"
#include "client/operator_commands.h"

namespace {

using namespace sequoialb;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] =
    R"(Administers a sequoialb deployment and sends requests to it.

Usage:
  sequoialb document (apply FILE | diff FILE) [--base=N] [options]
  sequoialb document check FILE [options]
  sequoialb document (show | history) SERVICE [options]
  sequoialb document list [options]
  sequoialb key give ACCOUNT [options]
  sequoialb key withdraw KEYID [options]
  sequoialb key list [options]
  sequoialb status [options]
  sequoialb hosts [options]
  sequoialb backends [options]
  sequoialb replicas [options]
  sequoialb replica replace HOST [--with=HOST] [options]
  sequoialb order BACKEND JSON [options]
  sequoialb trace TRACE [options]
  sequoialb log-level LEVEL [options]
  sequoialb ask PROMPT --model=NAME [--idempotency-key=TEXT] [options]
  sequoialb batch send FILE [--window=TIME] [--idempotency-key=TEXT] [--wait] [options]
  sequoialb batch (status | cancel | results) BATCH [options]
  sequoialb batch list [options]
  sequoialb make-keys FOLDER
  sequoialb hash-token TOKEN
  sequoialb --version
  sequoialb --help

Options:
  --server=LIST           Hosts to query, "IP:PORT" or "https://IP:PORT", comma
                          separated; default $SEQUOIALB_SERVER. The first that
                          answers is used; status and backends query all.
  --token=TOKEN           Operator token; default $SEQUOIALB_TOKEN.
  --key=KEY               Caller's key; default $SEQUOIALB_KEY.
  --ca=FILE               CA certificate that the hosts' certificates chain to.
  --operator=NAME         Name written into the history; default $USER.
  --timeout=S             Seconds to wait [default: 30].
  --json                  Machine-readable output.
  --base=N                Version that the change is based on; default: the
                          version in force when the command starts.
  --window=TIME           Completion window, such as 4h or 30m.
  --wait                  Wait until the batch ends and show progress.

Exit codes: 0 done, 1 refused, 2 wrong usage or input file, 3 host not reached,
4 outcome unknown, 5 version conflict.
)";
constexpr char kVersion[] = "sequoialb 0.1.0";

// Generates the CURVE key pair for one host's connections to other hosts,
// writes both keys to FOLDER, and prints the settings that use them.
int MakeKeys(const CliContext& context) {
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    std::cerr << "sequoialb: this build of ZeroMQ has no CURVE support\n";
    return kExitRefused;
  }
  const std::string folder = context.Text("FOLDER");
  std::ofstream secret_file(folder + "/curve.secret");
  secret_file << secret_key.data() << "\n";
  std::ofstream public_file(folder + "/curve.public");
  public_file << public_key.data() << "\n";
  if (!secret_file || !public_file) {
    std::cerr << "sequoialb: cannot write into the folder " << folder << "\n";
    return kExitUsage;
  }
  std::cout << "curve_secret_key_file  " << folder << "/curve.secret\n"
            << "curve_public_key       " << public_key.data() << "\n";
  return kExitDone;
}

int Run(const CliContext& context) {
  if (context.Flag("make-keys")) {
    return MakeKeys(context);
  }
  if (context.Flag("hash-token")) {
    std::cout << Sha256Hex(context.Text("TOKEN")) << "\n";
    return kExitDone;
  }
  if (context.Flag("check")) {
    return CheckDocumentFile(context);
  }
  if (context.servers().empty()) {
    std::cerr << "sequoialb: no host given; set --server or SEQUOIALB_SERVER\n";
    return kExitUsage;
  }
  const bool is_caller_command = context.Flag("ask") || context.Flag("batch");
  return is_caller_command ? RunCallerCommand(context)
                           : RunOperatorCommand(context);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto arguments = ParseArguments(kUsage, argc, argv, kVersion);
  return Run(CliContext(arguments));
}
