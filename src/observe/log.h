// Structured logs: one JSON object a line on standard output, through spdlog.
//
//   LogInfo("leader_elected", {{"term", "4"}, {"node", node}});
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sequoialb {

using LogField = std::pair<std::string_view, std::string>;

// Sets up the log of this process; `host` is written with each line.
void StartLog(const std::string& host, const std::string& level);

// Changes the level while running; false for an unknown name.
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
