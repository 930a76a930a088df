#ifndef ANVIL_KERNEL_DECAYEDSUM_H
#define ANVIL_KERNEL_DECAYEDSUM_H

#include "Kernel/Clock.h"

namespace anvil {

/// A sum of recent amounts, in which each counts less the older it is. Never
/// negative.
class DecayedSum {
public:
  /// An amount counts for a fraction of 1/e after `Seconds`.
  explicit DecayedSum(double Seconds) : Seconds_(Seconds) {}

  void add(double Amount, TimePoint Now);

  double at(TimePoint Now) const;

  /// The sum when an amount was added last, and that time.
  double last() const { return Sum_; }
  TimePoint lastAt() const { return At_; }

private:
  double Seconds_;
  double Sum_ = 0;
  TimePoint At_{};
};

} // namespace anvil

#endif // ANVIL_KERNEL_DECAYEDSUM_H
