#include "observe/log.h"

#include <json/value.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>

#include "settings/json_fields.h"

namespace sequoialb {
namespace {

std::string& HostName() {
  static std::string host;
  return host;
}

void Write(spdlog::level::level_enum level, std::string_view event,
           std::initializer_list<LogField> fields) {
  if (!spdlog::should_log(level)) {
    return;
  }
  std::string line = "\"host\":" + JsonLine(HostName()) +
                     ",\"event\":" + JsonLine(std::string(event));
  for (const auto& [name, value] : fields) {
    line += "," + JsonLine(std::string(name)) + ":" + JsonLine(value);
  }
  spdlog::log(level, "{}", line);
}

}  // namespace

void StartLog(const std::string& host, const std::string& level) {
  HostName() = host;
  spdlog::set_default_logger(spdlog::stdout_logger_mt("sequoialb"));
  spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
                      spdlog::pattern_time_type::utc);
  SetLogLevel(level);
  spdlog::flush_on(spdlog::level::info);
}

bool SetLogLevel(const std::string& level) {
  constexpr std::array<std::string_view, 5> kLevels = {"trace", "debug", "info",
                                                       "warn", "error"};
  for (const std::string_view known : kLevels) {
    if (level == known) {
      spdlog::set_level(spdlog::level::from_str(level));
      return true;
    }
  }
  return false;
}

void LogDebug(std::string_view event, std::initializer_list<LogField> fields) {
  Write(spdlog::level::debug, event, fields);
}

void LogInfo(std::string_view event, std::initializer_list<LogField> fields) {
  Write(spdlog::level::info, event, fields);
}

void LogWarn(std::string_view event, std::initializer_list<LogField> fields) {
  Write(spdlog::level::warn, event, fields);
}

void LogError(std::string_view event, std::initializer_list<LogField> fields) {
  Write(spdlog::level::err, event, fields);
}

}  // namespace sequoialb
