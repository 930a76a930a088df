#ifndef ANVIL_TESTS_SERVING_LIMITLOAD_H
#define ANVIL_TESTS_SERVING_LIMITLOAD_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace anvil {

/// How requests to a target with a limit are held back.
enum class LimitPolicy {
  /// In each group of VMs that reach each other, one VM issues permits.
  Permits,
  /// Each VM has an even share of the limit.
  EvenSplit,
  /// One bucket for all VMs, without latency.
  Ideal
};

/// A scenario of VMs that send requests to one target with a limit.
struct LimitLoadPlan {
  LimitPolicy Policy_ = LimitPolicy::Permits;
  std::size_t Vms_ = 8;
  /// VMs reach each other within their data centre only, as in a large fleet.
  std::size_t DataCentres_ = 1;
  double RatePerSecond_ = 1;
  /// Whether the target is cold.
  bool Cold_ = false;
  /// The maximum time from a permit to the arrival of its request.
  Duration MaxPermitAge_{};
  /// Requests a second of all VMs that are meant for the target.
  double DemandPerSecond_ = 10;
  /// An interval with `BurstFactor_` times the demand.
  std::pair<Duration, Duration> Burst_{};
  double BurstFactor_ = 1;
  /// An interval in which the VM that issues permits does not respond. It has
  /// lost its state afterwards, unless it was frozen.
  std::pair<Duration, Duration> IssuerDown_{};
  bool IssuerFrozen_ = false;
  /// The maximum time until a VM learns that the issuer responds again.
  Duration MaxNewsAge_{};
  /// An interval in which the VMs of the last third are frozen. They send the
  /// requests that arrived meanwhile when they wake.
  std::pair<Duration, Duration> Frozen_{};
  /// An interval in which the VMs of the first third reach only each other.
  std::pair<Duration, Duration> Partition_{};
  /// An interval in which this many VMs, the last ones, reach no other VM.
  std::pair<Duration, Duration> Isolation_{};
  std::size_t Isolated_ = 0;
  Duration Length_ = std::chrono::seconds(40);
  unsigned Seed_ = 1;
};

/// The requests that arrived at the target.
struct LimitLoadOutcome {
  std::vector<Duration> Arrivals_;
  std::size_t Requested_ = 0;

  /// The maximum number of arrivals in any interval of length `Span`, starting
  /// at `From`.
  std::size_t maxWithin(Duration Span, Duration From) const;
  /// Arrivals a second in an interval.
  double rateWithin(Duration From, Duration Until) const;
};

/// Simulates the scenario with the real permit decisions, in steps of one
/// millisecond.
LimitLoadOutcome simulateLimitLoad(const LimitLoadPlan &Plan);

} // namespace anvil

#endif // ANVIL_TESTS_SERVING_LIMITLOAD_H
