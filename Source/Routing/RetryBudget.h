#ifndef ANVIL_ROUTING_RETRYBUDGET_H
#define ANVIL_ROUTING_RETRYBUDGET_H

#include "Kernel/Clock.h"

namespace anvil {

/// Limits on the number of retries.
struct RetryBudgetOptions {
  /// Retries that each first attempt earns.
  double Ratio_ = 0.1;
  /// Additional retries per second, for all VMs together.
  double FloorPerSecond_ = 10;
  /// The most unused retries that may accumulate.
  double Burst_ = 10;
  /// The most that may accumulate over all VMs together. If it is not zero it
  /// replaces `Burst_`: each VM has an equal share, but at least one retry.
  double FleetBurst_ = 0;
  /// The share of `Burst_` that a new process starts with. Zero where processes
  /// restart often, as each restart would otherwise add its share to the
  /// fleet's retries.
  double InitialShare_ = 1;
};

/// Bounds retries to a share of the first attempts, so that retries don't
/// amplify a fault of many targets. Each VM spends only what its own requests
/// and its share of the floor have earned, so the bound holds for the whole
/// fleet.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options_(Options), Tokens_(Options.Burst_ * Options.InitialShare_) {}

  /// Sets how many VMs share the floor and the fleet's burst.
  void setVmCount(double Count);

  /// Starts accumulating the floor; without it the first `take` does.
  void begin(TimePoint Now) { Updated_ = Now; }

  /// Records the first attempt of a request.
  void recordRequest();

  /// Whether one more retry is allowed; if so, it is consumed.
  bool take(TimePoint Now);

private:
  RetryBudgetOptions Options_;
  double Tokens_;
  double Vms_ = 1;
  TimePoint Updated_{};
};

} // namespace anvil

#endif // ANVIL_ROUTING_RETRYBUDGET_H
