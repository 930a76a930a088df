#ifndef ANVIL_TABLESERVICE_CIRCUITBREAKER_H
#define ANVIL_TABLESERVICE_CIRCUITBREAKER_H

#include "Kernel/Clock.h"

#include <optional>

namespace anvil {

/// Blocks calls to a failing server, so that callers fail at once instead of
/// waiting for a timeout. While open, it lets one probe through per `OpenTime`.
class CircuitBreaker {
public:
  CircuitBreaker(int FailuresToOpen, Duration OpenTime)
      : FailuresToOpen_(FailuresToOpen), OpenTime_(OpenTime) {}

  /// Whether a call may be sent now; while open, one per open time.
  bool allow(TimePoint Now);

  /// Records a call that received a reply and closes the circuit.
  void recordSuccess();

  /// Records a call without a reply.
  void recordFailure(TimePoint Now);

  /// Whether calls are being blocked.
  bool isOpen() const { return OpenUntil_.has_value(); }

private:
  int FailuresToOpen_;
  Duration OpenTime_;
  int Failures_ = 0;
  std::optional<TimePoint> OpenUntil_;
};

} // namespace anvil

#endif // ANVIL_TABLESERVICE_CIRCUITBREAKER_H
