#ifndef ANVIL_SERVING_STORELOADLIMIT_H
#define ANVIL_SERVING_STORELOADLIMIT_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>

namespace anvil {

/// Outcomes of adapter loads: adapters that were ready when expected, those
/// that were late because the store was overloaded, and those that were late
/// because the expected time was too short. Counts since a VM started.
struct LoadCounts {
  std::uint64_t OnTime_ = 0;
  std::uint64_t Late_ = 0;
  std::uint64_t Mistimed_ = 0;
  /// Those of the adapters from the store ready on time that were ready much
  /// earlier.
  std::uint64_t Early_ = 0;
  /// As `Mistimed_`, but for loads from an engine's own memory, which
  /// `Mistimed_` doesn't count.
  std::uint64_t EngineMistimed_ = 0;

  bool operator==(const LoadCounts &) const = default;
};

/// Estimates how many adapters may be in transit from the weight store at once
/// before they slow each other down. Works like an adaptive concurrency
/// limiter: the limit grows in steps while loads end when expected, and is cut
/// in proportion to the share of late ones. Covers many rare adapters on a
/// store of unknown throughput, and a store that is slow for a while.
class StoreLoadLimit {
public:
  /// Sets the number of engines that load from the store; determines the
  /// initial limit.
  void setEngines(std::size_t Count);

  /// Records loads that ended while `InTransit` adapters were in transit.
  void recordLoads(const LoadCounts &Ended, double InTransit, TimePoint Now);

  /// The maximum number of adapters in transit at once.
  double limit() const { return Limit_; }

  /// Whether the limit can't be cut any further.
  bool isMinimal() const { return Limit_ <= minLimit(); }

  /// The minimum initial limit.
  static constexpr double MinInitialLimit = 8;

private:
  double minLimit() const;
  double maxLimit() const;

  double Engines_ = 0;
  double Limit_ = MinInitialLimit;
  /// Loads since the last adjustment that are relevant to the limit.
  LoadCounts RelevantLoads_;
  TimePoint NextAdjustmentAt_{};
  TimePoint IgnoreUntil_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_STORELOADLIMIT_H
