#ifndef ANVIL_KERNEL_CLOCK_H
#define ANVIL_KERNEL_CLOCK_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace anvil {

/// The unit of all times and durations in the decision logic: microseconds.
using Duration = std::chrono::microseconds;

/// A monotonic clock that includes the time during which the machine was
/// suspended, so that a lease holder detects every pause. Meets the standard
/// Clock requirements.
struct BootClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;

  /// Returns the time since boot, including suspended time.
  static time_point now() noexcept;
};

/// A point in time of the boot clock. Time points of different machines are not
/// comparable.
using TimePoint = BootClock::time_point;

/// The time source of a service; tests substitute their own.
using ClockHook = std::function<TimePoint()>;

/// Converts a duration to milliseconds, rounding towards zero.
std::int64_t toMillis(Duration Span);

double toSeconds(Duration Span);

} // namespace anvil

#endif // ANVIL_KERNEL_CLOCK_H
