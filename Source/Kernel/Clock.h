#ifndef ANVIL_KERNEL_CLOCK_H
#define ANVIL_KERNEL_CLOCK_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace anvil {

/// The resolution of every time in the decision cores.
using Duration = std::chrono::microseconds;

/// A clock that also counts the time a machine was suspended, so that a lease
/// holder notices every pause. It satisfies the standard Clock requirements.
struct BootClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;

  /// The time since the machine started, suspensions included.
  static time_point now() noexcept;
};

/// A moment of the boot clock. Moments of two machines don't compare.
using TimePoint = BootClock::time_point;

/// Where a service learns the time; tests put their own in its place.
using ClockHook = std::function<TimePoint()>;

/// The whole milliseconds of a duration.
std::int64_t toMillis(Duration Span);

/// The duration in seconds.
double toSeconds(Duration Span);

} // namespace anvil

#endif // ANVIL_KERNEL_CLOCK_H
