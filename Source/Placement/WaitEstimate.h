#ifndef ANVIL_PLACEMENT_WAITESTIMATE_H
#define ANVIL_PLACEMENT_WAITESTIMATE_H

#include "Kernel/Clock.h"

namespace anvil {

/// How long permits and loads of one target took of late, to foresee waits.
class WaitEstimate {
public:
  /// A permit was held that long.
  void noteHold(Duration Held);

  /// A load begins whose first request came at `Asked`.
  void noteLoadStart(TimePoint Asked, TimePoint Now);

  Duration meanHold() const { return MeanHold_; }

  /// The time from one load's begin to the next while some wait. It fades,
  /// since those who are refused for it bring no new loads to learn from.
  Duration loadInterval(TimePoint Now) const;

  /// When the load with that many before it is expected to begin; the oldest of
  /// them was asked for at `Oldest`. A store that is slower than it was makes
  /// itself known by loads that are overdue.
  TimePoint expectedLoad(std::int64_t Before, TimePoint Oldest,
                         TimePoint Now) const;

private:
  Duration MeanHold_{0};
  Duration LoadInterval_{0};
  TimePoint LastLoadAt_{};
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_WAITESTIMATE_H
