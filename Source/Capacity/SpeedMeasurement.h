#ifndef ANVIL_CAPACITY_SPEEDMEASUREMENT_H
#define ANVIL_CAPACITY_SPEEDMEASUREMENT_H

#include "Kernel/Clock.h"

#include <optional>
#include <string>

namespace anvil {

/// What a measurement of a target's speed is taken from: the time to the first
/// byte of an engine's answer, the time between events of a stream, or the time
/// that a plain service takes for an answer.
enum class SpeedSignal { FirstByte, EventInterval, ServiceTime };

/// One measurement at a target.
struct SpeedMeasurement {
  SpeedSignal Signal_ = SpeedSignal::FirstByte;
  /// Names requests that take the same work, such as those of one route of a
  /// plain service. Empty for engines.
  std::string Work_;
  Duration Took_{};
  /// The time that a usual target is expected to take; only the ratio to other
  /// measurements of the same signal and work matters.
  Duration Expected_ = std::chrono::milliseconds(1);
  /// The target's running requests of all VMs; zero for a plain service, whose
  /// answers don't slow each other down while it has free slots.
  int Running_ = 0;
};

/// The state of a target when a request was sent to it.
struct SendConditions {
  int Running_ = 0;
  int Slots_ = 0;
  /// The remaining prefill of earlier prompts and the prefill of this one; zero
  /// at a plain service. Both include the target's speed.
  Duration Prefill_{};
  Duration OwnPrefill_{};
  double SpeedFactor_ = 1;
  /// The route of the request.
  std::string Route_;
};

/// The measurement by a successful answer whose first byte came after `Took`;
/// none where the request may have waited for a slot or for other prompts,
/// which says little about the target's speed.
std::optional<SpeedMeasurement>
firstByteMeasurement(const SendConditions &Conditions, Duration Took);

/// Measures the mean interval between the parts of a stream.
class StreamPace {
public:
  /// Records that a part of the stream arrived.
  void recordPart(TimePoint Now);

  /// Records that the part was forwarded to the caller. Intervals after a slow
  /// write don't show the target's speed.
  void recordForwarded(TimePoint Now);

  /// The measurement by the stream as far as it has been received, if it was
  /// long enough. `RunningAtSend` and `RunningNow` are the target's running
  /// requests, on whose mean over the stream the pace depends.
  std::optional<SpeedMeasurement> measurement(int RunningAtSend,
                                              int RunningNow) const;

private:
  TimePoint FirstAt_{};
  TimePoint LastAt_{};
  int Intervals_ = 0;
  bool IsCallerSlow_ = false;
};

} // namespace anvil

#endif // ANVIL_CAPACITY_SPEEDMEASUREMENT_H
