#ifndef ANVIL_TELEMETRY_LOG_H
#define ANVIL_TELEMETRY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// How serious a log line is.
enum class LogLevel { Debug, Info, Warning, Error };

/// One named value of a log line. Keys and prompts never go into one.
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

/// Sends log lines of `Level` and above to standard output, or another file
/// descriptor, as JSON lines, each with the name of the VM. Lines are bounded
/// by a rate, failures first, and one that would block is dropped; what was
/// dropped is counted and said. Returns false when `Level` is no known name.
bool startLogging(std::string_view Vm, std::string_view Level,
                  int Descriptor = 1);

/// Writes one line: time, level, event name and fields.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace anvil

#endif // ANVIL_TELEMETRY_LOG_H
