#include "Placement/WaitEstimate.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The inverse weight of the latest permit in the mean hold time.
static constexpr int HoldWeightDivisor = 8;

/// The inverse weight of the latest interval in the mean interval between
/// loads, and the half-life of that mean.
static constexpr int IntervalWeightDivisor = 4;
static constexpr Duration IntervalHalfLife = std::chrono::seconds(20);

void WaitEstimate::recordHold(Duration Held) {
  MeanHold_ += (Held - MeanHold_) / HoldWeightDivisor;
}

void WaitEstimate::recordLoadStart(TimePoint RequestedAt, TimePoint Now) {
  Duration Previous = loadInterval(Now);
  // Time without a requested load says nothing about the store.
  Duration Latest = Now - std::max(RequestedAt, LastLoadAt_);
  LoadInterval_ = Previous + (Latest - Previous) / IntervalWeightDivisor;
  LastLoadAt_ = Now;
}

Duration WaitEstimate::loadInterval(TimePoint Now) const {
  double HalfLives = toSeconds(Now - LastLoadAt_) / toSeconds(IntervalHalfLife);
  std::chrono::duration<double> Decayed(toSeconds(LoadInterval_) *
                                        std::exp2(-HalfLives));
  return std::chrono::duration_cast<Duration>(Decayed);
}

TimePoint WaitEstimate::expectedLoad(std::int64_t Ahead, TimePoint Oldest,
                                     TimePoint Now) const {
  Duration Interval = loadInterval(Now);
  Duration Waited = Now - std::max(Oldest, LastLoadAt_);
  if (Waited > Interval)
    return Now + Waited / 2 + Waited * Ahead;
  return std::max(Now, LastLoadAt_ + Interval) + Interval * Ahead;
}

} // namespace anvil
