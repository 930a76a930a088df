#ifndef ANVIL_CAPACITY_ROBUSTLEVEL_H
#define ANVIL_CAPACITY_ROBUSTLEVEL_H

#include "Kernel/Clock.h"

#include <array>
#include <cstddef>

namespace anvil {

/// The lasting level of a noisy series of logarithms. It is the median of the
/// first samples and then follows later ones in small, clamped steps whose
/// number per second is limited, so that neither a few outliers nor a short
/// disturbance with many samples moves it far. Uses constant memory.
class RobustLevel {
public:
  /// `FirstSpacing` is the least time between the first samples, so that one
  /// disturbance affects only one of them.
  explicit RobustLevel(Duration FirstSpacing = Duration::zero())
      : FirstSpacing_(FirstSpacing) {}

  void add(double Sample, TimePoint Now);

  /// Whether there are enough samples for a value.
  bool isKnown() const;

  /// The level; zero without samples.
  double value() const { return Level_; }

  /// The number of samples and steps that the level rests on.
  int count() const { return Count_; }

private:
  static constexpr std::size_t FirstSamples = 5;

  Duration FirstSpacing_;
  std::array<double, FirstSamples> First_{};
  int Count_ = 0;
  double Level_ = 0;
  /// The clamped deviations since the last step.
  double PendingSum_ = 0;
  int Pending_ = 0;
  TimePoint SteppedAt_{};
};

} // namespace anvil

#endif // ANVIL_CAPACITY_ROBUSTLEVEL_H
