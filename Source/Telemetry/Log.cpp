#include "Telemetry/Log.h"

#include "Telemetry/LogBudget.h"

#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <poll.h>
#include <unistd.h>

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

const LevelRow &levelRow(LogLevel Level) {
  for (const LevelRow &Row : Levels)
    if (Row.Level_ == Level)
      return Row;
  return Levels.front();
}

LogBudget &lineBudget() {
  static LogBudget Budget{LogBudgetOptions()};
  return Budget;
}

/// Writes lines without ever blocking on a slow reader. Not thread-safe: the
/// program logs from one thread.
class NonBlockingSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit NonBlockingSink(int Descriptor) : Descriptor_(Descriptor) {}

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Line;
    base_sink::formatter_->format(Message, Line);
    // A pipe that polls as writable accepts a write of this length as a whole.
    constexpr std::size_t MaxLineBytes = 4096;
    pollfd Ready{Descriptor_, POLLOUT, 0};
    bool CanWrite = Line.size() <= MaxLineBytes && poll(&Ready, 1, 0) == 1 &&
                    (Ready.revents & POLLOUT) != 0;
    if (!CanWrite || write(Descriptor_, Line.data(), Line.size()) < 0)
      lineBudget().recordDropped();
  }
  void flush_() override {}

private:
  int Descriptor_;
};

} // namespace

bool startLogging(std::string_view Vm, std::string_view Level, int Descriptor) {
  for (const LevelRow &Row : Levels) {
    if (Row.Name_ != Level)
      continue;
    vmName() = Vm;
    auto Logger = std::make_shared<spdlog::logger>(
        "anvil", std::make_shared<NonBlockingSink>(Descriptor));
    Logger->set_pattern("%v");
    Logger->set_level(Row.Backend_);
    spdlog::set_default_logger(Logger);
    return true;
  }
  return false;
}

static void writeLine(const LevelRow &Row, std::string_view Event,
                      std::initializer_list<LogField> Fields) {
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

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  const LevelRow &Row = levelRow(Level);
  if (!spdlog::should_log(Row.Backend_))
    return;
  TimePoint Now = BootClock::now();
  bool IsFailure = Level == LogLevel::Warning || Level == LogLevel::Error;
  if (std::uint64_t Dropped = lineBudget().takeDropped(Now))
    writeLine(levelRow(LogLevel::Warning), "log_lines_dropped",
              {{"lines", Dropped}});
  if (lineBudget().take(IsFailure, Now))
    writeLine(Row, Event, Fields);
}

} // namespace anvil
