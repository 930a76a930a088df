#include "Placement/WaitEstimate.h"

#include <cmath>

namespace anvil {

/// The part of the newest permit in the mean time that permits are held.
static constexpr int NewestHoldPart = 8;

/// The part of the newest wait for a load in their mean, and how fast it fades.
static constexpr int NewestLoadWaitPart = 4;
static constexpr Duration LoadWaitHalfLife = std::chrono::seconds(5);

void WaitEstimate::noteHold(Duration Held) {
  MeanHold_ += (Held - MeanHold_) / NewestHoldPart;
}

void WaitEstimate::noteLoadWait(Duration Waited, TimePoint Now) {
  Duration Before = loadWait(Now);
  LoadWait_ = Before + (Waited - Before) / NewestLoadWaitPart;
  LoadWaitAt_ = Now;
}

Duration WaitEstimate::loadWait(TimePoint Now) const {
  double HalfLives = toSeconds(Now - LoadWaitAt_) / toSeconds(LoadWaitHalfLife);
  std::chrono::duration<double> Faded(toSeconds(LoadWait_) *
                                      std::exp2(-HalfLives));
  return std::chrono::duration_cast<Duration>(Faded);
}

} // namespace anvil
