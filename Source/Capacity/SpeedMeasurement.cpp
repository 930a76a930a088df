#include "Capacity/SpeedMeasurement.h"

#include <algorithm>

namespace anvil {

/// The time to the first byte of an engine's answer beside prefill.
static constexpr Duration FirstStepTime = std::chrono::milliseconds(10);

/// The least number of intervals that show an engine's speed; prompts of other
/// requests interrupt single ones.
static constexpr int MinIntervals = 4;

/// The duration from which a write to the caller is slow.
static constexpr Duration SlowWrite = std::chrono::milliseconds(20);

std::optional<SpeedMeasurement>
firstByteMeasurement(const SendConditions &Conditions, Duration Took) {
  bool IsEngine = Conditions.OwnPrefill_ > Duration::zero();
  // Other VMs' latest requests aren't known yet, so a target that is known to
  // be half full may be full.
  bool MayHaveWaited = 2 * Conditions.Running_ > Conditions.Slots_ ||
                       Conditions.Prefill_ > Duration::zero();
  if (MayHaveWaited)
    return std::nullopt;
  SpeedMeasurement Measurement;
  Measurement.Took_ = Took;
  if (IsEngine) {
    Measurement.Running_ = Conditions.Running_;
    Measurement.Expected_ =
        FirstStepTime +
        std::chrono::duration_cast<Duration>(
            Conditions.OwnPrefill_ / std::max(Conditions.SpeedFactor_, 0.01));
  } else {
    Measurement.Signal_ = SpeedSignal::ServiceTime;
    Measurement.Work_ = Conditions.Route_;
  }
  return Measurement;
}

void StreamPace::recordPart(TimePoint Now) {
  if (FirstAt_ == TimePoint{})
    FirstAt_ = Now;
  else
    ++Intervals_;
  LastAt_ = Now;
}

void StreamPace::recordForwarded(TimePoint Now) {
  IsCallerSlow_ = IsCallerSlow_ || Now - LastAt_ > SlowWrite;
}

std::optional<SpeedMeasurement> StreamPace::measurement(int RunningAtSend,
                                                        int RunningNow) const {
  if (Intervals_ < MinIntervals || IsCallerSlow_)
    return std::nullopt;
  SpeedMeasurement Measurement;
  Measurement.Signal_ = SpeedSignal::EventInterval;
  Measurement.Took_ = (LastAt_ - FirstAt_) / Intervals_;
  Measurement.Running_ = (RunningAtSend + RunningNow + 1) / 2;
  return Measurement;
}

} // namespace anvil
