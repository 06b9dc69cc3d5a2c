// Structured logging: writes one JSON object per line to standard output,
// through spdlog.
//
//   LogInfo("leader_elected", {{"term", "4"}, {"node", node}});
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sequoialb {

using LogField = std::pair<std::string_view, std::string>;

// Sets up the log of this process. Every line contains `host`.
void StartLog(const std::string& host, const std::string& level);

// Changes the log level at run time. Returns false for an unknown level name.
bool SetLogLevel(const std::string& level);

void LogDebug(std::string_view event,
              std::initializer_list<LogField> fields = {});
void LogInfo(std::string_view event,
             std::initializer_list<LogField> fields = {});
void LogWarn(std::string_view event,
             std::initializer_list<LogField> fields = {});
void LogError(std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace sequoialb
