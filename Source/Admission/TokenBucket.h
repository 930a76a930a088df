#ifndef ANVIL_ADMISSION_TOKENBUCKET_H
#define ANVIL_ADMISSION_TOKENBUCKET_H

#include "Kernel/Clock.h"

namespace anvil {

/// A balance that grows at a rate up to a capacity.
class TokenBucket {
public:
  TokenBucket(double RatePerSecond, double Capacity, double Balance,
              TimePoint Now);

  /// Takes the tokens if they are there.
  bool take(double Tokens, TimePoint Now);

  /// Takes tokens that were spent elsewhere; the balance may fall below zero.
  void charge(double Tokens, TimePoint Now);

  /// Puts tokens back; what exceeds the capacity is lost.
  void putBack(double Tokens, TimePoint Now);

  /// How long until that many tokens are there if nobody takes any; the longest
  /// duration if they never will be.
  Duration waitFor(double Tokens, TimePoint Now);

  /// Changes rate and capacity; the balance is cut to the capacity.
  void reshape(double RatePerSecond, double Capacity, TimePoint Now);

  double balance(TimePoint Now);

private:
  void grow(TimePoint Now);

  double RatePerSecond_;
  double Capacity_;
  double Balance_;
  TimePoint GrownAt_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_TOKENBUCKET_H
