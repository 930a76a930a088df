#ifndef ANVIL_TELEMETRY_LOG_H
#define ANVIL_TELEMETRY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace anvil {

enum class LogLevel { Debug, Info, Warning, Error };

/// A named value of a log line. API keys and prompts must never be logged.
struct LogField {
  std::string_view Name_;
  std::variant<std::string, std::int64_t, double, bool> Value_;

  LogField(std::string_view Name, std::string_view Value)
      : Name_(Name), Value_(std::string(Value)) {}
  LogField(std::string_view Name, const char *Value)
      : Name_(Name), Value_(std::string(Value)) {}
  LogField(std::string_view Name, const std::string &Value)
      : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, bool Value) : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, double Value) : Name_(Name), Value_(Value) {}
  template <class Integer>
    requires(std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>)
  LogField(std::string_view Name, Integer Value)
      : Name_(Name), Value_(static_cast<std::int64_t>(Value)) {}
};

/// Starts logging lines of `Level` and above as JSON lines, each with the name
/// of the VM, to standard output or another file descriptor. The rate of lines
/// is limited, with a part reserved for warnings and errors, and a line whose
/// write would block is dropped. Dropped lines are counted and reported in a
/// line of their own. Returns false if `Level` is not the name of a level.
bool startLogging(std::string_view Vm, std::string_view Level,
                  int Descriptor = 1);

/// Writes one line with time, level, event name and fields.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace anvil

#endif // ANVIL_TELEMETRY_LOG_H
