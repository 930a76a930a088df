#ifndef ANVIL_TELEMETRY_LOGBUDGET_H
#define ANVIL_TELEMETRY_LOGBUDGET_H

#include "Kernel/Clock.h"

#include <cstdint>

namespace anvil {

/// How many log lines there may be.
struct LogBudgetOptions {
  /// Lines a second over a long time.
  double LinesPerSecond_ = 200;
  /// Lines that may come at once.
  double Burst_ = 600;
  /// The part of the burst that only failures may use.
  double FailurePart_ = 0.4;
};

/// Bounds the lines of a log under load. Failures come first: calm lines are
/// dropped while only the part kept for failures is left.
class LogBudget {
public:
  explicit LogBudget(LogBudgetOptions Options)
      : Options_(Options), Tokens_(Options.Burst_) {}

  /// Whether a line may be written. A line that may not is counted.
  bool take(bool IsFailure, TimePoint Now);

  /// Counts a line that could not be written.
  void noteLost() { ++Dropped_; }

  /// The lines dropped since the last call, if it is time to say so.
  std::uint64_t takeDropped(TimePoint Now);

private:
  LogBudgetOptions Options_;
  double Tokens_;
  TimePoint Updated_{};
  TimePoint Said_{};
  std::uint64_t Dropped_ = 0;
};

} // namespace anvil

#endif // ANVIL_TELEMETRY_LOGBUDGET_H
