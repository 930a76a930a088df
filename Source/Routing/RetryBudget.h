#ifndef ANVIL_ROUTING_RETRYBUDGET_H
#define ANVIL_ROUTING_RETRYBUDGET_H

#include "Kernel/Clock.h"

namespace anvil {

/// How many retries there may be.
struct RetryBudgetOptions {
  /// Retries for each first try.
  double Ratio_ = 0.1;
  /// Retries a second that all VMs together have besides.
  double FloorPerSecond_ = 10;
  /// Retries that may be saved up.
  double Burst_ = 10;
  /// What all VMs together may save up, in the place of `Burst_`, of which each
  /// has its part but at least one; zero leaves `Burst_`.
  double FleetBurst_ = 0;
  /// The part of them that a new process has. Where processes restart often,
  /// none, or each restart would add its part to the fleet's.
  double StartPart_ = 1;
};

/// Bounds retries to a share of the first tries, so that a fault of many
/// targets isn't made worse. Each VM spends only what its own requests and its
/// part of the floor have earned, so the bound holds for the whole fleet.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options_(Options), Tokens_(Options.Burst_ * Options.StartPart_) {}

  /// Sets how many VMs share the floor and what may be saved up.
  void setVms(double Count);

  /// Starts earning; without it the first `take` does.
  void begin(TimePoint Now) { Updated_ = Now; }

  /// Notes the first try of a request.
  void noteRequest();

  /// Whether one more retry is allowed; a yes uses it.
  bool take(TimePoint Now);

private:
  RetryBudgetOptions Options_;
  double Tokens_;
  double Vms_ = 1;
  TimePoint Updated_{};
};

} // namespace anvil

#endif // ANVIL_ROUTING_RETRYBUDGET_H
