#ifndef ANVIL_SERVING_SPENDINGPACE_H
#define ANVIL_SERVING_SPENDINGPACE_H

#include "Kernel/Clock.h"
#include "Kernel/DecayedSum.h"

#include <cstddef>

namespace anvil {

/// A customer's bucket, which all reachable VMs fill and charge alike.
struct SharedBucket {
  double RatePerSecond_ = 0;
  double Capacity_ = 0;
  double Balance_ = 0;
  /// The VMs that spend from it, this one included.
  std::size_t Vms_ = 1;
};

/// Paces what one VM spends for a customer that sends more than its rate. Each
/// VM learns what the others have spent only with their next state updates.
/// Without a pace all of them spend the same tokens as soon as the shared
/// balance is positive, and the customer gets more than its rate in each of
/// these intervals. A paced VM spends no faster than its part of the rate; a
/// balance that rises, since other VMs leave tokens unused, raises it.
class SpendingPace {
public:
  /// Records what this VM spent, and what other VMs did.
  void recordOwn(double Tokens, TimePoint Now);
  void recordOthers(double Tokens, TimePoint Now);

  /// Records that a request of the customer was refused for lack of tokens. The
  /// pace applies for a while from then on.
  void recordRefusal(TimePoint Now);

  bool applies(TimePoint Now) const { return Now < AppliesUntil_; }

  /// Takes the tokens of one request if the pace allows it now.
  bool take(double Tokens, const SharedBucket &Shared, TimePoint Now);

  /// Returns the tokens of a request that didn't run.
  void giveBack(double Tokens);

  /// The time until the pace allows that many tokens.
  Duration waitFor(double Tokens, const SharedBucket &Shared) const;

private:
  /// The time constant of recent spending: several intervals between state
  /// updates of a large fleet.
  static constexpr double RecentSeconds = 2;

  /// The tokens per second that this VM may spend.
  double rate(const SharedBucket &Shared) const;

  DecayedSum Own_{RecentSeconds};
  DecayedSum All_{RecentSeconds};
  double Available_ = 0;
  TimePoint UpdatedAt_{};
  TimePoint AppliesUntil_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_SPENDINGPACE_H
