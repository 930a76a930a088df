#include "Capacity/RobustLevel.h"

#include <algorithm>

namespace anvil {

/// The number of samples from which the level counts as known; with half of
/// them outliers, it is still between the two values.
static constexpr int MinSamples = 4;

/// The fraction of a deviation by which a step moves the level, the largest
/// deviation that counts, and the minimum time between steps.
static constexpr double StepGain = 1.0 / 16;
static constexpr double MaxDeviation = 0.35;
static constexpr Duration StepPeriod = std::chrono::milliseconds(100);

bool RobustLevel::isKnown() const { return Count_ >= MinSamples; }

void RobustLevel::add(double Sample, TimePoint Now) {
  auto Known = static_cast<std::size_t>(Count_);
  if (Known < FirstSamples) {
    if (Known > 0 && Now < SteppedAt_ + FirstSpacing_)
      return;
    First_[Known] = Sample;
    ++Count_;
    auto Sorted = First_;
    auto Used = Known + 1;
    std::sort(Sorted.begin(), Sorted.begin() + static_cast<int>(Used));
    Level_ = (Sorted[(Used - 1) / 2] + Sorted[Used / 2]) / 2;
    SteppedAt_ = Now;
    return;
  }
  PendingSum_ += std::clamp(Sample - Level_, -MaxDeviation, MaxDeviation);
  ++Pending_;
  if (Now < SteppedAt_ + StepPeriod)
    return;
  Level_ += StepGain * PendingSum_ / Pending_;
  PendingSum_ = 0;
  Pending_ = 0;
  SteppedAt_ = Now;
  // The count only serves as a measure of certainty.
  constexpr int MaxCount = 1000;
  Count_ = std::min(Count_ + 1, MaxCount);
}

} // namespace anvil
