#ifndef ANVIL_LOADING_LOADTIMEESTIMATE_H
#define ANVIL_LOADING_LOADTIMEESTIMATE_H

#include "Kernel/Clock.h"
#include "Kernel/EnumNames.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

namespace anvil {

/// The loads that an estimate tells apart.
enum class LoadSource {
  /// The weight store.
  Store,
  /// The engine's own memory, for an adapter that it held recently.
  Engine,
};

inline constexpr std::pair<LoadSource, std::string_view> LoadSourceNames[] = {
    {LoadSource::Store, "store"},
    {LoadSource::Engine, "engine"},
};

/// The stable name of a source, for logs and metrics.
inline std::string_view loadSourceName(LoadSource Source) {
  return enumName(Source, LoadSourceNames);
}

/// What a request found that had waited for an adapter's load.
struct LoadOutcome {
  LoadSource Source_ = LoadSource::Store;
  /// The time from the order to load until the request was sent.
  Duration Age_{};
  /// Whether the adapter was still missing at that age.
  bool WasMissing_ = false;
  /// The adapters in transit from the store, as a fraction of their limit.
  double TransitShare_ = 0;
  /// Whether the limit can't be cut any further.
  bool IsLimitMinimal_ = false;
};

/// Why a load was late.
enum class LateCause {
  /// The adapter was there.
  NotLate,
  /// The adapter was there much earlier than expected.
  Early,
  /// The expected time was too short.
  Estimate,
  /// The store is overloaded.
  Store,
};

inline constexpr std::pair<LateCause, std::string_view> LateCauseNames[] = {
    {LateCause::NotLate, "on_time"},
    {LateCause::Early, "early"},
    {LateCause::Estimate, "mistimed"},
    {LateCause::Store, "late"},
};

/// The stable name of a cause, for logs and metrics.
inline std::string_view lateCauseName(LateCause Cause) {
  return enumName(Cause, LateCauseNames);
}

/// Estimates how long a load takes while the weight store isn't overloaded, and
/// how long a load from an engine's own memory takes. An adapter that is
/// missing at an age proves that loads take longer, so the estimate rises at
/// once; it falls slowly while loads are on time. Near the limit of loads in
/// transit a late load may also mean that the limit is too high. The estimate
/// rises there by a bounded factor only, so that it doesn't grow together with
/// the limit. While the estimate is above its settled value, a few loads are
/// expected as early as before; one that is ready then shows that the store is
/// fast again. Covers thousands of adapters on a store of unknown speed, and a
/// store that is slow for a while.
class LoadTimeEstimate {
public:
  /// The initial estimates; from the users' sheets.
  static constexpr Duration InitialStoreLoad = std::chrono::milliseconds(250);
  static constexpr Duration InitialEngineLoad = std::chrono::milliseconds(25);

  /// The expected time of a load.
  Duration expected(LoadSource Source) const { return of(Source).Expected_; }

  /// The expected time of a load when the store is as fast as usual.
  Duration usual(LoadSource Source) const {
    return std::min(of(Source).Settled_, of(Source).Expected_);
  }

  /// The time to expect for the load with this number among the loads of a VM:
  /// the expected time, or for a few loads the settled one.
  Duration expectedForLoad(LoadSource Source, std::uint64_t Number) const;

  /// Records what a request found. Returns why the load was late, if it was.
  LateCause recordOutcome(const LoadOutcome &Outcome, TimePoint Now);

  /// Records the estimate of another VM whose requests found loads late, since
  /// its last report, because its estimate was too short.
  void recordPeerRise(LoadSource Source, Duration Expected, TimePoint Now);

  /// Records the estimate of another VM whose requests found loads from the
  /// store ready much earlier than expected since its last report, or on time.
  void recordPeerFall(Duration Expected);
  void recordPeerOnTime(Duration Expected, TimePoint Now);

private:
  struct Estimate {
    Duration Initial_{};
    Duration Expected_ = Initial_;
    /// The longest time that loads took, or were expected to take, while the
    /// store was certainly not overloaded.
    Duration Proven_ = Initial_;
    /// The last value for which loads were on time for a while.
    Duration Settled_ = Initial_;
    /// When an adapter was last missing. Only loads that were ordered later can
    /// show that the store is fast again.
    TimePoint MissedAt_{};
    /// The fraction of the next decrease, and when it is due.
    double Decrease_ = 0;
    TimePoint NextDecreaseAt_{};
  };

  const Estimate &of(LoadSource Source) const {
    return Source == LoadSource::Store ? Store_ : Engine_;
  }
  Estimate &of(LoadSource Source) {
    return Source == LoadSource::Store ? Store_ : Engine_;
  }
  static void rise(Estimate &Of, Duration Expected, TimePoint Now);
  static void decrease(Estimate &Of, TimePoint Now);

  Estimate Store_{InitialStoreLoad};
  Estimate Engine_{InitialEngineLoad};
};

} // namespace anvil

#endif // ANVIL_LOADING_LOADTIMEESTIMATE_H
