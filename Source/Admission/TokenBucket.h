#ifndef ANVIL_ADMISSION_TOKENBUCKET_H
#define ANVIL_ADMISSION_TOKENBUCKET_H

#include "Kernel/Clock.h"

namespace anvil {

/// A token bucket: a balance that refills at a rate up to a capacity.
class TokenBucket {
public:
  TokenBucket(double RatePerSecond, double Capacity, double Balance,
              TimePoint Now);

  /// Takes the tokens if the balance covers them; returns whether it did.
  bool take(double Tokens, TimePoint Now);

  /// Deducts tokens that were spent elsewhere; the balance may become negative.
  void charge(double Tokens, TimePoint Now);

  /// Returns tokens; those above the capacity are lost.
  void returnTokens(double Tokens, TimePoint Now);

  /// The time until that many tokens are available if none are taken;
  /// Duration::max() if they never will be.
  Duration waitFor(double Tokens, TimePoint Now);

  /// Changes rate and capacity; tokens above the new capacity are lost.
  void updateLimits(double RatePerSecond, double Capacity, TimePoint Now);

  double balance(TimePoint Now);

private:
  void refill(TimePoint Now);

  double RatePerSecond_;
  double Capacity_;
  double Balance_;
  TimePoint RefilledAt_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_TOKENBUCKET_H
