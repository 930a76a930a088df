#ifndef ANVIL_PLACEMENT_WAITESTIMATE_H
#define ANVIL_PLACEMENT_WAITESTIMATE_H

#include "Kernel/Clock.h"

namespace anvil {

/// Recent hold times of permits and intervals of loads of one target, for
/// estimating waits.
class WaitEstimate {
public:
  /// Records how long a permit was held.
  void recordHold(Duration Held);

  /// Records the start of a load whose first request arrived at `RequestedAt`.
  void recordLoadStart(TimePoint RequestedAt, TimePoint Now);

  Duration meanHold() const { return MeanHold_; }

  /// The time between the starts of two loads while requests wait for a load.
  /// It decays over time, since requests that are refused because of it cause
  /// no loads that could correct it.
  Duration loadInterval(TimePoint Now) const;

  /// When the load with `Ahead` loads before it is expected to start; the
  /// oldest of them was requested at `Oldest`. Overdue loads show that the
  /// store has become slower.
  TimePoint expectedLoad(std::int64_t Ahead, TimePoint Oldest,
                         TimePoint Now) const;

private:
  Duration MeanHold_{0};
  Duration LoadInterval_{0};
  TimePoint LastLoadAt_{};
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_WAITESTIMATE_H
