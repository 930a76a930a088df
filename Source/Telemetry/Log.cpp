#include "Telemetry/Log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>

namespace anvil {

namespace {

struct LevelRow {
  LogLevel Level_;
  std::string_view Name_;
  spdlog::level::level_enum Backend_;
};

constexpr std::array<LevelRow, 4> Levels{{
    {LogLevel::Debug, "debug", spdlog::level::debug},
    {LogLevel::Info, "info", spdlog::level::info},
    {LogLevel::Warning, "warning", spdlog::level::warn},
    {LogLevel::Error, "error", spdlog::level::err},
}};

std::string &vmName() {
  static std::string Name;
  return Name;
}

const LevelRow &rowOf(LogLevel Level) {
  for (const LevelRow &Row : Levels)
    if (Row.Level_ == Level)
      return Row;
  return Levels.front();
}

} // namespace

bool startLogging(std::string_view Vm, std::string_view Level) {
  for (const LevelRow &Row : Levels) {
    if (Row.Name_ != Level)
      continue;
    vmName() = Vm;
    auto Logger = std::make_shared<spdlog::logger>(
        "anvil", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    Logger->set_pattern("%v");
    Logger->set_level(Row.Backend_);
    Logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(Logger);
    return true;
  }
  return false;
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  const LevelRow &Row = rowOf(Level);
  if (!spdlog::should_log(Row.Backend_))
    return;
  nlohmann::ordered_json Line;
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  Line["time_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  Line["level"] = Row.Name_;
  if (!vmName().empty())
    Line["vm"] = vmName();
  Line["event"] = Event;
  for (const LogField &Field : Fields)
    std::visit(
        [&](const auto &Value) { Line[std::string(Field.Name_)] = Value; },
        Field.Value_);
  auto Replace = nlohmann::ordered_json::error_handler_t::replace;
  spdlog::log(Row.Backend_, "{}", Line.dump(-1, ' ', false, Replace));
}

} // namespace anvil
