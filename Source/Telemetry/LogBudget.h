#ifndef ANVIL_TELEMETRY_LOGBUDGET_H
#define ANVIL_TELEMETRY_LOGBUDGET_H

#include "Kernel/Clock.h"

#include <cstdint>

namespace anvil {

/// The limits of a `LogBudget`.
struct LogBudgetOptions {
  /// The sustained rate, in lines per second.
  double LinesPerSecond_ = 200;
  /// The largest burst, in lines.
  double Burst_ = 600;
  /// The fraction of the burst that is reserved for failures.
  double FailureShare_ = 0.4;
};

/// A token bucket that limits the rate of log lines. Failures have priority:
/// other lines are dropped once only the share reserved for failures is left.
class LogBudget {
public:
  explicit LogBudget(LogBudgetOptions Options)
      : Options_(Options), Tokens_(Options.Burst_) {}

  /// Returns whether a line may be written; counts the line as dropped if not.
  bool take(bool IsFailure, TimePoint Now);

  /// Counts a line that was admitted but could not be written.
  void recordDropped() { ++Dropped_; }

  /// Returns the number of lines dropped since the last report and resets it,
  /// or 0 if nothing was dropped or the last report is less than a second old.
  std::uint64_t takeDropped(TimePoint Now);

private:
  LogBudgetOptions Options_;
  double Tokens_;
  TimePoint Updated_{};
  TimePoint LastReport_{};
  std::uint64_t Dropped_ = 0;
};

} // namespace anvil

#endif // ANVIL_TELEMETRY_LOGBUDGET_H
