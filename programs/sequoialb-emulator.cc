// Emulates backend servers for experiments and tests.
#include <iostream>

#include "client/arguments.h"
#include "daemon/stop_signals.h"
#include "emulator/engine_server.h"
#include "emulator/service_server.h"

namespace {

using sequoialb::Arguments;
using sequoialb::milliseconds;
using sequoialb::emulator::EngineConfig;
using sequoialb::emulator::ServiceConfig;

constexpr char kUsage[] =
    R"(Emulates a backend server: a model engine or a plain service.

Usage:
  sequoialb-emulator engine --id=ID --listen=ADDRESS --hosts=LIST
      --service=NAME --domain=NAME --models=LIST [options]
  sequoialb-emulator service --id=ID --listen=ADDRESS --hosts=LIST
      --service=NAME --domain=NAME [options]

Options:
  --id=ID               Name of this backend server.
  --listen=ADDRESS      IP:PORT to serve on.
  --hosts=LIST          HTTP addresses of the domain's hosts, comma separated.
  --service=NAME        Service that it belongs to.
  --domain=NAME         Its failure domain.
  --models=LIST         Models that it serves, comma separated.
  --slots=N             Sequences at once [default: 16].
  --kv-tokens=N         KV cache size [default: 200000].
  --step-ms=X           Base time of a step [default: 8].
  --step-ms-per-seq=X   Added for each sequence [default: 0.25].
  --prefill-ms=X        Prefill time per token [default: 0.25].
  --cache=N             Prefixes in its cache [default: 64].
  --prefix-tokens=N     Tokens that a cached prefix saves [default: 64].
  --tokens=N            Tokens of an answer [default: 16].
  --report-lag-ms=N     Age of the load it reports [default: 300].
  --announce-ms=N       Time between announcements [default: 400].
  --event-loss=X        Share of cache events that are lost [default: 0.1].
  --restart-ms=N        How long it is down after KILLSERVER [default: 1500].
  --checks-fencing      Refuse orders with an old fencing number.
  --seed=N              Seed of its random choices [default: 1].
  --speed=X             Divides all times [default: 1].
)";

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> out;
  size_t start = 0;
  while (start <= text.size()) {
    const size_t comma = std::min(text.find(',', start), text.size());
    if (comma > start) {
      out.push_back(text.substr(start, comma - start));
    }
    start = comma + 1;
  }
  return out;
}

EngineConfig ReadEngineConfig(const Arguments& arguments) {
  const auto text = [&arguments](const char* name) {
    return arguments.at(name).asString();
  };
  const auto number = [&text](const char* name) {
    return std::stod(text(name));
  };
  EngineConfig config;
  config.id = text("--id");
  config.address = text("--listen");
  config.service = text("--service");
  config.domain = text("--domain");
  config.hosts = SplitList(text("--hosts"));
  config.models = SplitList(text("--models"));
  config.engine.slots = static_cast<uint32_t>(number("--slots"));
  config.engine.kv_tokens = static_cast<uint64_t>(number("--kv-tokens"));
  config.engine.step_ms = number("--step-ms");
  config.engine.step_ms_per_sequence = number("--step-ms-per-seq");
  config.engine.prefill_ms_per_token = number("--prefill-ms");
  config.engine.cached_prefixes = static_cast<size_t>(number("--cache"));
  config.engine.prefix_tokens =
      static_cast<uint32_t>(number("--prefix-tokens"));
  config.tokens = static_cast<uint32_t>(number("--tokens"));
  config.report_lag = milliseconds(std::stol(text("--report-lag-ms")));
  config.announce_interval = milliseconds(std::stol(text("--announce-ms")));
  config.event_loss = number("--event-loss");
  config.restart_delay = milliseconds(std::stol(text("--restart-ms")));
  config.checks_fencing = arguments.at("--checks-fencing").asBool();
  config.seed = std::stoull(text("--seed"));
  config.speed = number("--speed");
  return config;
}

ServiceConfig ReadServiceConfig(const Arguments& arguments) {
  const auto text = [&arguments](const char* name) {
    return arguments.at(name).asString();
  };
  ServiceConfig config;
  config.id = text("--id");
  config.address = text("--listen");
  config.service = text("--service");
  config.domain = text("--domain");
  config.hosts = SplitList(text("--hosts"));
  config.slots = static_cast<uint32_t>(std::stoul(text("--slots")));
  config.announce_interval = milliseconds(std::stol(text("--announce-ms")));
  return config;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = sequoialb::ParseArguments(kUsage, argc, argv);
  const sequoialb::StopSignals stop_signals;
  const auto wait_for_stop = [&stop_signals] { stop_signals.Wait(); };
  const auto status = arguments.at("engine").asBool()
                          ? sequoialb::emulator::RunEngine(
                                ReadEngineConfig(arguments), wait_for_stop)
                          : sequoialb::emulator::RunService(
                                ReadServiceConfig(arguments), wait_for_stop);
  if (!status) {
    std::cerr << "sequoialb-emulator: " << status.error().detail << "\n";
    return 1;
  }
  return 0;
}
