#ifndef ANVIL_PLATFORM_CIRCUITBREAKER_H
#define ANVIL_PLATFORM_CIRCUITBREAKER_H

#include "Kernel/Clock.h"

#include <optional>

namespace anvil {

/// Stops calls to a server that fails, so that callers learn at once instead
/// of waiting for a timeout each. One call is let through from time to time.
class CircuitBreaker {
public:
  CircuitBreaker(int FailuresToOpen, Duration OpenTime)
      : FailuresToOpen_(FailuresToOpen), OpenTime_(OpenTime) {}

  /// Whether a call may go out now. When the open time is over, one may.
  bool allow(TimePoint Now);

  /// Notes that a call was answered.
  void succeeded();

  /// Notes that a call was not answered.
  void failed(TimePoint Now);

  /// Whether calls are being stopped.
  bool isOpen() const { return OpenUntil_.has_value(); }

private:
  int FailuresToOpen_;
  Duration OpenTime_;
  int Failures_ = 0;
  std::optional<TimePoint> OpenUntil_;
};

} // namespace anvil

#endif // ANVIL_PLATFORM_CIRCUITBREAKER_H
