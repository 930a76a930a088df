#include "Placement/WaitEstimate.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The part of the newest permit in the mean time that permits are held.
static constexpr int NewestHoldPart = 8;

/// The part of the newest interval between loads in their mean, and how fast it
/// fades.
static constexpr int NewestIntervalPart = 4;
static constexpr Duration IntervalHalfLife = std::chrono::seconds(20);

void WaitEstimate::noteHold(Duration Held) {
  MeanHold_ += (Held - MeanHold_) / NewestHoldPart;
}

void WaitEstimate::noteLoadStart(TimePoint Asked, TimePoint Now) {
  Duration Before = loadInterval(Now);
  // Time in which no load was asked for is not the store's.
  Duration Newest = Now - std::max(Asked, LastLoadAt_);
  LoadInterval_ = Before + (Newest - Before) / NewestIntervalPart;
  LastLoadAt_ = Now;
}

Duration WaitEstimate::loadInterval(TimePoint Now) const {
  double HalfLives = toSeconds(Now - LastLoadAt_) / toSeconds(IntervalHalfLife);
  std::chrono::duration<double> Faded(toSeconds(LoadInterval_) *
                                      std::exp2(-HalfLives));
  return std::chrono::duration_cast<Duration>(Faded);
}

TimePoint WaitEstimate::expectedLoad(std::int64_t Before, TimePoint Oldest,
                                     TimePoint Now) const {
  Duration Usual = loadInterval(Now);
  Duration Waited = Now - std::max(Oldest, LastLoadAt_);
  if (Waited > Usual)
    return Now + Waited / 2 + Waited * Before;
  return std::max(Now, LastLoadAt_ + Usual) + Usual * Before;
}

} // namespace anvil
